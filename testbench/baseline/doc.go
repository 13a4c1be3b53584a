// Package baseline holds the two routers that experiments compare the daemons with:
// independent routers that choose the least loaded backend and share no state, and a
// single router with a central queue. Both serve the callers' chat completions in the
// test process. The experiment tool imports it.
package baseline
