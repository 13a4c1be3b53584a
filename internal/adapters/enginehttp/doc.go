// Package enginehttp runs calls on model engines. It relays a streamed answer event
// by event, and resumes it over a new connection when its connection breaks. It is
// imported by the code that wires the daemon.
package enginehttp
