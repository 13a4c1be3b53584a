package ports

// MemberState is the state of a member as another daemon sees it.
type MemberState uint8

// The states of a member, in ascending order of precedence for one incarnation.
const (
	// MemberAlive is a member that answers probes, or is assumed to.
	MemberAlive MemberState = iota
	// MemberSuspect is a member that answered neither a direct probe nor those
	// that other daemons sent on request. It keeps its roles until it is declared
	// dead.
	MemberSuspect
	// MemberDead is a member that did not refute a suspicion in time.
	MemberDead
	// MemberLeft is a member that announced its planned stop.
	MemberLeft
)

// String implements fmt.Stringer.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberDead:
		return "dead"
	case MemberLeft:
		return "left"
	default:
		return "invalid"
	}
}

// MemberUpdate is one claim about the state of a member. A higher incarnation
// overrides a lower one; within one incarnation, a higher refutation does.
type MemberUpdate struct {
	_           struct{} `cbor:",toarray"`
	Daemon      DaemonID
	Incarnation Incarnation
	// Refutation counts the suspicions that this incarnation has refuted.
	Refutation uint32
	State      MemberState
}

// Probe asks a daemon to answer with a ProbeAck.
type Probe struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Incarnation and Refutation are those of the sender.
	Incarnation Incarnation `cbor:"2,keyasint"`
	Refutation  uint32      `cbor:"3,keyasint,omitempty"`
	// ConfigurationRevision is the revision in force at the sender.
	ConfigurationRevision uint64         `cbor:"4,keyasint,omitempty"`
	Updates               []MemberUpdate `cbor:"5,keyasint,omitempty"`
	// DeadOrLeftDigest is a hash over the listed members that the sender considers
	// dead or left.
	DeadOrLeftDigest uint64 `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*Probe) Kind() MessageKind { return KindProbe }

// ProbeAck answers a Probe or, relayed by the probing daemon, a ProbeRequest.
type ProbeAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Incarnation and Refutation are those of the daemon that was probed.
	Incarnation Incarnation `cbor:"2,keyasint"`
	Refutation  uint32      `cbor:"3,keyasint,omitempty"`
	// ConfigurationRevision is the revision in force at the sender.
	ConfigurationRevision uint64         `cbor:"4,keyasint,omitempty"`
	Updates               []MemberUpdate `cbor:"5,keyasint,omitempty"`
	// Target is the daemon that was probed; empty if it is the sender.
	Target DaemonID `cbor:"6,keyasint,omitempty"`
	// DeadOrLeftDigest is a hash over the listed members that the sender considers
	// dead or left.
	DeadOrLeftDigest uint64 `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*ProbeAck) Kind() MessageKind { return KindProbeAck }

// ProbeRequest asks a daemon to probe Target on behalf of the sender.
type ProbeRequest struct {
	Sequence uint64         `cbor:"1,keyasint"`
	Target   DaemonID       `cbor:"2,keyasint"`
	Updates  []MemberUpdate `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*ProbeRequest) Kind() MessageKind { return KindProbeRequest }

// RevisionExchange piggybacks the number of the configuration revision in force
// on the probes between daemons.
type RevisionExchange interface {
	// ExchangeRevisions registers the source of this daemon's revision number and
	// an observer of the peers' numbers. Neither may block. It must be called
	// before the start.
	ExchangeRevisions(current func() uint64, observe func(from DaemonID, revision uint64))
}

// Leaver announces that this daemon gives up its roles.
type Leaver interface {
	// Leave announces to the peers that this daemon is leaving, so that they take
	// over its roles immediately. Its sessions stay up.
	Leave()
}
