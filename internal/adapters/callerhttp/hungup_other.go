//go:build !linux

package callerhttp

import "net"

// hungUp always reports false on systems where the kernel is not asked. There
// only the call's context shows that the caller hung up.
func hungUp(net.Conn) bool {
	return false
}
