// Package dispatch decides, on one daemon and without asking another, which
// backend server runs a call, whether the call waits or is refused, and when a
// refused caller should retry. Reports from other daemons about their load and
// their workspaces' demand improve the decisions but are not required for them.
//
// Each part of the package answers one load pattern:
//
//   - placement: many calls share long prompt prefixes, and processing such a
//     prefix again costs more than most answers;
//   - latency model: engines queue whatever they are sent, in order of arrival,
//     so that beyond some load every answer is late;
//   - fair shares: a few workspaces demand many times their share while the
//     calls of the others wait behind theirs;
//   - health: a server is gone, slow or failing before the platform reports it;
//   - limits: a server takes fewer requests per second than there are daemons;
//   - warm-up: servers return cold and idle, and look best to each daemon.
//
// The package has no I/O, clock or lock. It is used by internal/app/dispatch.
package dispatch
