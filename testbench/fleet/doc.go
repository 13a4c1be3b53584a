// Package fleet runs daemons as real processes, with stand-ins for the platform
// and the backend servers, and acts as their callers and operators. The
// integration tests, the demo and the experiment tool import it.
package fleet
