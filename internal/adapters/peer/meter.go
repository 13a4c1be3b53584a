package peer

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/ports"
)

// kindSession is the tag of the bytes of sessions besides their messages:
// framing, hellos and acknowledgements.
const kindSession = "session"

// distance is how far a peer is, which decides what its traffic costs.
type distance uint8

const (
	distanceUnknown distance = iota
	distanceSameDomain
	distanceSameRegion
	distanceCrossRegion
	distances
)

var distanceNames = [distances]string{"unknown", "same-domain", "same-region", "cross-region"}

func distanceBetween(a, b ports.VM) distance {
	switch {
	case b.Region == "":
		return distanceUnknown
	case a.Region != b.Region:
		return distanceCrossRegion
	case a.Domain != b.Domain:
		return distanceSameRegion
	default:
		return distanceSameDomain
	}
}

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
}

func kindName(kind ports.MessageKind) string {
	if name, ok := kindNames[kind]; ok {
		return name
	}
	return strconv.Itoa(int(kind))
}

// maxKinds is the number of possible kinds.
const maxKinds = 256

// meter counts bytes and messages by kind and distance.
type meter struct {
	bytes    [distances][maxKinds]tally.Counter
	messages [distances][maxKinds]tally.Counter
	overhead [distances]tally.Counter
}

// newMeter returns a meter whose counters begin with the prefix.
func newMeter(scope tally.Scope, prefix string, kinds []ports.MessageKind) *meter {
	m := &meter{}
	for d := range distances {
		for _, kind := range kinds {
			tagged := scope.Tagged(map[string]string{"kind": kindName(kind), "scope": distanceNames[d]})
			m.bytes[d][kind] = tagged.Counter(prefix + "_bytes")
			m.messages[d][kind] = tagged.Counter(prefix + "_messages")
		}
		tagged := scope.Tagged(map[string]string{"kind": kindSession, "scope": distanceNames[d]})
		m.overhead[d] = tagged.Counter(prefix + "_bytes")
	}
	return m
}

// account counts the messages of a frame, and the rest of the carried bytes as
// overhead of the session. Sent bytes are all that the connection took; received
// ones are without the few bytes of drpc's own framing.
func (m *meter) account(d distance, messages []envelope, carried int64) {
	for _, message := range messages {
		if m.bytes[d][message.Kind] == nil {
			continue
		}
		m.bytes[d][message.Kind].Inc(int64(message.size()))
		m.messages[d][message.Kind].Inc(1)
		carried -= int64(message.size())
	}
	if carried > 0 {
		m.overhead[d].Inc(carried)
	}
}
