//go:build race

package listener

// raceEnabled is set if the program contains the race detector, whose memory exceeds that of the
// program several times.
const raceEnabled = true
