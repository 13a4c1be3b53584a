// Package dispatch decides, on one daemon and without asking another, which
// backend server runs a call, whether the call waits or is refused, and when a
// refused caller should come back. What other daemons tell of their load and of
// what their workspaces asked for improves the decisions; without it they hold.
//
// The load pattern that each decision answers:
//
//   - placement: many calls share long beginnings of their prompts, and reading
//     such a part again costs more than most answers;
//   - first-token model: engines queue whatever they are sent, in order of
//     arrival, so that beyond some load every answer is late;
//   - shares: a few workspaces ask for many times their part while the others'
//     calls wait behind theirs;
//   - health: a server is gone, slow or failing before the platform says so.
//
// The package has no I/O, clock or lock. internal/app/dispatch imports it.
package dispatch
