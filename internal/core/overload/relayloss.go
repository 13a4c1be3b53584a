package overload

import "time"

const (
	// minIdleBeforeClose is how long a relayed connection is idle at least before the daemon
	// that serves it closes it for that.
	minIdleBeforeClose = 500 * time.Millisecond
	// maxCrossing bounds the time in which the end of a connection and a request cross each
	// other between two daemons of a failure domain.
	maxCrossing = 100 * time.Millisecond
)

// MayHaveCrossedClose reports whether the daemon that serves a relayed connection may have
// closed it as idle before it read a request. The connection was idle for idleBefore when the
// request was passed on to that daemon, which ended it sinceSent later.
func MayHaveCrossedClose(idleBefore, sinceSent time.Duration) bool {
	return idleBefore >= minIdleBeforeClose && sinceSent < maxCrossing
}
