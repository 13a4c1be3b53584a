package peer

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/ports"
)

// kindSessionOverhead is the value of the metric tag "kind" for bytes that belong to no
// message: framing, hellos and acknowledgements.
const kindSessionOverhead = "session"

// distance classifies the network distance of a peer, which determines the cost of its
// traffic.
type distance uint8

const (
	distanceUnknown distance = iota
	distanceSameDomain
	distanceSameRegion
	distanceCrossRegion
	distanceCount
)

// distanceNames holds the values of the metric tag "scope".
var distanceNames = [distanceCount]string{"unknown", "same-domain", "same-region", "cross-region"}

// distanceBetween returns the distance from this daemon to a peer. The region of a peer
// that the VM list doesn't show is empty.
func distanceBetween(self, peer ports.VM) distance {
	switch {
	case peer.Region == "":
		return distanceUnknown
	case self.Region != peer.Region:
		return distanceCrossRegion
	case self.Domain != peer.Domain:
		return distanceSameRegion
	default:
		return distanceSameDomain
	}
}

// kindNames holds the values of the metric tag "kind" for counted messages.
var kindNames = map[ports.MessageKind]string{
	ports.KindProbe:               "probe",
	ports.KindProbeAck:            "probe-ack",
	ports.KindProbeRequest:        "probe-request",
	ports.KindDemand:              "demand",
	ports.KindGrants:              "grants",
	ports.KindHeldSlots:           "held-slots",
	ports.KindCharges:             "sums",
	ports.KindConfigurationDigest: "configuration-digest",
	ports.KindConfigurationPush:   "configuration-push",
	ports.KindConfigurationPull:   "configuration-pull",
	ports.KindIdempotencyBegin:    "idempotency-begin",
	ports.KindIdempotencyFinish:   "idempotency-finish",
	ports.KindIdempotencyReply:    "idempotency-reply",
	ports.KindStreamOriginRecords: "stream-origin-records",
	ports.KindStreamOriginQuery:   "stream-origin-query",
	ports.KindStreamOriginAnswer:  "stream-origin-answer",
	ports.KindStreamOriginShare:   "stream-origin-share",
}

func kindName(kind ports.MessageKind) string {
	if name, ok := kindNames[kind]; ok {
		return name
	}
	return strconv.Itoa(int(kind))
}

// maxMessageKinds is the number of values of ports.MessageKind.
const maxMessageKinds = 256

// trafficMeter counts messages and bytes by kind and distance. Kinds that it was not made
// for have nil counters; their bytes count as session overhead.
type trafficMeter struct {
	bytes         [distanceCount][maxMessageKinds]tally.Counter
	messages      [distanceCount][maxMessageKinds]tally.Counter
	overheadBytes [distanceCount]tally.Counter
}

// newTrafficMeter returns a meter of the kinds. The names of its counters are the
// prefix followed by _bytes and _messages.
func newTrafficMeter(scope tally.Scope, prefix string, kinds []ports.MessageKind) *trafficMeter {
	m := &trafficMeter{}
	for d := range distanceCount {
		for _, kind := range kinds {
			taggedScope := scope.Tagged(map[string]string{"kind": kindName(kind), "scope": distanceNames[d]})
			m.bytes[d][kind] = taggedScope.Counter(prefix + "_bytes")
			m.messages[d][kind] = taggedScope.Counter(prefix + "_messages")
		}
		taggedScope := scope.Tagged(map[string]string{"kind": kindSessionOverhead, "scope": distanceNames[d]})
		m.overheadBytes[d] = taggedScope.Counter(prefix + "_bytes")
	}
	return m
}

// record counts the messages of a frame, and the rest of its total bytes as session
// overhead. Sent bytes are all bytes written to the TCP connection; received bytes
// exclude the few bytes of drpc's own framing.
func (m *trafficMeter) record(d distance, messages []envelope, totalBytes int64) {
	for _, message := range messages {
		if m.bytes[d][message.Kind] == nil {
			continue
		}
		m.bytes[d][message.Kind].Inc(int64(message.size()))
		m.messages[d][message.Kind].Inc(1)
		totalBytes -= int64(message.size())
	}
	if totalBytes > 0 {
		m.overheadBytes[d].Inc(totalBytes)
	}
}
