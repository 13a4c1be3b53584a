package callerhttp

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/overload"
	"hawthornstream/internal/ports"
)

// relayStopInterval is the time between two reports to a peer about the stop of this
// daemon: one may be lost, and a connection may have been handed over just before.
const relayStopInterval = 200 * time.Millisecond

// maxRelaysPerMessage keeps messages below the limit of the transport, which drops larger
// ones.
const maxRelaysPerMessage = 1000

// takenOverConn is a connection that this daemon serves for another one.
type takenOverConn struct {
	conn        net.Conn
	takenOverAt time.Time
	// relay is an overload.RelayState.
	relay atomic.Uint32
	// cutAt is when the stop of the relaying daemon cuts the connection off.
	cutAt cutTime
	// answer is that of the call in progress; nil if there is none. endedUnanswered says that
	// the connection ended before anything of the last one was sent.
	answer          atomic.Pointer[answerSink]
	endedUnanswered atomic.Bool
	// reportedAge is the age at the last report of the relaying daemon, in nanoseconds; zero
	// before the first one.
	reportedAge atomic.Int64
}

// recordReport records that the relaying daemon has reported the connection.
func (c *takenOverConn) recordReport() {
	c.reportedAge.Store(int64(time.Since(c.takenOverAt)))
}

// silence returns the time since the last report, or since the connection was taken over.
func (c *takenOverConn) silence() time.Duration {
	reportedAge := time.Duration(c.reportedAge.Load())
	return time.Since(c.takenOverAt) - reportedAge
}

// relayState returns what the relaying daemon has said of its stop.
func (c *takenOverConn) relayState() overload.RelayState {
	return overload.RelayState(c.relay.Load())
}

// advance records a state of the relaying daemon and reports whether it is news.
func (c *takenOverConn) advance(state overload.RelayState) bool {
	for {
		known := c.relay.Load()
		if overload.RelayState(known) >= state {
			return false
		}
		if c.relay.CompareAndSwap(known, uint32(state)) {
			return true
		}
	}
}

// takenOverConns are the connections that this daemon serves for others, by the remote
// address. It is safe for concurrent use.
type takenOverConns struct {
	mu    sync.Mutex
	conns map[string]*takenOverConn
}

func newTakenOverConns() *takenOverConns {
	return &takenOverConns{conns: make(map[string]*takenOverConn)}
}

// add returns the record of a connection that was taken over now.
func (t *takenOverConns) add(conn net.Conn) *takenOverConn {
	added := &takenOverConn{conn: conn, takenOverAt: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn.RemoteAddr().String()] = added
	return added
}

// connState removes connections that have ended. It is called by the HTTP server.
func (t *takenOverConns) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	address := conn.RemoteAddr().String()
	t.mu.Lock()
	defer t.mu.Unlock()
	// A later connection may have the address already.
	known, ok := t.conns[address]
	switch {
	case !ok || known.conn != conn:
	case known.isUnanswered():
		t.forgetLater(address, known)
	default:
		delete(t.conns, address)
	}
}

// recordStop records the stop of the daemon that relays the connections with the
// addresses, which cuts them off at cutAt (zero for never), and returns for how many of them
// the state is news.
func (t *takenOverConns) recordStop(addresses []string, state overload.RelayState, cutAt time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := 0
	for _, address := range addresses {
		conn, ok := t.conns[address]
		if !ok {
			continue
		}
		conn.recordReport()
		conn.cutAt.advance(cutAt)
		if conn.advance(state) {
			news++
		}
	}
	return news
}

// recordOpen records that the daemon that relays the connections with the addresses doesn't
// stop.
func (t *takenOverConns) recordOpen(host string, ports []uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, port := range ports {
		if conn, ok := t.conns[net.JoinHostPort(host, strconv.Itoa(int(port)))]; ok {
			conn.recordReport()
		}
	}
}

// anyCut reports whether a connection is known to be cut off by the stop of its relay.
func (t *takenOverConns) anyCut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		if _, ok := conn.cutAt.get(); ok {
			return true
		}
	}
	return false
}

// openRelays are the connections that this daemon relays, by the daemon that serves them. It
// is safe for concurrent use.
type openRelays struct {
	mu     sync.Mutex
	byPeer map[ports.DaemonID]map[net.Conn]openRelay
}

// openRelay is a connection to the daemon that serves it.
type openRelay struct {
	// address is this daemon's end.
	address *net.TCPAddr
	since   time.Time
}

// relaySource is an address of this daemon toward a peer.
type relaySource struct {
	peer ports.DaemonID
	host string
}

func newOpenRelays() *openRelays {
	return &openRelays{byPeer: make(map[ports.DaemonID]map[net.Conn]openRelay)}
}

