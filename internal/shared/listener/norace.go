//go:build !race

package listener

// raceEnabled is set if the program contains the race detector.
const raceEnabled = false
