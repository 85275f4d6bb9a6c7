// Command bench runs the project's benchmarks on one machine and prints each
// result as a line "name value unit" with the baselines of the same run.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// benchmark is one entry of the benchmarks table.
type benchmark struct {
	name        string
	description string
	run         func(w io.Writer) error
}

// benchmarks lists all benchmarks in the order in which they run. Command-line
// arguments select some of them by name.
var benchmarks = []benchmark{
	{"distribution", "time until N replicas are complete and copies read from the origin", benchDistribution},
	{"control", "control traffic, processor time and memory per daemon, replica and change", benchControl},
	{"pick", "time and allocations of one pick among 4,300 replicas", benchPick},
	{"routing", "time to the first token under skewed load", benchRouting},
	{"prefix", "prefix cache hit rate and load of the busiest server", benchPrefix},
	{"overload", "goodput and fairness under overload", benchOverload},
	{"contention", "answers in time under overload of replicas that several daemons share", benchContention},
	{"retries", "extra load from retries while replicas fail", benchRetries},
	{"claims", "writes to the object API of non-idempotent calls", benchClaims},
	{"rollout-latency", "first-token latency of live requests during a weight transfer", benchRolloutLatency},
	{"configuration", "propagation delay of configuration changes and calls to the object API", benchConfiguration},
	{"limits", "share of its rate limit that a team gets over several daemons", benchLimits},
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(names []string, stdout, stderr io.Writer) int {
	for _, name := range names {
		if !slices.ContainsFunc(benchmarks, func(b benchmark) bool { return b.name == name }) {
			fmt.Fprintf(stderr, "bench: benchmark %q does not exist; use %s\n", name, benchmarkNames())
			return 2
		}
	}
	for _, b := range benchmarks {
		if len(names) > 0 && !slices.Contains(names, b.name) {
			continue
		}
		if err := b.run(stdout); err != nil {
			fmt.Fprintf(stderr, "bench: %s: %v\n", b.name, err)
			return 1
		}
	}
	return 0
}

func benchmarkNames() string {
	var names []string
	for _, b := range benchmarks {
		names = append(names, b.name)
	}
	return strings.Join(names, ", ")
}
