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

// keyDigest returns the digest of an API key as in a team's key-digests.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// completionLoad sends completions one after the other until done is closed and
// collects the responses that are not the complete answer of one version.
type completionLoad struct {
	system *system
	entry  int
	done   chan struct{}
	wg     *sync.WaitGroup

	sent   int
	failed []response
}

func (l *completionLoad) run() {
	defer l.wg.Done()
	for {
		select {
		case <-l.done:
			return
		default:
		}
		l.sent++
		a := l.system.postCompletion(l.entry, "draft", 12, l.sent%2 == 0, l.sent)
		text, ended := textOf(a)
		complete := false
		for version := range l.system.set.ModelVersions {
			complete = complete || text == l.system.expectedText(version, "draft", 12, l.sent)
		}
		if a.status != http.StatusOK || !ended || !complete {
			l.failed = append(l.failed, a)
		}
	}
}

// Guards against requests that fail, or get an incomplete answer or one from
// mixed versions, while a version is rolled out and an agent dies.
func TestRolloutUnderTrafficWithAgentKilled(t *testing.T) {
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 4, WeightBytes: 4 << 20, ChunkBytes: 64 << 10, LinkRate: 2 << 20, OriginRate: 4 << 20}
	s.start(t)
	var wg sync.WaitGroup
	done := make(chan struct{})
	loads := []*completionLoad{{system: s, entry: 0, done: done, wg: &wg}, {system: s, entry: 1, done: done, wg: &wg}}
	for _, l := range loads {
		wg.Add(1)
		go l.run()
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
	for _, l := range loads {
		c.Check(l.failed, qt.HasLen, 0)
		c.Check(l.sent > 0, qt.IsTrue)
	}
}

// Guards against requests that are lost while operators change a rollout, and
// against replicas that do not follow the change: the origin stalls and fails
// during the transfer, the rollout is paused while replicas switch, a VM joins
// meanwhile, the rollout is aborted and a newer version follows.
func TestOperatorsChangeRolloutUnderTraffic(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 3, EngineArgs: []string{"--load-time", "1s"}}
	s.start(t)
	load := &loadGenerator{System: s, Callers: 3, Tokens: 30}
	load.start()
	allRun := func(engines int, version string) bool {
		for k := range engines {
			if !s.engineRuns(k, version) {
				return false
			}
		}
		return true
	}
	s.injectFaults(7001, `{"stall":true}`)
	s.rollOut("v2")
	s.waitUntil("the transfer has begun", func() bool { return s.rolloutPhase("next") == parser.PhaseTransferring })
	s.injectFaults(7001, `{"down":true}`)
	c.Check(allRun(s.Engines, "v1"), qt.IsTrue)
	s.injectFaults(7001, `{}`)
	s.waitUntil("a replica switched", func() bool { return s.engineRuns(0, "v2") || s.engineRuns(1, "v2") || s.engineRuns(2, "v2") })

	s.set.Rollouts["next"].State = parser.RolloutPaused
	s.publish()
	s.waitUntil("the rollout is paused", func() bool { return s.rolloutPhase("next") == parser.PhasePaused })
	s.startEngine(s.Engines)
	s.startAgent(s.Engines)
	s.waitUntil("the new VM serves the fleet's own version", func() bool { return s.engineRuns(s.Engines, "v1") })

	s.set.Rollouts["next"].State = parser.RolloutAborted
	s.publish()
	s.waitUntil("every replica is back on v1", func() bool { return allRun(s.Engines+1, "v1") })
	s.rollOut("v3")
	s.waitUntil("every replica runs v3", func() bool { return allRun(s.Engines+1, "v3") })
	s.waitServing("v3")
	load.stop()
	c.Check(load.failed, qt.HasLen, 0)
	c.Check(load.unexpected, qt.HasLen, 0)
	c.Check(load.served > 0, qt.IsTrue)
}
