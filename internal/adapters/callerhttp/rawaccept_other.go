//go:build !linux

package callerhttp

import "net"

// resetNextConnection reports false: connections are accepted first on these systems.
func resetNextConnection(net.Listener) bool {
	return false
}
