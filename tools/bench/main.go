// Command bench measures the real code on one machine and prints lines of the
// form "name value unit", each next to the baseline of the same run.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// benchmark is one entry of the table of benchmarks.
type benchmark struct {
	name  string
	about string
	run   func(w io.Writer) error
}

// benchmarks run in this order when none is named.
var benchmarks = []benchmark{
	{"distribution", "time to N replicas and bytes from the origin", benchDistribution},
	{"control", "control cost of daemons and its slopes", benchControl},
	{"pick", "time and allocations of a pick among 4,300 replicas", benchPick},
	{"routing", "time to the first token under skewed load", benchRouting},
	{"prefix", "prefix cache hits and the hottest server", benchPrefix},
	{"overload", "goodput and fairness above the capacity", benchOverload},
	{"retries", "extra load while replicas fail", benchRetries},
	{"claims", "writes to the object API of non-idempotent calls", benchClaims},
	{"rollout-latency", "first tokens of live requests during a weight transfer", benchRolloutLatency},
	{"configuration", "time until a change is in force and calls to the object API", benchConfiguration},
	{"limits", "share of its limit that a team gets over several daemons", benchLimits},
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(names []string, stdout, stderr io.Writer) int {
	for _, name := range names {
		if !slices.ContainsFunc(benchmarks, func(b benchmark) bool { return b.name == name }) {
			fmt.Fprintf(stderr, "bench: benchmark %q does not exist; use %s\n", name, knownNames())
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

func knownNames() string {
	var names []string
	for _, b := range benchmarks {
		names = append(names, b.name)
	}
	return strings.Join(names, ", ")
}
