package callerhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/adapters/tlsfiles"
	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/core/overload"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const (
	// handoverDialTimeout bounds the connection to a peer, and handoverAcceptTimeout
	// the wait for its word that it takes the connection over. Both daemons are in the
	// same failure domain.
	handoverDialTimeout   = 400 * time.Millisecond
	handoverAcceptTimeout = 400 * time.Millisecond
	// maxHandoverTries is the number of peers that are asked for one connection.
	maxHandoverTries = 2
	// maxHandoversInProgress is the number of connections for which peers are being
	// asked at once. With more, this daemon has no time left to hand over.
	maxHandoversInProgress = 32
	// loadLogPeriod is the time between two lines of the log about handing over.
	loadLogPeriod = time.Second
	// handoverAccepted is the byte by which a daemon confirms that it takes a
	// connection over. Nothing else is added to what caller and daemon send.
	handoverAccepted = 0x01
	// connectionsPerRelay is what a relay counts for in the limit of connections: two
	// file descriptors, and two goroutines with a buffer each.
	connectionsPerRelay = 2
)

// Outcomes of handing a connection over, as counted.
const (
	handoverOutcomeAccepted    = "accepted"
	handoverOutcomeRefused     = "refused"
	handoverOutcomeUnreachable = "unreachable"
	handoverOutcomeNoPeer      = "no-peer"
	handoverOutcomeBusy        = "too-many-at-once"
)

// handover hands new connections over to other daemons and takes connections over from
// them.
type handover struct {
	server  *Server
	address string
	table   *HandoverTable
	// listener accepts the connections that other daemons hand over.
	listener       *takeOverListener
	httpServer     *http.Server
	takenOverConns *takenOverConns
	breaks         *relayBreaks
	// returned accepts the connections that no peer took over.
	returned     *returnedListener
	relays       sync.WaitGroup
	reports      sync.WaitGroup
	openRelays   atomic.Int64
	relaysByPeer *openRelays
	stopOnce     sync.Once
	stoppedOnce  sync.Once
	// stopped is closed when stop has returned. stopChanged is signalled when peers are to
	// learn something new of this daemon's stop.
	stopped     chan struct{}
	stopChanged chan struct{}
	// inProgress is the number of connections for which peers are being asked.
	inProgress atomic.Int64
	relayGauge tally.Gauge
	partGauge  tally.Gauge
	useGauge   tally.Gauge
	// handedOver counts the connections that peers took over.
	handedOver atomic.Int64
	// wasBusy and loadLoggedAt are used by observeLoad only.
	wasBusy      bool
	loadLoggedAt time.Time
	outcomes     *metrics.CounterVec
	refused      *metrics.CounterVec
	takenOver    tally.Counter
	// relayStops counts the connections taken over whose relaying daemon stops.
	relayStops *metrics.CounterVec
	// refusedOfSilent counts the calls refused since the relaying daemon is silent.
	refusedOfSilent tally.Counter
	// requestsLost counts the relayed requests whose connection the peer ended before a byte
	// of the answer.
	requestsLost *metrics.CounterVec
	logLimiter   *logging.Limiter
	logger       *log.Logger
}

// newHandover returns the hand-over of a server, or nil if the settings or the platform
// have none.
func newHandover(s *settings.Settings, server *Server, table *HandoverTable, scope tally.Scope) *handover {
	if s.Listen.Handover == "" || table == nil {
		return nil
	}
	h := &handover{
		server: server, address: s.Listen.Handover, table: table,
		relayGauge:      scope.Gauge("relays"),
		partGauge:       scope.Gauge("handed_over_part"),
		useGauge:        scope.Gauge("processor_use"),
		outcomes:        metrics.NewCounterVec(scope, "connections_handed_over", "outcome"),
		refused:         metrics.NewCounterVec(scope, "take_overs_refused", "reason"),
		takenOver:       scope.Counter("connections_taken_over"),
		relayStops:      metrics.NewCounterVec(scope, "taken_over_connections_stopping", "relay"),
		requestsLost:    metrics.NewCounterVec(scope, "relayed_requests_lost", "end"),
		refusedOfSilent: scope.Counter("calls_refused_of_silent_relays"),
		logLimiter:      server.logLimiter, logger: server.logger,
		takenOverConns: newTakenOverConns(), breaks: newRelayBreaks(), relaysByPeer: newOpenRelays(),
		stopped: make(chan struct{}), stopChanged: make(chan struct{}, 1),
	}
	h.httpServer = server.newHTTPServer(takenOverIdleTimeout, func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(server.connections.connContext(ctx, conn), takenOverKey{}, h.takenOverConns.add(conn))
	})
	h.httpServer.ConnState = func(conn net.Conn, state http.ConnState) {
		h.takenOverConns.connState(conn, state)
		server.connections.connState(conn, state)
	}
	table.transport.Handle(ports.KindRelayReport,
		func() ports.Message { return &ports.RelayReport{} },
		func(from ports.DaemonID, message ports.Message) {
			h.handleRelayReport(from, message.(*ports.RelayReport))
		})
	table.transport.Handle(ports.KindRelayBreak,
		func() ports.Message { return &ports.RelayBreak{} },
		func(from ports.DaemonID, message ports.Message) {
			h.handleRelayBreak(from, message.(*ports.RelayBreak))
		})
	return h
}

