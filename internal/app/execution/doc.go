// Package execution executes calls: it acquires a slot, runs the call on the slot's
// backend server and retries it where that is safe. The result of a call says
// whether any of its tries ran or may have run. The package is imported by the
// wiring of the daemon.
//
// Lock order: the mutexes of the history and of the budgets are leaves; no other
// lock is taken while one of them is held.
package execution