// add records a relayed connection until the returned function is called.
func (r *openRelays) add(peer ports.DaemonID, conn net.Conn) (remove func()) {
	relay := openRelay{address: conn.LocalAddr().(*net.TCPAddr), since: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPeer[peer] == nil {
		r.byPeer[peer] = make(map[net.Conn]openRelay)
	}
	r.byPeer[peer][conn] = relay
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.byPeer[peer], conn)
		if len(r.byPeer[peer]) == 0 {
			delete(r.byPeer, peer)
		}
	}
}

// addresses returns the addresses of the relayed connections by peer.
func (r *openRelays) addresses() map[ports.DaemonID][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byPeer := make(map[ports.DaemonID][]string, len(r.byPeer))
	for peer, conns := range r.byPeer {
		for _, relay := range conns {
			byPeer[peer] = append(byPeer[peer], relay.address.String())
		}
	}
	return byPeer
}

// vouchedPorts returns the ports of the relayed connections that are reported while this
// daemon doesn't stop.
func (r *openRelays) vouchedPorts(now time.Time) map[relaySource][]uint16 {
	r.mu.Lock()
	defer r.mu.Unlock()
	byEnd := make(map[relaySource][]uint16)
	for peer, conns := range r.byPeer {
		for _, relay := range conns {
			if overload.ShouldVouch(now.Sub(relay.since)) {
				address := relay.address.AddrPort()
				end := relaySource{peer: peer, host: address.Addr().Unmap().String()}
				byEnd[end] = append(byEnd[end], address.Port())
			}
		}
	}
	return byEnd
}

// announceStop ends handing over, and tells the daemons that serve connections for this
// one. It may be called again when the stop is to end earlier.
func (h *handover) announceStop() {
	h.stopOnce.Do(func() {
		h.table.announceStop()
		h.logger.Info().Str("event", "relays-stopping").Int64("open", h.openRelays.Load()).Msg("")
	})
	h.reportNow()
}

// endReports ends the reports to peers. It may be called more than once.
func (h *handover) endReports() {
	h.stoppedOnce.Do(func() { close(h.stopped) })
	h.reports.Wait()
}

// reportRelays tells peers which of their connections this daemon relays, until stop has
// returned.
func (h *handover) reportRelays() {
	ticker := time.NewTicker(overload.VouchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stopped:
			return
		case <-h.stopChanged:
			ticker.Reset(relayStopInterval)
		case <-ticker.C:
		}
		if h.server.stopAnnounced.Load() {
			h.sendStop()
		} else {
			h.vouch(time.Now())
		}
	}
}

// reportNow lets peers know at once how far this daemon's stop is.
func (h *handover) reportNow() {
	select {
	case h.stopChanged <- struct{}{}:
	default:
	}
}

// vouch tells peers once which of their connections this daemon relays and doesn't cut.
func (h *handover) vouch(now time.Time) {
	for end, open := range h.relaysByPeer.vouchedPorts(now) {
		for part := range slices.Chunk(open, maxRelaysPerMessage) {
			h.table.transport.Send(end.peer, &ports.RelayReport{OpenHost: end.host, OpenPorts: part})
		}
	}
}

// sendStop tells peers once which of their connections this daemon's stop ends.
func (h *handover) sendStop() {
	refusesCalls, cutIn := h.server.refusingCalls.Load(), h.cutInMillis()
	for peer, addresses := range h.relaysByPeer.addresses() {
		for part := range slices.Chunk(addresses, maxRelaysPerMessage) {
			h.table.transport.Send(peer, &ports.RelayReport{Connections: part, RefusesCalls: refusesCalls, CutInMillis: cutIn})
		}
	}
}

// cutInMillis returns the time until this daemon's stop cuts relays off, at least 1; zero if it
// never does.
func (h *handover) cutInMillis() int64 {
	cutAt, ok := h.server.cutAt.get()
	if !ok {
		return 0
	}
	return max(time.Until(cutAt).Milliseconds(), 1)
}

// handleRelayReport records what a daemon says of the connections that it relays to this one.
func (h *handover) handleRelayReport(from ports.DaemonID, message *ports.RelayReport) {
	h.takenOverConns.recordOpen(message.OpenHost, message.OpenPorts)
	if len(message.Connections) == 0 {
		return
	}
	state := overload.RelayStateOf(message.RefusesCalls)
	var cutAt time.Time
	if message.CutInMillis > 0 {
		cutAt = time.Now().Add(time.Duration(message.CutInMillis) * time.Millisecond)
	}
	news := h.takenOverConns.recordStop(message.Connections, state, cutAt)
	if h.server.hasCut() {
		h.server.watchCuts()
	}
	if news == 0 {
		return
	}
	h.relayStops.Add(int64(news), state.String())
	if h.logLimiter.Allow("relay-stops", string(from)) {
		h.logger.Info().Str("event", "relay-stops").Str("peer", string(from)).Int("connections", news).
			Bool("refusesCalls", message.RefusesCalls).Int64("cutIn", message.CutInMillis).Msg("")
	}
}