// run starts to accept connections from other daemons. It fails if no address of the
// settings is free, or with *tlsfiles.KeyPairError.
func (h *handover) run(other settings.Listen, keyPair *settings.KeyPair, serve func(*http.Server, net.Listener)) error {
	inner, err := listenInRange(h.address, other)
	if err != nil {
		return err
	}
	h.listener = &takeOverListener{Listener: inner, handover: h}
	h.returned = newReturnedListener(inner.Addr())
	listener, err := tlsfiles.WrapListener(h.listener, keyPair, h.logger)
	if err != nil {
		return err
	}
	returned, err := tlsfiles.WrapListener(h.returned, keyPair, h.logger)
	if err != nil {
		return err
	}
	go serve(h.httpServer, listener)
	go serve(h.server.httpServer, returned)
	h.reports.Go(h.reportRelays)
	h.table.start(inner.Addr().String())
	return nil
}

// listenInRange listens on the first free address of a range that is not another one of
// the daemon's own.
func listenInRange(addresses string, other settings.Listen) (net.Listener, error) {
	first, last, ok := fieldcheck.ParseAddrPorts(addresses)
	if !ok {
		return nil, eris.Errorf("%q is no address with a range of ports", addresses)
	}
	config := net.ListenConfig{KeepAlive: -1}
	var lastErr error
	for port := int(first.Port()); port <= int(last); port++ {
		address := net.JoinHostPort(first.Addr().String(), strconv.Itoa(port))
		if address == other.Peers || address == other.Operators || address == other.Callers || address == other.Readiness {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, eris.Wrapf(lastErr, "listen for connections of other daemons on %s", addresses)
}

// handOver takes a new connection that is to be handed over, and reports false if it is
// to be served here. Nothing has been read from the connection.
func (h *handover) handOver(conn net.Conn) bool {
	caller, ok := conn.(*net.TCPConn)
	if !ok || !h.table.shouldHandOver(h.server.shedder.shedFraction()) {
		return false
	}
	if h.isBusy() {
		h.outcomes.Inc(handoverOutcomeBusy)
		return false
	}
	peer, found := h.table.choose()
	if !found {
		h.outcomes.Inc(handoverOutcomeNoPeer)
		return false
	}
	h.countRelay(1)
	h.relays.Go(func() {
		defer h.countRelay(-1)
		h.relay(caller, peer)
	})
	return true
}

// isExhausted reports whether new connections that are shed could not be handed over.
func (h *handover) isExhausted() bool {
	return h.isBusy() || h.table.isExhausted()
}

// isBusy reports whether peers are being asked for so many connections that this daemon
// has no time left to hand over more.
func (h *handover) isBusy() bool {
	return h.inProgress.Load() >= maxHandoversInProgress
}

func (h *handover) countRelay(delta int64) {
	h.relayGauge.Update(float64(h.openRelays.Add(delta)))
	h.server.connections.add(connectionsPerRelay * delta)
}

// relay asks peers to take the connection over, relays it, and returns it to this
// daemon's server if none does.
func (h *handover) relay(caller *net.TCPConn, peer handoverPeer) {
	conn, peer := h.findPeer(peer)
	if conn != nil && h.server.stopAnnounced.Load() {
		closeWithReset(conn)
		conn = nil
	}
	switch {
	case conn == nil && h.server.shedder.shouldCloseUnread():
		closeWithReset(caller)
	case conn == nil:
		h.returned.deliver(caller)
	case hungUp(caller):
		closeWithReset(conn)
		closeWithReset(caller)
	default:
		defer h.relaysByPeer.add(peer.daemon, conn)()
		servedBy := h.table.incarnations.PeerIncarnation(peer.daemon)
		relay := relay{caller: caller, peer: conn, gather: h.shouldGather, refusal: func(turn *relayTurn, readErr error) []byte {
			return h.refusalOfLostRequest(lostRelay{peer: peer, servedBy: servedBy, address: localAddress(conn), readErr: readErr}, turn)
		}}
		relay.run()
	}
}

// findPeer returns a connection to a peer that takes the caller's over, and that peer, or
// nil. It asks the given peer first.
func (h *handover) findPeer(peer handoverPeer) (*net.TCPConn, handoverPeer) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	for try := 1; ; try++ {
		conn, outcome := dialPeer(peer.address)
		h.outcomes.Inc(outcome)
		h.logHandedOver(peer, outcome)
		if conn != nil {
			h.handedOver.Add(1)
			return conn, peer
		}
		h.table.withdraw(peer)
		var found bool
		if peer, found = h.table.choose(); !found || try == maxHandoverTries {
			return nil, peer
		}
	}
}

func (h *handover) logHandedOver(peer handoverPeer, outcome string) {
	if h.logLimiter.Allow("connection-handed-over", outcome) {
		h.logger.Info().Str("event", "connection-handed-over").Str("outcome", outcome).Str("peer", string(peer.daemon)).
			Float64("part", h.table.fraction()).Int64("open", h.openRelays.Load()).Msg("")
	}
}

// observeLoad records a measurement of this daemon's load.
func (h *handover) observeLoad(now time.Time, use float64, lag time.Duration) {
	fraction := h.table.observe(now, overload.Load{Use: use, Lag: lag})
	h.logLoad(now, fraction, use, lag)
	h.partGauge.Update(fraction)
	h.useGauge.Update(use)
	if isBusy := fraction > 0; isBusy != h.wasBusy {
		h.wasBusy = isBusy
		event := "handover-ended"
		if isBusy {
			event = "handover-began"
		}
		if h.logLimiter.Allow(event, "") {
			h.logger.Info().Str("event", event).Float64("use", use).Dur("late", lag).Msg("")
		}
	}
}

// logLoad logs once a second how much is handed over.
func (h *handover) logLoad(now time.Time, fraction, use float64, lag time.Duration) {
	if fraction == 0 || now.Sub(h.loadLoggedAt) < loadLogPeriod {
		return
	}
	h.loadLoggedAt = now
	h.logger.Info().Str("event", "handover-load").Float64("part", fraction).Float64("use", use).Dur("late", lag).
		Float64("turnedAway", h.server.shedder.shedFraction()).Int64("handedOver", h.handedOver.Load()).
		Int64("closedUnread", h.server.closedUnread.Load()).Int64("relays", h.openRelays.Load()).
		Int64("inProgress", h.inProgress.Load()).Msg("")
}

// shouldGather reports whether relays should save work by passing bytes on together.
func (h *handover) shouldGather() bool {
	return h.table.fraction() > 0
}

// dialPeer connects to a peer and waits until it takes the connection over.
func dialPeer(address string) (conn *net.TCPConn, outcome string) {
	dialer := net.Dialer{Timeout: handoverDialTimeout, KeepAlive: -1}
	dialed, err := dialer.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		// The peer closed the connection before the dial returned.
		return nil, handoverOutcomeRefused
	}
	if err != nil {
		return nil, handoverOutcomeUnreachable
	}
	conn = dialed.(*net.TCPConn)
	var answer [1]byte
	if err := conn.SetReadDeadline(time.Now().Add(handoverAcceptTimeout)); err == nil {
		_, err = conn.Read(answer[:])
		if err == nil && answer[0] == handoverAccepted && conn.SetReadDeadline(time.Time{}) == nil {
			return conn, handoverOutcomeAccepted
		}
	}
	closeWithReset(conn)
	return nil, handoverOutcomeRefused
}

// stop ends the hand-over: it waits until the calls that were taken over and the relays
// have ended, or the context is done. It then returns an error, and close must follow.
func (h *handover) stop(ctx context.Context) error {
	defer h.endReports()
	err := h.httpServer.Shutdown(ctx)
	done := make(chan struct{})
	go func() {
		h.relays.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		if open := h.openRelays.Load(); open > 0 {
			err = ctx.Err()
			h.logger.Error().Str("event", "relays-cut").Int64("open", open).Msg("")
		}
	}
	return err
}

// close closes the connections that were taken over.
func (h *handover) close() {
	_ = h.httpServer.Close()
}
