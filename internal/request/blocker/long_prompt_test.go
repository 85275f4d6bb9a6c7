package blocker

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxHeaderParts is about the number of distinct parts in a header of 16 KiB.
const maxHeaderParts = 4096

// longPrompt returns the parts of a prompt: those that all prompts share, then the cause, then
// parts of its own.
func longPrompt(shared, own, request int, cause ...Fingerprint) []Fingerprint {
	var out []Fingerprint
	for i := range shared {
		out = append(out, Fingerprint(1_000+i))
	}
	out = append(out, cause...)
	for i := range own {
		out = append(out, Fingerprint(1_000_000*(request+1)+i))
	}
	return out
}

// TestCauseInLongPrompt guards against a part that is not blocked although it crashes replicas,
// because the prompt has thousands of other parts.
func TestCauseInLongPrompt(t *testing.T) {
	const cause = Fingerprint(1)
	tests := []struct {
		name string
		// shared parts are in sound requests too, own parts in no other request.
		shared, own int
		// succeeds is set if sound requests with the shared parts are answered meanwhile.
		succeeds bool
	}{
		{"18th part", 17, 0, true},
		{"after thousands of popular parts", maxHeaderParts, 0, true},
		{"before thousands of parts of the request", 10, maxHeaderParts, true},
		{"among both", maxHeaderParts / 2, maxHeaderParts / 2, true},
		{"shared parts without recent success", maxHeaderParts, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var b Blocker
			start := time.Unix(1000, 0)
			sound := longPrompt(tc.shared, 0, 0)
			b.RecordPartSuccess(sound, start, start)
			now := start.Add(4 * time.Second)
			for i := range 4 {
				now = now.Add(time.Second)
				if tc.succeeds {
					b.RecordPartSuccess(sound, now, now)
				}
				parts := b.SuspectParts(longPrompt(tc.shared, tc.own, i, cause), now)
				b.RecordCrash(Crash{Fingerprint: Fingerprint(10 + i), Replica: strconv.Itoa(i), Parts: parts}, now)
			}
			c.Check(b.PartBlocked(longPrompt(tc.shared, tc.own, 99, cause), now), qt.IsTrue)
			c.Check(b.PartBlocked(longPrompt(tc.shared, tc.own, 99), now), qt.IsFalse)
		})
	}
}

// BenchmarkParts measures the work for one prompt with as many parts as a header holds.
func BenchmarkParts(b *testing.B) {
	prompt := longPrompt(maxHeaderParts, 0, 0)
	now := time.Unix(1000, 0)
	crashes := func(blocker *Blocker, n int) {
		for i := range n {
			blocker.RecordCrash(Crash{Fingerprint: Fingerprint(i), Replica: strconv.Itoa(i), Parts: prompt}, now.Add(time.Duration(i)*time.Second))
		}
	}
	b.Run("hash", func(b *testing.B) {
		ids := make([]string, maxHeaderParts)
		for i := range ids {
			ids[i] = fmt.Sprintf("%x", i)
		}
		for range b.N {
			h := NewPartHasher("m")
			for _, id := range ids {
				h.Fingerprint(id)
			}
		}
	})
	b.Run("blocked, no crashes", func(b *testing.B) {
		var blocker Blocker
		for range b.N {
			blocker.PartBlocked(prompt, now)
		}
	})
	b.Run("blocked, after crashes", func(b *testing.B) {
		var blocker Blocker
		crashes(&blocker, 3)
		sound := longPrompt(0, maxHeaderParts, 0)
		for range b.N {
			blocker.PartBlocked(sound, now.Add(3*time.Second))
		}
	})
	b.Run("success", func(b *testing.B) {
		var blocker Blocker
		for range b.N {
			blocker.RecordPartSuccess(prompt, now, now)
		}
	})
	b.Run("crash", func(b *testing.B) {
		var blocker Blocker
		crashes(&blocker, 8)
		for i := range b.N {
			blocker.RecordCrash(Crash{Fingerprint: Fingerprint(8 + i), Replica: strconv.Itoa(8 + i), Parts: prompt}, now.Add(8*time.Second))
		}
	})
	b.Run("crash that is known", func(b *testing.B) {
		var blocker Blocker
		crashes(&blocker, 8)
		for i := range b.N {
			blocker.RecordCrash(Crash{Fingerprint: Fingerprint(i % 8), Replica: strconv.Itoa(i % 8), Parts: prompt}, now.Add(8*time.Second))
		}
	})
}
