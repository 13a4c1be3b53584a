// Package quarantine determines which calls, and which parts of prompts, end the backend
// servers that run them. It has no I/O and no clock and is imported by
// internal/app/dispatch and, for the hash of a call, internal/app/execution.
//
// Load patterns: one part of a prompt ends each server that begins to answer it, or one
// call does, which its caller sends again and again. The calls arrive at any daemon, each
// of which sees a few of the ends alone, and every end also cuts the sound calls of the
// server. Sound calls share other parts, the caller and the path with them, or come again
// too, and must go on.
//
// A run that breaks before its answer has lasted for a while is counted against the call
// and all its shared parts, the possible causes, until the server answers a later request.
// An answer that lasted, or was whole, clears its causes. Daemons tell each other of all
// three. A cause is quarantined after the ends of several servers, apart in time, without a
// sound answer since. What a quarantined call ended counts against no other call.
package quarantine
