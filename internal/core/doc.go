// Package core groups the packages with the daemon's decision logic. They do no
// I/O, read no clock and start no goroutine: time and random numbers are
// arguments. They import only each other, internal/ports and libraries without
// side effects.
package core
