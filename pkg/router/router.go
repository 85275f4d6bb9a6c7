// Package router is the entry point of lentil-entry.
package router

// Main runs the program and returns its exit code.
func Main(_ []string) int {
	return 0
}
