//go:build !linux

package callerhttp

import "net"

// hungUp leaves it to the call's context where the kernel is not asked.
func hungUp(net.Conn) bool {
	return false
}
