// Package idempotency lets at most one attempt run for each idempotency key of
// a workspace. AttemptManager runs at the entry, the daemon that took the call;
// RangeManager runs at the daemon that owns the key's range. The package is
// imported by internal/app/execution.
//
// Lock order: the mutexes of AttemptManager and RangeManager are leaves. While one
// of them is held, no message is sent and no platform call is made.
package idempotency
