package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// frozenFor is the length of a freeze, below that of the sheets, and spoilsAfter is when staged pieces
	// turn bad in it.
	frozenFor   = 3900 * time.Millisecond
	spoilsAfter = 500 * time.Millisecond
	// spoilPieces is the number of pieces that turn bad: 0.06 of 48 at most.
	spoilPieces = 2
	// answerTime is the time for the agent to get the last piece.
	answerTime = 20 * time.Millisecond
	// versionGap is the time between two versions, and rounds is the number of versions.
	versionGap = 16 * time.Second
	rounds     = 4
)

// freezer freezes a machine when its agent has read back all pieces that it has staged.
type freezer struct {
	play    *play
	side    *side
	machine *machine

	mu sync.Mutex
	// staged counts the pieces staged since the version was named, and read those read back
	// since the last one was staged.
	staged, read int
	frozen       bool
}

// spoiltWhileFrozen names versions of the weights one after the other. While a version is
// loaded, one side machine freezes and wakes again, and meanwhile some of the pieces that lie
// at its replica turn bad.
func (p *play) spoiltWhileFrozen() (bool, error) {
	sound := &clients{cluster: p.cluster, Name: "sound", PerSecond: 20, Next: soundRequest}
	ctx, cancel := contextWithCancel()
	defer cancel()
	done := make(chan struct{})
	go func() { sound.run(ctx); close(done) }()
	freezes := 0
	for i := range rounds {
		f := &freezer{play: p, side: p.sides[i], machine: p.agents[i]}
		p.sides[i].setOnCall(f.see)
		p.nameVersion()
		time.Sleep(versionGap)
		p.sides[i].setOnCall(nil)
		if f.hasFrozen() {
			freezes++
		}
	}
	cancel()
	<-done
	p.report("sound requests: %d sent, %d whole; %d freezes", sound.sent.Load(), sound.whole.Load(), freezes)
	if freezes == 0 {
		return false, fmt.Errorf("no agent has read its staged pieces back")
	}
	broken := false
	for _, s := range p.record.spoiltLoads() {
		runs := p.record.runsAfter(s.At, func(r run) bool { return r.Replica == s.Replica && r.Version == s.Version })
		p.report("%s loaded version %d at %.3f s with a piece that had been bad for %.3f s, and ran %d requests on it",
			s.Replica, s.Version, s.At.Sub(p.record.Start).Seconds(), s.Bad.Seconds(), len(runs))
		broken = broken || len(runs) > 0
	}
	return broken, nil
}

func (f *freezer) hasFrozen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen
}

// see notes a call of the agent to its replica.
func (f *freezer) see(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case strings.HasPrefix(path, "/-/stage-put/"):
		f.staged++
		f.read = 0
	case strings.HasPrefix(path, "/-/stage-get/"):
		f.read++
	}
	if f.staged >= modelPieces && f.read >= modelPieces && !f.frozen {
		f.frozen = true
		go f.freeze()
	}
}

// freeze freezes the machine for a time, in which pieces turn bad.
func (f *freezer) freeze() {
	time.Sleep(answerTime)
	if !f.play.Trouble {
		return
	}
	f.play.record.add("freeze", "%s", f.machine.Name)
	f.machine.Process().Signal(syscall.SIGSTOP)
	time.Sleep(spoilsAfter)
	f.play.record.add("spoil", "pieces %v at %s turn bad", f.side.spoil(spoilPieces), f.side.name)
	time.Sleep(frozenFor - spoilsAfter)
	f.play.record.add("wake", "%s", f.machine.Name)
	f.machine.Process().Signal(syscall.SIGCONT)
}
