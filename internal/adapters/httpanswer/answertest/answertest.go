// Package answertest has answers of HTTP servers that don't follow the protocol. It is used by the
// tests of adapters that read answers.
package answertest

import (
	"io"
	"net/http"
	"strings"
)

// invalidParts has the text of a sound answer that is replaced, and by what, by what is wrong then.
var invalidParts = map[string][2]string{
	"status 000":              {"200 OK", "000 None"},
	"blank in a name":         {"\r\n\r\n", "\r\nX Field: v\r\n\r\n"},
	"blank before a colon":    {"Content-Length: ", "Content-Length : "},
	"control byte in a name":  {"\r\n\r\n", "\r\nX\x01Field: v\r\n\r\n"},
	"invalid interim answer":  {"HTTP/1.1 200", "HTTP/1.1 103 Early Hints\r\nX Field: v\r\n\r\nHTTP/1.1 200"},
	"invalid trailer":         {"Content-Length: 2\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Field: v\r\n\r\n"},
	"more than the body sent": {"Content-Length: 2", "Content-Length: 3"},
}

// Handlers returns servers whose answers, with an empty JSON object as their body, are invalid, by
// what is wrong with them.
func Handlers() map[string]http.HandlerFunc {
	handlers := make(map[string]http.HandlerFunc)
	for name, part := range invalidParts {
		answer := strings.Replace("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}", part[0], part[1], 1)
		handlers[name] = func(w http.ResponseWriter, _ *http.Request) { write(w, answer) }
	}
	return handlers
}

// write sends the bytes of an answer and closes the connection.
func write(w http.ResponseWriter, answer string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, answer)
	_ = conn.Close()
}
