package test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

func digestOfKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// traffic sends completions one after the other until stopped and keeps those
// that were not answered whole from one version.
type traffic struct {
	system *system
	entry  int
	done   chan struct{}
	wg     *sync.WaitGroup

	sent  int
	wrong []answer
}

func (f *traffic) run() {
	defer f.wg.Done()
	for {
		select {
		case <-f.done:
			return
		default:
		}
		f.sent++
		a := f.system.complete(f.entry, "draft", 12, f.sent%2 == 0, f.sent)
		text, complete := textOf(a)
		whole := false
		for version := range f.system.set.ModelVersions {
			whole = whole || text == f.system.expectedText(version, "draft", 12, f.sent)
		}
		if a.status != http.StatusOK || !complete || !whole {
			f.wrong = append(f.wrong, a)
		}
	}
}

// Guards against requests that are lost, cut or answered from mixed versions
// while a version is rolled out and an agent dies.
func TestRolloutUnderTrafficWithAgentKilled(t *testing.T) {
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 4, WeightBytes: 4 << 20, ChunkBytes: 64 << 10, LinkRate: 2 << 20, OriginRate: 4 << 20}
	s.start(t)
	var wg sync.WaitGroup
	done := make(chan struct{})
	flows := []*traffic{{system: s, entry: 0, done: done, wg: &wg}, {system: s, entry: 1, done: done, wg: &wg}}
	for _, f := range flows {
		wg.Add(1)
		go f.run()
	}
	s.rollOut("v2")
	digest := s.set.ModelVersions["v2"].Digest
	s.waitUntil("a transfer is under way", func() bool {
		for _, d := range s.statuses() {
			for _, transfer := range d.Transfers {
				if transfer.Digest == digest && transfer.ChunksHeld > transfer.ChunksTotal/4 {
					return true
				}
			}
		}
		return false
	})
	s.process(agentName(0)).Kill()
	s.startAgent(0)
	s.waitServing("v2")
	close(done)
	wg.Wait()
	for _, f := range flows {
		c.Check(f.wrong, qt.HasLen, 0)
		c.Check(f.sent > 0, qt.IsTrue)
	}
}

// Guards against requests that are lost while operators change their mind
// about a rollout, and against replicas that do not follow: the origin stalls
// and fails during the transfer, the rollout is paused while replicas switch, a
// VM joins meanwhile, the rollout is aborted and a newer version follows.
func TestOperatorsChangeRolloutUnderTraffic(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 3, EngineArgs: []string{"--load-time", "1s"}}
	s.start(t)
	load := &callers{System: s, Number: 3, Tokens: 30}
	load.start()
	allRun := func(engines int, version string) bool {
		for k := range engines {
			if !s.runs(k, version) {
				return false
			}
		}
		return true
	}
	s.fault(7001, `{"stall":true}`)
	s.rollOut("v2")
	s.waitUntil("the transfer has begun", func() bool { return s.rolloutPhase("next") == parser.PhaseTransferring })
	s.fault(7001, `{"down":true}`)
	c.Check(allRun(s.Engines, "v1"), qt.IsTrue)
	s.fault(7001, `{}`)
	s.waitUntil("a replica switched", func() bool { return s.runs(0, "v2") || s.runs(1, "v2") || s.runs(2, "v2") })

	s.set.Rollouts["next"].State = parser.RolloutPaused
	s.publish()
	s.waitUntil("the rollout is paused", func() bool { return s.rolloutPhase("next") == parser.PhasePaused })
	s.startEngine(s.Engines)
	s.startAgent(s.Engines)
	s.waitUntil("the new VM serves the fleet's own version", func() bool { return s.runs(s.Engines, "v1") })

	s.set.Rollouts["next"].State = parser.RolloutAborted
	s.publish()
	s.waitUntil("every replica is back on v1", func() bool { return allRun(s.Engines+1, "v1") })
	s.rollOut("v3")
	s.waitUntil("every replica runs v3", func() bool { return allRun(s.Engines+1, "v3") })
	s.waitServing("v3")
	load.stop()
	c.Check(load.broken, qt.HasLen, 0)
	c.Check(load.mixed, qt.HasLen, 0)
	c.Check(load.served > 0, qt.IsTrue)
}
