// Package prover holds what the end of an attempt proves about whether the
// request has run. A caller may be told that a request has not run only with a
// NotRun, and only the constructors of this package make one.
package prover

import (
	"fmt"
)

// NotRun proves that an attempt has not run and never will.
type NotRun struct {
	reason string
	// full is set when the replica had no room.
	full bool
	// unreachable is set when no connection could be made.
	unreachable bool
}

// NeverSent is the proof that no byte of the request left this process.
func NeverSent(reason string) NotRun { return NotRun{reason: reason} }

// NeverConnected is the proof that no connection to the replica was made.
func NeverConnected(err error) NotRun {
	return NotRun{reason: fmt.Sprintf("no connection: %v", err), unreachable: true}
}

// RefusedByReplica is the proof by the replica's own declaration.
func RefusedByReplica(status int, full bool) NotRun {
	return NotRun{reason: fmt.Sprintf("replica refused with status %d", status), full: full}
}

// Valid tells whether the value is a proof; the zero value is none.
func (n NotRun) Valid() bool { return n.reason != "" }

// Reason returns what the proof rests on.
func (n NotRun) Reason() string { return n.reason }

// Full tells whether the replica refused for lack of room.
func (n NotRun) Full() bool { return n.full }

// Unreachable tells whether the replica could not be connected to.
func (n NotRun) Unreachable() bool { return n.unreachable }
