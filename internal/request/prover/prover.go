// Package prover defines the proof that an attempt has not run its request. A
// caller may be informed that a request has not run only with a NotRun, and only the
// constructors of this package create one.
package prover

import (
	"fmt"
)

// NotRun proves that an attempt has not run and never will.
type NotRun struct {
	reason string
	// full is set if the replica was at capacity.
	full bool
	// unreachable is set if no connection to the replica was established.
	unreachable bool
}

// NeverSent returns the proof that no byte of the request left this process.
func NeverSent(reason string) NotRun { return NotRun{reason: reason} }

// NeverConnected returns the proof that no connection to the replica was
// established.
func NeverConnected(err error) NotRun {
	return NotRun{reason: fmt.Sprintf("no connection: %v", err), unreachable: true}
}

// RefusedByReplica returns the proof that the replica declared that it did not and
// will not run the attempt. Full is set if it refused because it was at capacity.
func RefusedByReplica(status int, full bool) NotRun {
	return NotRun{reason: fmt.Sprintf("replica refused with status %d", status), full: full}
}

// Valid reports whether n is a proof; the zero value is not.
func (n NotRun) Valid() bool { return n.reason != "" }

// Reason describes the event that proves that the attempt has not run.
func (n NotRun) Reason() string { return n.reason }

// Full reports whether the replica refused because it was at capacity.
func (n NotRun) Full() bool { return n.full }

// Unreachable reports whether no connection to the replica was established.
func (n NotRun) Unreachable() bool { return n.unreachable }
