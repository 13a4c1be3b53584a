// Package quarantine determines which parts of prompts end the backend servers that run
// them. It has no I/O and no clock and is imported by internal/app/dispatch.
//
// Load pattern: one part of a prompt ends each server that begins to answer it. Calls
// with the part arrive at any daemon, each of which sees a few of the ends alone, and
// every end also cuts the sound calls of the server. Sound calls share their other parts
// with them and must go on.
//
// A run that breaks before its answer has lasted for a while is counted against all its
// shared parts, until the server answers a later request. An answer that lasted, or was
// whole, clears its parts. Daemons tell each other of all three. A part is quarantined
// after the ends of several servers, apart in time, without a sound answer since.
package quarantine
