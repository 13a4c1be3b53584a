// Package memory decides which of the callers' requests a daemon has memory for. Its
// account knows every byte that the daemon holds for callers.
package memory
