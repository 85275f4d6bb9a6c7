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
	a.expected = ref
	a.adapters = nil
	a.status = Status{Reason: "engine is switching versions"}
	a.generation++
}

func (a *Activator) wantedAdapters() map[string]*messenger.VersionRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.adapters)
}

func asMismatch(err error, target **MismatchError) bool { return errors.As(err, target) }
