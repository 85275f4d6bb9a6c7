// Package agent is the entry point of lentil-agent.
package agent

// Main runs the program and returns its exit code.
func Main(_ []string) int {
	return 0
}
