// Package membership implements a SWIM-style membership protocol that decides
// which daemons are considered alive. Each daemon probes others directly, asks
// further daemons for indirect probes before it suspects a silent one, and
// refutes suspicions of itself. Membership updates are piggybacked on the probe
// messages. The package does no I/O and reads no clock; the caller passes in the
// time and sends the messages that are returned. It may be imported by
// internal/app.
package membership

import "time"

// Config holds the periods and limits of the protocol.
type Config struct {
	// ProbePeriod is the time between two direct probes by a daemon, and the time
	// after which an unanswered probe makes its target a suspect.
	ProbePeriod time.Duration
	// AckTimeout is the time after which indirect probes of a silent target are
	// requested. It must be shorter than ProbePeriod.
	AckTimeout time.Duration
	// IndirectProbes is the number of daemons that are asked to probe a silent
	// target.
	IndirectProbes int
	// SuspicionTimeout is the time that a suspect has to refute the suspicion in
	// a fleet of up to ten daemons. It grows with the logarithm of the fleet size.
	SuspicionTimeout time.Duration
	// DeadProbePeriod is the time between two probes of listed members that are
	// considered dead.
	DeadProbePeriod time.Duration
	// FastDeadProbeDuration is how long one such member is also probed in every
	// ProbePeriod after a dead or left member was found alive, since a network
	// partition may have ended.
	FastDeadProbeDuration time.Duration
	// PauseThreshold is the time between two ticks above which this daemon
	// assumes that it was paused itself.
	PauseThreshold time.Duration
	// MaxMessageUpdates is the maximum number of updates on one message, apart
	// from those of a reconciliation and corrections.
	MaxMessageUpdates int
	// RetransmitMultiplier times the logarithm of the fleet size is the number of
	// messages that carry an update.
	RetransmitMultiplier int
	// DigestMismatchThreshold is the number of consecutive probes or acks from a
	// daemon with a differing digest of dead or left members after which this
	// daemon sends it its own set of them.
	DigestMismatchThreshold int
	// MaxReconciledUpdates is the maximum number of updates that are sent then.
	MaxReconciledUpdates int
	// LeaveFanout is the maximum number of daemons that a leaving daemon notifies
	// directly.
	LeaveFanout int
	// ForgetAfter is how long a member is kept that is neither considered alive
	// nor in the VM list.
	ForgetAfter time.Duration
	// MaxUnlistedMembers is the maximum number of members kept that are not in the
	// VM list.
	MaxUnlistedMembers int
}

// DefaultConfig returns the periods and limits that daemons use.
func DefaultConfig() Config {
	return Config{
		ProbePeriod:             time.Second,
		AckTimeout:              300 * time.Millisecond,
		IndirectProbes:          3,
		SuspicionTimeout:        3 * time.Second,
		DeadProbePeriod:         5 * time.Second,
		FastDeadProbeDuration:   10 * time.Second,
		PauseThreshold:          time.Second,
		MaxMessageUpdates:       8,
		RetransmitMultiplier:    3,
		DigestMismatchThreshold: 3,
		MaxReconciledUpdates:    64,
		LeaveFanout:             64,
		ForgetAfter:             5 * time.Minute,
		MaxUnlistedMembers:      1024,
	}
}
