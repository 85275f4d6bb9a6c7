package forwarder

import (
	"errors"
	"slices"
	"sync"
)

// errSuperseded is the cancellation cause of an attempt beside another one that serves the
// caller.
var errSuperseded = errors.New("another attempt has begun to respond")

// lead decides which attempt of a request serves the caller. A silent attempt goes on while
// others are made beside it: an agent that pauses has not failed, and there may be no other
// one. The first attempt that responds serves the caller and ends the others.
type lead struct {
	// silences receives a value when an attempt becomes silent.
	silences chan struct{}

	mu sync.Mutex
	// holder is the attempt that serves the caller, and beside are those made since it
	// became silent.
	holder *attempt
	beside []*attempt
	silent bool
}

// reportSilence records that no event of an attempt arrives in time.
func (l *lead) reportSilence(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a != l.holder && !slices.Contains(l.beside, a) {
		return
	}
	l.silent = true
	select {
	case l.silences <- struct{}{}:
	default:
	}
}

// isBeside reports whether the attempt was made beside a silent one and has not responded.
func (l *lead) isBeside(a *attempt) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.beside, a)
}

// take makes an attempt that responds the one that serves the caller, and ends the others.
// It reports false if another one has done so.
func (l *lead) take(a *attempt) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a != l.holder && !slices.Contains(l.beside, a) {
		return false
	}
	for _, other := range slices.Concat(l.beside, []*attempt{l.holder}) {
		if other != a {
			other.stop(errSuperseded)
		}
	}
	l.holder, l.beside, l.silent = a, nil, false
	return true
}

// position returns the number of tokens that the caller has, and the version that the rest
// must be of, for an attempt beside the silent ones. It reports false if none is wanted.
func (l *lead) position() (offset int, version string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent {
		return 0, "", false
	}
	if l.holder.offset > 0 {
		version = l.holder.version
	}
	return l.holder.offset, version, true
}

// add adds an attempt beside the silent ones, unless one of them has responded. No further
// one is wanted until it is silent too.
func (l *lead) add(a *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent || a.offset != l.holder.offset {
		return false
	}
	l.beside, l.silent = append(l.beside, a), false
	return true
}

// remove removes an attempt that has ended. If it was the holder, the oldest one beside it
// takes its place. It reports whether the attempt was the holder.
func (l *lead) remove(a *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.beside, a); i >= 0 {
		l.beside, l.silent = slices.Delete(l.beside, i, i+1), true
		return false
	}
	if a == l.holder && len(l.beside) > 0 {
		l.holder, l.beside = l.beside[0], l.beside[1:]
		return true
	}
	return a == l.holder
}

// close ends the attempts beside the one that serves the caller.
func (l *lead) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.beside {
		a.stop(errSuperseded)
	}
	l.beside, l.silent = nil, false
}
