package activator

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// confirm reads the engine's state and compares it with what is expected. It
// is the only place that sets Ready.
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
	return a.compare(state)
}

// Observe takes a state that was read while no order was applied. It reports
// whether the engine has lost the expected version and can get it again. An
// agent that has just started takes over the version of a running engine,
// which was complete and verified when the engine got it. An engine that
// still runs the previous version after a failed activation serves it on.
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
	if !asMismatch(a.compare(state), &mismatch) || mismatch.Found != "" {
		return false
	}
	if _, _, err := a.Source.Reader(a.expected.GetDigest()); err != nil {
		// Without the chunks the version has to be transferred again.
		a.expected = nil
		a.adapters = nil
		return false
	}
	return true
}

func (a *Activator) compare(state adapter.EngineState) error {
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

func (a *Activator) setExpected(ref *messenger.VersionRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status.Ready {
		a.previous = &confirmed{version: a.expected, adapters: a.adapters}
	}
	a.expected = ref
	a.adapters = nil
	a.status = Status{Reason: "engine is switching versions"}
	a.generation++
}

func (a *Activator) forgetPrevious() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.previous = nil
}

func (a *Activator) wantedAdapters() map[string]*messenger.VersionRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.adapters)
}

func asMismatch(err error, target **MismatchError) bool { return errors.As(err, target) }
