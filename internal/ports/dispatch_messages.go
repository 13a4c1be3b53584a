package ports

// LoadMessage tells another daemon what this one runs on the backend servers
// that both use, and what its callers ask for. It replaces the earlier one.
type LoadMessage struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Servers  []ServerLoad `cbor:"2,keyasint,omitempty"`
	// Rates are present in some messages only; others leave the last ones valid.
	Rates []WorkspaceRates `cbor:"3,keyasint,omitempty"`
	// Kept are the shared parts of prompts that the daemon sent to servers since
	// its last message to the receiver.
	Kept []KeptPrompt `cbor:"4,keyasint,omitempty"`
}

// KeptPrompt says that a backend server keeps a shared part of prompts.
type KeptPrompt struct {
	_       struct{} `cbor:",toarray"`
	Service ServiceName
	// Part is the hash of the part's id.
	Part   uint64
	Server VMName
}

// ServerLoad is what one daemon runs on one backend server.
type ServerLoad struct {
	Service ServiceName `cbor:"1,keyasint"`
	Server  VMName      `cbor:"2,keyasint"`
	Calls   int         `cbor:"3,keyasint,omitempty"`
	// Waiting are the prompt tokens of calls without a first byte, Memory the
	// tokens that all calls will occupy.
	Waiting int `cbor:"4,keyasint,omitempty"`
	Memory  int `cbor:"5,keyasint,omitempty"`
}

// WorkspaceRates are the tokens a second that a workspace asks for and gets.
type WorkspaceRates struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	Asked     int64       `cbor:"2,keyasint,omitempty"`
	Granted   int64       `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*LoadMessage) Kind() MessageKind { return KindLoad }
