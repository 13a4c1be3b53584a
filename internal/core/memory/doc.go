// Package memory decides which of the callers' requests, and of the messages that others send, a
// daemon has memory for. Its account knows every byte that the daemon holds for others.
package memory
