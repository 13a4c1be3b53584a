// Package standin holds what the stand-ins for the platform and for backend
// servers share: a loopback HTTP server, scheduled faults and the log of runs.
// Only packages of the testbench import it.
package standin
