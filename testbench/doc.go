// Package testbench is the parent of the stand-in servers, the harness that runs
// daemon processes, the integration tests and the experiment tool. The product
// imports none of them.
package testbench
