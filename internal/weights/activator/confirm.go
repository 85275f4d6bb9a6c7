package activator

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// confirm reads the engine's state and updates the status. It returns an error if
// the engine does not run the expected version.
func (a *Activator) confirm(ctx context.Context) error {
	a.mu.Lock()
	generation := a.generation
	a.mu.Unlock()
	state, err := a.Engine.State(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if generation != a.generation {
		return &InvalidatedError{}
	}
	a.status = Status{Instance: state.Instance}
	if err != nil {
		a.status.Reason = "engine does not answer"
		return err
	}
	return a.updateStatus(state)
}

// Observe updates the status from an engine state that was read while no order was
// being applied. It reports whether the engine runs no version and the expected
// version can be loaded again.
//
// If no version is expected, for example after the agent has started, the version
// that the engine runs becomes the expected one: it was complete and verified when
// it was loaded. If the engine still runs the previous version after a failed
// activation, that version becomes the expected one again.
func (a *Activator) Observe(state adapter.EngineState) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.expected == nil && state.Version != "" {
		a.expected = &messenger.VersionRef{Digest: state.Version}
	}
	if a.previous != nil && state.Version == a.previous.version.GetDigest() {
		a.expected, a.adapters, a.previous = a.previous.version, a.previous.adapters, nil
	}
	a.status = Status{Instance: state.Instance}
	var mismatch *MismatchError
	if !asMismatch(a.updateStatus(state), &mismatch) || mismatch.Found != "" {
		return false
	}
	if _, _, err := a.Source.Reader(a.expected.GetDigest()); err != nil {
		// The chunks are no longer held, so the version must be transferred again.
		a.expected = nil
		a.adapters = nil
		return false
	}
	return true
}

// updateStatus compares the engine's state with the expected version and updates
// the status. It is the only function that sets Ready. a.mu must be held.
func (a *Activator) updateStatus(state adapter.EngineState) error {
	if a.expected == nil {
		a.status.Reason = "no version is expected"
		return nil
	}
	if state.Version != a.expected.GetDigest() {
		a.status.Reason = "engine runs another version or none"
		return &MismatchError{Expected: a.expected.GetDigest(), Found: state.Version}
	}
	a.status.Ready = true
	for _, name := range state.Adapters {
		if a.adapters[name] != nil {
			a.status.Adapters = append(a.status.Adapters, name)
		}
	}
	slices.Sort(a.status.Adapters)
	return nil
}

// beginSwitch sets the expected version before an order is applied and marks the
// engine as not ready. It keeps the confirmed state as previous.
func (a *Activator) beginSwitch(ref *messenger.VersionRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status.Ready {
		a.previous = &confirmedState{version: a.expected, adapters: a.adapters}
	}
	a.expected = ref
	a.adapters = nil
	a.status = Status{Reason: "engine is switching versions"}
	a.generation++
}

func (a *Activator) clearPrevious() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.previous = nil
}

func (a *Activator) expectedAdapters() map[string]*messenger.VersionRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.adapters)
}

func asMismatch(err error, target **MismatchError) bool { return errors.As(err, target) }
