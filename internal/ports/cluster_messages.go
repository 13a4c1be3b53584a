package ports

// MemberState is what a daemon believes of another one.
type MemberState uint8

// The states of a member, from the weakest to the strongest claim about one
// incarnation.
const (
	// MemberAlive is a member that answers, or is taken to.
	MemberAlive MemberState = iota
	// MemberSuspect is a member that neither answered a probe nor the probes
	// of others. It keeps its roles until it is declared dead.
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

// MemberUpdate is one claim about a member. A claim about a later incarnation,
// or the same with a later refutation, overrides an earlier one.
type MemberUpdate struct {
	_           struct{} `cbor:",toarray"`
	Daemon      DaemonID
	Incarnation Incarnation
	// Refutation counts the suspicions that the incarnation has refuted.
	Refutation uint32
	State      MemberState
}

// Probe asks a daemon to answer with a ProbeAck.
type Probe struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Incarnation and Refutation are the sender's.
	Incarnation Incarnation `cbor:"2,keyasint"`
	Refutation  uint32      `cbor:"3,keyasint,omitempty"`
	// ConfigurationRevision is the revision in force at the sender.
	ConfigurationRevision uint64         `cbor:"4,keyasint,omitempty"`
	Updates               []MemberUpdate `cbor:"5,keyasint,omitempty"`
	// NotAliveDigest is a digest of the listed members that the sender believes not
	// live.
	NotAliveDigest uint64 `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*Probe) Kind() MessageKind { return KindProbe }

// ProbeAck answers a Probe or, through another daemon, a ProbeRequest.
type ProbeAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Incarnation and Refutation are those of the daemon that was probed.
	Incarnation Incarnation `cbor:"2,keyasint"`
	Refutation  uint32      `cbor:"3,keyasint,omitempty"`
	// ConfigurationRevision is the revision in force at the sender.
	ConfigurationRevision uint64         `cbor:"4,keyasint,omitempty"`
	Updates               []MemberUpdate `cbor:"5,keyasint,omitempty"`
	// Target is the daemon that was probed, empty when it is the sender.
	Target DaemonID `cbor:"6,keyasint,omitempty"`
	// NotAliveDigest is a digest of the listed members that the sender believes not
	// live.
	NotAliveDigest uint64 `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*ProbeAck) Kind() MessageKind { return KindProbeAck }

// ProbeRequest asks a daemon to probe another one for the sender.
type ProbeRequest struct {
	Sequence uint64         `cbor:"1,keyasint"`
	Target   DaemonID       `cbor:"2,keyasint"`
	Updates  []MemberUpdate `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*ProbeRequest) Kind() MessageKind { return KindProbeRequest }

// RevisionExchange carries the number of the configuration revision in force
// on the probes between daemons.
type RevisionExchange interface {
	// ExchangeRevisions registers the source of this daemon's revision and an
	// observer of the others'. Neither may block. It must be called before the
	// start.
	ExchangeRevisions(current func() uint64, observe func(from DaemonID, revision uint64))
}

// Leaver announces that this daemon gives its roles up.
type Leaver interface {
	// Leave tells the other daemons that this one is leaving, so that they
	// take its roles over at once. Its sessions stay up.
	Leave()
}
