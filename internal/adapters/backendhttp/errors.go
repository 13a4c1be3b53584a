package backendhttp

import "fmt"

// ConnectError says that a backend server took no connection. Nothing was sent.
type ConnectError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error {
	return e.Cause
}

// ConnectionLimitError says that the client has as many connections to a server
// as it may, and all are in use.
type ConnectionLimitError struct {
	Limit int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// ExchangeError says that a request got no whole answer.
type ExchangeError struct {
	Address string
	// Handed says whether a byte of the request was handed to a connection.
	Handed bool
	// Silent says that the connection made no progress in time.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s (handed=%t silent=%t): %v", e.Address, e.Handed, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error {
	return e.Cause
}

// TooLargeError says that an answer is larger than what is held for it.
type TooLargeError struct {
	Limit int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Limit)
}

// NoLoadReportError says that a backend server gives no load report.
type NoLoadReportError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *NoLoadReportError) Error() string {
	return fmt.Sprintf("no load report from %s: status %d", e.Address, e.Status)
}

// NoLoadReport marks the error for readers of load reports.
func (*NoLoadReportError) NoLoadReport() {}
