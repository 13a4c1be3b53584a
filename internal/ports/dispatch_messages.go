package ports

// LoadMessage reports to a peer what the sender runs on the backend servers that
// both use, and what its callers demand. It replaces the sender's previous one.
type LoadMessage struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Servers  []ServerLoad `cbor:"2,keyasint,omitempty"`
	// Domain is set if the message comes from an aggregator and sums up the load
	// and demand of all daemons of a failure domain. It then replaces the previous
	// message for that domain, whichever daemon sent it.
	Domain FailureDomain `cbor:"5,keyasint,omitempty"`
	// Relayed is set by the daemon that passes the sums of another domain on to the
	// daemons of its own.
	Relayed bool `cbor:"7,keyasint,omitempty"`
	// ServerList describes the sender's copy of the list of backend servers. It is
	// zero in a relayed message.
	ServerList ServerListDigest `cbor:"6,keyasint"`
	// ServerListEra is the era of ServerList, which daemons of earlier releases
	// decode without it.
	ServerListEra uint64 `cbor:"8,keyasint,omitempty"`
	// Rates are present in some messages only. If absent, the previous ones stay
	// valid.
	Rates []WorkspaceRates `cbor:"3,keyasint,omitempty"`
	// CachedPrefixes are the prompt prefixes that the sender sent to backend
	// servers since its last message to the receiver.
	CachedPrefixes []CachedPrefix `cbor:"4,keyasint,omitempty"`
	// ServerEnds, SoundAnswers and SignsOfLife are what the sender has learned of
	// suspected prompt parts since its last message to the receiver.
	ServerEnds   []ServerEnd   `cbor:"9,keyasint,omitempty"`
	SoundAnswers []SoundAnswer `cbor:"10,keyasint,omitempty"`
	SignsOfLife  []SignOfLife  `cbor:"12,keyasint,omitempty"`
	// QuarantineEnds are the ends of all parts whose calls the sender refuses. They are
	// present in the messages with Rates.
	QuarantineEnds []ServerEnd `cbor:"11,keyasint,omitempty"`
	// ServerLimits are the limits of backend servers that the sender has learned of, or
	// that were confirmed to it, since its last message to the receiver.
	ServerLimits []ServerLimitReport `cbor:"13,keyasint,omitempty"`
	// Evacuations describes the sender's list of evacuated failure domains, and
	// EvacuationsEra is its era. Absent if the sender reads none.
	Evacuations    *ServerListDigest `cbor:"14,keyasint,omitempty"`
	EvacuationsEra uint64            `cbor:"15,keyasint,omitempty"`
	// Handover is the sender's offer to serve connections for its peers. It is absent
	// if the sender takes none over.
	Handover *HandoverOffer `cbor:"16,keyasint,omitempty"`
	// Demands are what the callers of the sender, or of its whole failure domain, ask of
	// each service. They are present only where the configuration has spillover.
	Demands []ServiceDemand `cbor:"20,keyasint,omitempty"`
}

// ServiceDemand reports what callers ask of a service per second: tokens of an engine, or
// calls of a plain service.
type ServiceDemand struct {
	_         struct{} `cbor:",toarray"`
	Service   ServiceName
	PerSecond float32
}

// ServerLimitReport reports the requests per second that a backend server takes from all
// daemons together.
type ServerLimitReport struct {
	_ struct{} `cbor:",toarray"`
	// Server and StartedMillis identify one start of the server.
	Server        VMName
	StartedMillis int64
	// IsSet is false if the server names a limit no longer.
	IsSet             bool
	RequestsPerSecond float64
	// AgeMillis is the time in milliseconds since the server said so.
	AgeMillis int64
}

// ServerEnd reports that a backend server broke the connection of a run with a prompt
// part before the run had a sound answer.
type ServerEnd struct {
	_ struct{} `cbor:",toarray"`
	// Part is the hash of the part and its service, Server that of the server and its
	// start.
	Part, Server uint64
	// AgeMillis is the time in milliseconds since then.
	AgeMillis int64
}

// SoundAnswer reports an answer to a prompt with a part that did not end its server.
type SoundAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Part is the hash of the part and its service.
	Part uint64
	// AgeMillis is the time in milliseconds since the answer began.
	AgeMillis int64
}

// SignOfLife reports that a backend server answered a request.
type SignOfLife struct {
	_ struct{} `cbor:",toarray"`
	// Server is the hash of the server and its start.
	Server uint64
	// AgeMillis is the time in milliseconds since the request was sent.
	AgeMillis int64
}

// CachedPrefix reports that a backend server has a prompt prefix cached.
type CachedPrefix struct {
	_       struct{} `cbor:",toarray"`
	Service ServiceName
	// PrefixHash is the hash of the ID of the prefix; see Prompt.PrefixID.
	PrefixHash uint64
	Server     VMName
}

// ServerLoad is what one daemon runs on one backend server.
type ServerLoad struct {
	Service ServiceName `cbor:"1,keyasint"`
	Server  VMName      `cbor:"2,keyasint"`
	Calls   int         `cbor:"3,keyasint,omitempty"`
	// PendingTokens counts the prompt tokens of the calls without a first byte.
	// MemoryTokens counts the tokens that all calls will occupy in the server's
	// memory.
	PendingTokens int `cbor:"4,keyasint,omitempty"`
	MemoryTokens  int `cbor:"5,keyasint,omitempty"`
}

