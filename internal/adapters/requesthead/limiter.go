// Package requesthead bounds the memory of the heads of requests that an http.Server is reading,
// on all its connections together. It may be imported by the adapters that serve HTTP.
package requesthead

import (
	"net"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/core/memory"
)

// Limiter bounds the heads that arrive over the connections of listeners.
type Limiter struct {
	account *heldmemory.Account
	// refusal returns the answer to a head for which there is no memory.
	refusal func() []byte
	// handshakeFailed is called with the error of a TLS handshake.
	handshakeFailed func(net.Conn, error)
}

// NewLimiter returns a limiter. A nil account has no limit.
func NewLimiter(account *heldmemory.Account, refusal func() []byte, handshakeFailed func(net.Conn, error)) *Limiter {
	return &Limiter{account: account, refusal: refusal, handshakeFailed: handshakeFailed}
}

// Listener returns a listener whose connections are *Conn, which are those of inner with a
// limit. It must be the outermost one, also above TLS.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: inner, limiter: l.limiter, inHead: true}
	conn.memory = l.limiter.account.NewMessage(memory.KindHead, sourceOf(inner.RemoteAddr()), uncountedBytes, conn.interrupt)
	return conn, nil
}

// sourceOf returns the IP address of the caller as the source of its messages.
func sourceOf(address net.Addr) memory.Source {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return memory.Source(tcp.IP.String())
	}
	return memory.Source(address.String())
}
