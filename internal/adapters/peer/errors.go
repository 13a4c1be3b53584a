package peer

import (
	"fmt"

	"hawthornstream/internal/ports"
)

// MessageTooLargeError says that an encoded message exceeds maxMessageBytes.
type MessageTooLargeError struct {
	Kind  ports.MessageKind
	Bytes int
}

// Error implements error.
func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("message of kind %d has %d bytes, limit %d", e.Kind, e.Bytes, maxMessageBytes)
}

// FrameTooLargeError says that an encoded frame, or a hello, exceeds its limit.
type FrameTooLargeError struct {
	Bytes, Limit int
}

// Error implements error.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame has %d bytes, more than %d", e.Bytes, e.Limit)
}

// MalformedFrameError says that received bytes can't be decoded as a frame, a reply or
// a message.
type MalformedFrameError struct {
	Cause error
}

// Error implements error.
func (e *MalformedFrameError) Error() string {
	return fmt.Sprintf("malformed frame: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedFrameError) Unwrap() error {
	return e.Cause
}

// MissingHelloError says that a session did not begin with a hello.
type MissingHelloError struct{}

// Error implements error.
func (e *MissingHelloError) Error() string {
	return "session without hello"
}

// ProtocolVersionError says that the dialling daemon uses another protocol version.
type ProtocolVersionError struct {
	Version uint32
}

// Error implements error.
func (e *ProtocolVersionError) Error() string {
	return fmt.Sprintf("protocol version %d, want %d", e.Version, protocolVersion)
}

// WrongDaemonError says that a session is addressed to another daemon, or comes from a
// daemon with the name of this one.
type WrongDaemonError struct {
	To ports.DaemonID
}

// Error implements error.
func (e *WrongDaemonError) Error() string {
	return fmt.Sprintf("session is meant for daemon %q", e.To)
}

// CertificateMismatchError says that the certificate of the dialling daemon does not
// name the daemon in its hello.
type CertificateMismatchError struct {
	From ports.DaemonID
}

// Error implements error.
func (e *CertificateMismatchError) Error() string {
	return fmt.Sprintf("the certificate does not name daemon %q", e.From)
}

// SupersededSessionError says that a later session of the sender was accepted.
type SupersededSessionError struct {
	From    ports.DaemonID
	Session uint64
}

// Error implements error.
func (e *SupersededSessionError) Error() string {
	return fmt.Sprintf("session %d of daemon %q was superseded by a later one", e.Session, e.From)
}

// NoPeerAddressError says that the VM list has no address of a daemon.
type NoPeerAddressError struct {
	Peer ports.DaemonID
}

// Error implements error.
func (e *NoPeerAddressError) Error() string {
	return fmt.Sprintf("the VM list has no address of daemon %q", e.Peer)
}
