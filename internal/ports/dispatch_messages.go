package ports

// LoadMessage tells another daemon what this one runs on the backend servers
// that both use, and what its callers ask for. It replaces the earlier one.
type LoadMessage struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Servers  []ServerLoad `cbor:"2,keyasint,omitempty"`
	// Domain is set when the message sums what the daemons of a failure domain
	// run and ask for; it then replaces the earlier one of any of them.
	Domain FailureDomain `cbor:"5,keyasint,omitempty"`
	// ServerList is what the sender knows of the list of backend servers.
	ServerList ServerListDigest `cbor:"6,keyasint"`
	// Rates are present in some messages only; others leave the last ones valid.
	Rates []WorkspaceRates `cbor:"3,keyasint,omitempty"`
	// CachedPrefixes are the shared parts of prompts that the daemon sent to servers since
	// its last message to the receiver.
	CachedPrefixes []CachedPrefix `cbor:"4,keyasint,omitempty"`
}

// CachedPrefix says that a backend server keeps a shared part of prompts.
type CachedPrefix struct {
	_       struct{} `cbor:",toarray"`
	Service ServiceName
	// PrefixHash is the hash of the part's id.
	PrefixHash uint64
	Server     VMName
}

// ServerLoad is what one daemon runs on one backend server.
type ServerLoad struct {
	Service ServiceName `cbor:"1,keyasint"`
	Server  VMName      `cbor:"2,keyasint"`
	Calls   int         `cbor:"3,keyasint,omitempty"`
	// WaitingTokens are the prompt tokens of calls without a first byte, Memory the
	// tokens that all calls will occupy.
	WaitingTokens int `cbor:"4,keyasint,omitempty"`
	MemoryTokens  int `cbor:"5,keyasint,omitempty"`
}

// WorkspaceRates are the tokens a second that a workspace asks for and gets.
type WorkspaceRates struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	Demand    int64       `cbor:"2,keyasint,omitempty"`
	Granted   int64       `cbor:"3,keyasint,omitempty"`
}

// ServerListDigest says how new a daemon's list of backend servers is.
type ServerListDigest struct {
	_ struct{} `cbor:",toarray"`
	// Version is the platform's number of the newest change in the list.
	Version uint64
	// Watching says that the daemon follows the platform itself, and that the
	// platform answers.
	Watching bool
}

// ServerListPull asks a daemon for its list of backend servers.
type ServerListPull struct {
	// Have is the version that the sender has.
	Have uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*ServerListPull) Kind() MessageKind { return KindServerListPull }

// ServerListPush carries a list of backend servers.
type ServerListPush struct {
	Version uint64 `cbor:"1,keyasint"`
	Servers []VM   `cbor:"2,keyasint"`
	// Lapsed are those of the servers whose entries vanished around an outage of
	// the platform: they are gone unless they return.
	Lapsed []LapsedServer `cbor:"3,keyasint,omitempty"`
}

// LapsedServer is a server whose entry may still return.
type LapsedServer struct {
	Name VMName `cbor:"1,keyasint"`
	// GraceMillis is the time in milliseconds for which it may.
	GraceMillis int64 `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*ServerListPush) Kind() MessageKind { return KindServerListPush }

// ServerListFeed is a list of backend servers that some daemons follow at the
// platform and the others get from them.
type ServerListFeed interface {
	// Digest says how new this daemon's list is.
	Digest() ServerListDigest
	// Snapshot returns the list with its version.
	Snapshot() ServerListPush
	// Adopt takes a newer list over.
	Adopt(list ServerListPush)
	// SetWatching says whether this daemon has to follow the platform itself.
	SetWatching(follow bool)
}

// Kind implements Message.
func (*LoadMessage) Kind() MessageKind { return KindLoad }
