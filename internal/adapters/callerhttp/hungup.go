package callerhttp

import (
	"net"

	"hawthornstream/internal/adapters/tcpstate"
)

// hungUp reports whether the caller has closed its connection. It reports false
// where the kernel can't be asked; there only the call's context shows that the
// caller hung up.
func hungUp(conn net.Conn) bool {
	state := tcpstate.Peek(conn)
	return state == tcpstate.Closed || state == tcpstate.Reset
}
