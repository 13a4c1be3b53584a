// Package soak runs real daemons against the stand-ins of the platform, injects
// faults from outside by a seed, and checks the promises while it runs from what
// callers and backend servers see. It ends only processes that it started.
package soak
