// Package streamorigin decides at which software version a stream that its caller
// resumes may go on. What two software versions of a service write doesn't fit
// together, and backend servers don't check it.
//
// Load pattern: a daemon is killed, and within half a second the callers of all
// streams that it relayed resume them at other daemons, which never saw them. So the
// daemon that relays the first event of a stream records its origin in a table of its
// own and at two home daemons, which follow from the attempt ID by rendezvous hashing,
// and a daemon that gets a resumption asks the daemons that may be its homes.
//
// When all daemons end at once, these records end with them. While several software
// versions may have streams in progress, checkpoints in the platform's store outlive that.
//
// The package has no I/O, clock or lock. It is used by internal/app/dispatch.
package streamorigin