// WorkspaceRates are the tokens per second that a workspace demands of a service
// and is granted.
type WorkspaceRates struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	Demand    int64       `cbor:"2,keyasint,omitempty"`
	Granted   int64       `cbor:"3,keyasint,omitempty"`
	// Shed is the part of Demand that is estimated for calls which were shed before
	// their workspace was known.
	Shed int64 `cbor:"4,keyasint,omitempty"`
	// Service is the service; the next rates without one are of the same service.
	Service ServiceName `cbor:"5,keyasint,omitempty"`
}

// SetServerList sets the digest that the message carries.
func (m *LoadMessage) SetServerList(digest ServerListDigest) {
	m.ServerList, m.ServerListEra = digest, digest.Era
}

// ServerListDigest returns the digest that the message carries.
func (m *LoadMessage) ServerListDigest() ServerListDigest {
	digest := m.ServerList
	digest.Era = m.ServerListEra
	return digest
}

// SetEvacuations sets the digest of the evacuated failure domains that the message
// carries; nil for none.
func (m *LoadMessage) SetEvacuations(digest *ServerListDigest) {
	m.Evacuations, m.EvacuationsEra = digest, 0
	if digest != nil {
		m.EvacuationsEra = digest.Era
	}
}

// EvacuationDigest returns the digest of the evacuated failure domains that the message
// carries, and false if it carries none.
func (m *LoadMessage) EvacuationDigest() (ServerListDigest, bool) {
	if m.Evacuations == nil {
		return ServerListDigest{}, false
	}
	digest := *m.Evacuations
	digest.Era = m.EvacuationsEra
	return digest, true
}

// ServerListDigest describes how recent a daemon's list of backend servers, or of
// evacuated failure domains, is.
type ServerListDigest struct {
	_ struct{} `cbor:",toarray"`
	// Version is the platform's number of the latest change in the list.
	Version uint64
	// Watching is true if the daemon watches the platform's list itself and the
	// platform answers.
	Watching bool
	// Era is the era of Version. It is not part of the encoded array, whose length
	// daemons of earlier releases check; see LoadMessage.ServerListEra.
	Era uint64 `cbor:"-"`
}

// StoreVersion returns the version of the list.
func (d ServerListDigest) StoreVersion() StoreVersion {
	return StoreVersion{Era: d.Era, Revision: d.Version}
}

// ServerListPull asks a daemon for its list of backend servers.
type ServerListPull struct {
	// Have is the revision of the sender's list, and HaveEra its era.
	Have    uint64 `cbor:"1,keyasint"`
	HaveEra uint64 `cbor:"2,keyasint,omitempty"`
}

// StoreVersion returns the version of the sender's list.
func (p *ServerListPull) StoreVersion() StoreVersion {
	return StoreVersion{Era: p.HaveEra, Revision: p.Have}
}

// Kind implements Message.
func (*ServerListPull) Kind() MessageKind { return KindServerListPull }

// ServerListPush carries a list of backend servers.
type ServerListPush struct {
	// Version is the platform's number of the latest change in the list, and Era
	// the era of that number.
	Version uint64 `cbor:"1,keyasint"`
	Era     uint64 `cbor:"4,keyasint,omitempty"`
	// Servers are the servers as the platform lists them.
	Servers []VM `cbor:"2,keyasint"`
	// Lapsed are those of Servers whose entries expired around an outage of the
	// platform. They are removed unless they write their entries again in time.
	Lapsed []LapsedServer `cbor:"3,keyasint,omitempty"`
	// Outdated are those of Servers whose entries come from an older copy of the
	// store and contradict what the sender has read before.
	Outdated []OutdatedServer `cbor:"5,keyasint,omitempty"`
	// Cold are those of Servers that are cold by their entries.
	Cold []ColdServer `cbor:"6,keyasint,omitempty"`
}

// StoreVersion returns the version of the list.
func (p *ServerListPush) StoreVersion() StoreVersion {
	return StoreVersion{Era: p.Era, Revision: p.Version}
}

// OutdatedServer is a backend server whose entry comes from an older copy of the
// store.
type OutdatedServer struct {
	Name VMName `cbor:"1,keyasint"`
	// Known is the server as it was listed before the store was restored; nil if
	// it was gone.
	Known *VM `cbor:"2,keyasint,omitempty"`
	// HoldMillis is the time in milliseconds for which Known holds in place of the
	// entry, unless the entry is written again before.
	HoldMillis int64 `cbor:"3,keyasint"`
}

// ColdServer is a backend server that is cold by its entry.
type ColdServer struct {
	Name VMName `cbor:"1,keyasint"`
	// LeftMillis is the time in milliseconds for which it will be cold.
	LeftMillis int64 `cbor:"2,keyasint"`
}

// LapsedServer is a backend server whose entry expired and may still be written
// again.
type LapsedServer struct {
	Name VMName `cbor:"1,keyasint"`
	// GraceMillis is the time in milliseconds that remains for that.
	GraceMillis int64 `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*ServerListPush) Kind() MessageKind { return KindServerListPush }

// ServerListFeed is a list of backend servers that some daemons watch at the
// platform and pass on to the other daemons.
type ServerListFeed interface {
	// Digest returns how recent this daemon's list is.
	Digest() ServerListDigest
	// Snapshot returns the list with its version.
	Snapshot() ServerListPush
	// Adopt replaces this daemon's list if the given one is newer.
	Adopt(list ServerListPush)
	// SetWatching sets whether this daemon watches the platform's list itself.
	SetWatching(watch bool)
}

// Kind implements Message.
func (*LoadMessage) Kind() MessageKind { return KindLoad }
