package backendhttp

import "fmt"

// ConnectError reports that no connection to a backend server could be opened. No
// byte of the request was sent.
type ConnectError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause)
}

// Unwrap returns Cause.
func (e *ConnectError) Unwrap() error {
	return e.Cause
}

// ConnectionLimitError reports that the client has reached its limit of
// connections to a server and none of them is idle.
type ConnectionLimitError struct {
	// Limit is Request.MaxConnections.
	Limit int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// ExchangeError reports that a connection was opened but no complete answer was
// received.
type ExchangeError struct {
	Address string
	// MaybeSent is false only if no byte of the request was written to a
	// connection.
	MaybeSent bool
	// Unwanted is true if no byte was written because the caller had gone or the context had
	// ended by then.
	Unwanted bool
	// Silent is true if the connection was closed because it received nothing for
	// too long.
	Silent bool
	// Malformed is true if the connection had not broken: what the server sent is no answer.
	Malformed bool
	// OversizedHead is true if the head of the answer didn't become whole, though it was
	// larger by then than the heads of sound servers.
	OversizedHead bool
	Cause         error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s (maybe sent=%t silent=%t): %v", e.Address, e.MaybeSent, e.Silent, e.Cause)
}

// Unwrap returns Cause.
func (e *ExchangeError) Unwrap() error {
	return e.Cause
}

// AnswerTooLargeError reports that a body is larger than the limit of ReadAll.
type AnswerTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Limit)
}

// AnswerMismatchError reports an answer that names another request, such as a second
// copy of an earlier answer on the same connection.
type AnswerMismatchError struct {
	Address string
}

// Error implements error.
func (e *AnswerMismatchError) Error() string {
	return "the answer of " + e.Address + " names another request"
}

// NoLoadReportError reports that a backend server answered without a valid load
// report.
type NoLoadReportError struct {
	Address string
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *NoLoadReportError) Error() string {
	return fmt.Sprintf("no load report from %s: status %d", e.Address, e.Status)
}

// NoLoadReport is a marker method, by which readers of load reports recognize the
// error without importing this package.
func (*NoLoadReportError) NoLoadReport() {}
