// Package soak runs daemon processes against fakes of the platform's store and of
// backend servers. It injects random faults that a seed determines, and checks during
// the run, from what callers and backend servers observe, that the guarantees hold.
// It ends only processes that it started.
package soak
