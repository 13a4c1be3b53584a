package ports

import "hawthornstream/internal/core/configuration"

// ConfigurationDigest announces which revision the sender has in force.
type ConfigurationDigest struct {
	// Number is zero before the first revision.
	Number configuration.RevisionNumber `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*ConfigurationDigest) Kind() MessageKind { return KindConfigurationDigest }

// ConfigurationPull asks a peer for the changes from the sender's revision to
// the peer's.
type ConfigurationPull struct {
	// Have is the sender's revision; zero requests the whole document.
	Have configuration.RevisionNumber `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*ConfigurationPull) Kind() MessageKind { return KindConfigurationPull }

// ConfigurationPush carries one revision, as a patch or as a whole document.
type ConfigurationPush struct {
	Number  configuration.RevisionNumber `cbor:"1,keyasint"`
	ApplyID string                       `cbor:"2,keyasint,omitempty"`
	Author  string                       `cbor:"3,keyasint,omitempty"`
	// AcceptedAtNanos is the time of acceptance in nanoseconds since the Unix
	// epoch.
	AcceptedAtNanos int64 `cbor:"4,keyasint"`
	// Digest is the SHA-256 digest of the revision's canonical JSON.
	Digest []byte `cbor:"5,keyasint"`
	// Base is the revision that Patch applies to; zero if Document is set.
	Base configuration.RevisionNumber `cbor:"6,keyasint,omitempty"`
	// Patch is a JSON merge patch against Base.
	Patch []byte `cbor:"7,keyasint,omitempty"`
	// Document is the whole canonical document.
	Document []byte `cbor:"8,keyasint,omitempty"`
}

// Kind implements Message.
func (*ConfigurationPush) Kind() MessageKind { return KindConfigurationPush }
