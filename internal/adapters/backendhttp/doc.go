// Package backendhttp sends requests to backend servers over HTTP/1.1. For each
// failed request it reports whether a byte may have been written to a connection.
// It is for the adapters of the kinds of backend server, such as enginehttp and
// servicehttp, and for the code that wires them.
package backendhttp
