// Package emulator is the entry point of lentil-standin.
package emulator

// Main runs the program and returns its exit code.
func Main(_ []string) int {
	return 0
}
