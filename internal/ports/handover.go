package ports

// HandoverOffer is a daemon's offer to serve callers' connections that other daemons of
// its failure domain accepted.
type HandoverOffer struct {
	_ struct{} `cbor:",toarray"`
	// Domain is the failure domain of the daemon.
	Domain FailureDomain
	// Address is the "ip:port" at which the daemon takes connections over.
	Address string
	// SpareMillicores is the processor time that the daemon has to spare, in
	// thousandths of a core.
	SpareMillicores int64
}

// HandoverOffers exchanges offers with the other daemons of the failure domain.
type HandoverOffers interface {
	// OwnOffer returns this daemon's offer, or nil if it takes no connections over.
	OwnOffer() *HandoverOffer
	// SetPeerOffer records the offer of another daemon, nil if it makes none.
	SetPeerOffer(from DaemonID, offer *HandoverOffer)
}

// RelayReport tells a daemon which callers' connections the sender relays to it, and whether a
// stop of the sender will end them. It is sent repeatedly while such connections are open.
//
// A report that no stop is near leaves Connections empty: daemons of the earlier version take
// each of them for one that a stop ends.
type RelayReport struct {
	// Connections are the sender's ends of the relayed connections, each as "ip:port", if the
	// sender stops.
	Connections []string `cbor:"1,keyasint,omitempty"`
	// RefusesCalls is true once the sender refuses further calls of its callers; before,
	// it only asks them to close their connections.
	RefusesCalls bool `cbor:"2,keyasint,omitempty"`
	// CutInMillis is the time in milliseconds until the sender cuts the connections off; zero
	// if its stop has no limit, or the sender is of a version that doesn't tell.
	CutInMillis int64 `cbor:"3,keyasint,omitempty"`
	// OpenHost and OpenPorts are the IP address and the ports of the sender's ends of relayed
	// connections, if it doesn't stop.
	OpenHost  string   `cbor:"4,keyasint,omitempty"`
	OpenPorts []uint16 `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*RelayReport) Kind() MessageKind { return KindRelayReport }

// RelayBreak is about relayed connections that broke between the daemon that relays and the one
// that serves them, while both may go on. The relaying daemon asks; the serving one answers.
type RelayBreak struct {
	// Connections are the asking daemon's ends of the connections, each as "ip:port".
	Connections []string `cbor:"1,keyasint,omitempty"`
	// Unanswered are those of the asked ones on which the answering daemon has read a call and
	// has sent nothing of its answer.
	Unanswered []string `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*RelayBreak) Kind() MessageKind { return KindRelayBreak }

// HandoverStatus is the state of handing callers' connections over.
type HandoverStatus struct {
	// Address is where this daemon takes connections over.
	Address string `json:"address"`
	// Fraction is the part of its new connections that this daemon hands over.
	Fraction float64 `json:"fraction"`
	// SpareMillicores is the processor time that this daemon offers.
	SpareMillicores int64 `json:"spareMillicores"`
	// Peers are the daemons that offer to take connections over, with the processor
	// time that each is taken to have left, in thousandths of a core.
	Peers map[DaemonID]int64 `json:"peers,omitempty"`
}

// HandoverView shows the state of handing callers' connections over.
type HandoverView interface {
	// HandoverStatus returns nil if this daemon hands no connections over.
	HandoverStatus() *HandoverStatus
}
