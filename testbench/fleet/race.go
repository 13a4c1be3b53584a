//go:build race

package fleet

// raceEnabled reports whether the race detector is enabled in this process. The
// daemons are then built with it too.
const raceEnabled = true
