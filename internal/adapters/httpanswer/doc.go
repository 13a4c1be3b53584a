// Package httpanswer rejects answers of HTTP servers that the client of net/http accepts though
// they don't follow the protocol. It is used by all adapters that read answers.
package httpanswer
