package test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
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
	s.process(agentName(0)).kill()
	s.startAgent(0)
	s.waitServing("v2")
	close(done)
	wg.Wait()
	for _, f := range flows {
		c.Check(f.wrong, qt.HasLen, 0)
		c.Check(f.sent > 0, qt.IsTrue)
	}
}
