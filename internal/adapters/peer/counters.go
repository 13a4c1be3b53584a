package peer

import (
	"maps"
	"slices"

	"github.com/uber-go/tally/v4"
)

// dropReason is the value of the metric tag "reason" for a message that was not sent.
type dropReason string

const (
	dropQueueFull   dropReason = "queue-full"
	dropTooLarge    dropReason = "too-large"
	dropUnreachable dropReason = "unreachable"
	dropSessionLost dropReason = "session-lost"
	dropNoAddress   dropReason = "no-address"
)

// closeReason is the value of the metric tag and the log field "reason" for a session
// that ended, or a connection that ended before its session began.
type closeReason string

const (
	closeIdle           closeReason = "idle"
	closeSilent         closeReason = "silent"
	closeBroken         closeReason = "broken"
	closeRefused        closeReason = "refused"
	closeAddressChanged closeReason = "address-changed"
	closeMalformed      closeReason = "malformed"
	closeNoHello        closeReason = "no-hello"
	closeTLSFailed      closeReason = "tls-failed"
	closeSuperseded     closeReason = "superseded"
	closeStopped        closeReason = "stopped"
	closeNoMemory       closeReason = "no-memory"
)

// counters holds the metrics of the transport.
type counters struct {
	scope                tally.Scope
	sent                 *trafficMeter
	received             *trafficMeter
	sessionsOpened       tally.Counter
	sessionsAccepted     tally.Counter
	connectionsRejected  tally.Counter
	dialFailures         tally.Counter
	unknownKinds         tally.Counter
	handlerPanics        tally.Counter
	certificatesRejected tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	kinds := slices.Collect(maps.Keys(kindNames))
	return &counters{
		scope:                scope,
		sent:                 newTrafficMeter(scope, "peer_sent", kinds),
		received:             newTrafficMeter(scope, "peer_received", kinds),
		sessionsOpened:       scope.Counter("peer_sessions_opened"),
		sessionsAccepted:     scope.Counter("peer_sessions_accepted"),
		connectionsRejected:  scope.Counter("peer_connections_rejected"),
		dialFailures:         scope.Counter("peer_dial_failures"),
		unknownKinds:         scope.Counter("peer_unknown_kinds"),
		handlerPanics:        scope.Counter("peer_handler_panics"),
		certificatesRejected: scope.Counter("peer_certificates_rejected"),
	}
}

func (c *counters) countDropped(reason dropReason) {
	c.countDroppedMany(reason, 1)
}

func (c *counters) countDroppedMany(reason dropReason, count int) {
	if count == 0 {
		return
	}
	c.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("peer_dropped_messages").Inc(int64(count))
}

// countClosed counts an ended session or connection. The side is that of this daemon,
// "dialled" or "accepted".
func (c *counters) countClosed(side string, reason closeReason) {
	c.scope.Tagged(map[string]string{"side": side, "reason": string(reason)}).Counter("peer_sessions_closed").Inc(1)
}
