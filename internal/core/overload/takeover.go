package overload

import "time"

const (
	// takenOverLifetime is the age from which a connection that was taken over is closed
	// after its next answer, so that the daemon that relays it soon gets rid of it.
	takenOverLifetime = 1500 * time.Millisecond
	// VouchInterval is the time between two reports of a daemon that doesn't stop about the
	// connections that it relays. They name those that are as old: a younger one was handed
	// over by a daemon that didn't stop just before.
	VouchInterval = 500 * time.Millisecond
	// relaySilence is the time without reports after which the relaying daemon may have
	// announced a stop and be about to refuse calls, which is usually 2 s later. It is longer
	// than takenOverLifetime, so that answers ask to close before.
	relaySilence = 1800 * time.Millisecond
)

// RelayState is what a daemon that relays a connection to this one has said of its stop.
// The states only advance.
type RelayState uint32

// Values of RelayState.
const (
	// RelayOpen means that the relaying daemon doesn't stop.
	RelayOpen RelayState = iota
	// RelayClosing means that it asks its callers to close their connections.
	RelayClosing
	// RelayRefusing means that it refuses further calls: they might not end before it does.
	RelayRefusing
)

// String returns the name of the state.
func (s RelayState) String() string {
	switch s {
	case RelayOpen:
		return "open"
	case RelayClosing:
		return "closing"
	default:
		return "refusing"
	}
}

// RelayStateOf returns the state that a daemon tells with its stop.
func RelayStateOf(refusesCalls bool) RelayState {
	if refusesCalls {
		return RelayRefusing
	}
	return RelayClosing
}

// ShouldCloseTakenOver reports whether a connection that was taken over is to be closed
// after its next answer.
func ShouldCloseTakenOver(age time.Duration, relay RelayState) bool {
	return age >= takenOverLifetime || relay >= RelayClosing
}

// ShouldVouch reports whether a daemon that doesn't stop reports a connection of the given
// age that it relays.
func ShouldVouch(age time.Duration) bool {
	return age >= VouchInterval
}

// ShouldRefuseTakenOver reports whether a further call on a connection that was taken
// over is to be refused. The silence is the time since the last report of the connection, or
// since it was taken over.
//
// Load pattern: a late daemon is stopped, and callers keep the connections that it relays
// in use. The daemon that serves them doesn't stop, but loses them with the relay. None of
// the relaying daemon's reports may reach it.
func ShouldRefuseTakenOver(silence time.Duration, relay RelayState) bool {
	return relay >= RelayRefusing || silence >= relaySilence
}
