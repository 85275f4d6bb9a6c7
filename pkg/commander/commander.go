// Package commander is the entry point of lentil.
package commander

// Main runs the program and returns its exit code.
func Main(_ []string) int {
	return 0
}
