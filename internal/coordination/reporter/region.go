package reporter

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// region holds the latest status of each daemon of one region.
type region struct {
	name    string
	daemons map[string]*daemonEntry
	// epoch is the epoch of the lease under which parts was read. It is 0 if the
	// objects have to be read before the next write.
	epoch uint64
	parts []*part
	// partCount is the number of parts over which the daemons are distributed.
	partCount int
	// firstPart is the part that is checked first in the next round (round robin).
	firstPart int
}

// daemonEntry is the status of one daemon. For a daemon that was read from the objects
// of the previous holder, only the encoding is set.
type daemonEntry struct {
	vm        string
	status    *messenger.DaemonStatus
	encoded   json.RawMessage
	updatedAt time.Time
}

// part is one status object of the region.
type part struct {
	number    int
	version   uint64
	writtenAt time.Time
	// writtenDigest is the digest of the content last written, nextDigest that of
	// content.
	writtenDigest, nextDigest uint64
	content                   []json.RawMessage
	removed                   bool
}

// update stores a status unless a newer one is stored.
func (g *region) update(s *messenger.DaemonStatus, now time.Time) {
	old := g.daemons[s.GetVm()]
	if old != nil && old.status != nil && compareStatuses(s, old.status) < 0 {
		return
	}
	g.daemons[s.GetVm()] = &daemonEntry{vm: s.GetVm(), status: s, encoded: encodeDaemon(s), updatedAt: now}
}

// compareStatuses compares two statuses of one VM by age. The replica record takes
// precedence over the sequence of the status: two entry daemons can send statuses of
// one agent, and their sequences come from their own clocks.
func compareStatuses(a, b *messenger.DaemonStatus) int {
	return cmp.Or(
		cmp.Compare(a.GetReplica().GetStartedMs(), b.GetReplica().GetStartedMs()),
		cmp.Compare(a.GetReplica().GetSequence(), b.GetReplica().GetSequence()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
	)
}

// restore adds the daemons that the previous holder wrote and that have sent no status
// to this daemon.
func (g *region) restore(doc document, now time.Time) {
	for _, encoded := range doc.Daemons {
		var d parser.DaemonStatus
		if json.Unmarshal(encoded, &d) != nil || d.VM == "" || g.daemons[d.VM] != nil {
			continue
		}
		g.daemons[d.VM] = &daemonEntry{vm: d.VM, encoded: encoded, updatedAt: now}
	}
}

// removeExpired removes daemons whose last status is older than daemonExpiry.
func (g *region) removeExpired(now time.Time) {
	for vm, d := range g.daemons {
		if now.Sub(d.updatedAt) >= daemonExpiry {
			delete(g.daemons, vm)
		}
	}
}

// nextDue returns the next part that has to be written or removed, or nil. It selects
// parts in round-robin order.
func (g *region) nextDue(now time.Time) *part {
	g.removeExpired(now)
	g.distribute()
	for i := range g.parts {
		p := g.parts[(g.firstPart+i)%len(g.parts)]
		due := p.version == 0 || p.nextDigest != p.writtenDigest || now.Sub(p.writtenAt) >= maxRewriteInterval
		if p.removed {
			// Parts are removed from the end, so that readers find no gap.
			due = p.number == len(g.parts)-1
		}
		if due {
			g.firstPart = p.number + 1
			return p
		}
	}
	return nil
}

// distribute assigns the daemons to parts by hash of the VM, so that a change of one
// daemon changes only one part.
func (g *region) distribute() {
	all := make([]*daemonEntry, 0, len(g.daemons))
	bytes := 0
	for _, d := range g.daemons {
		all = append(all, d)
		bytes += len(d.encoded) + 1
	}
	slices.SortFunc(all, func(a, b *daemonEntry) int { return strings.Compare(a.vm, b.vm) })
	if g.partCount == 0 || bytes > g.partCount*targetPartBytes || bytes < g.partCount*targetPartBytes/3 {
		g.partCount = bytes/targetPartBytes + 1
	}
	contents := partition(all, g.partCount)
	for tooLarge(contents) {
		g.partCount++
		contents = partition(all, g.partCount)
	}
	for len(g.parts) < g.partCount {
		g.parts = append(g.parts, &part{number: len(g.parts)})
	}
	for i, p := range g.parts {
		p.removed = i >= g.partCount
		if p.removed {
			continue
		}
		p.content, p.nextDigest = contents[i], hashContent(contents[i], g.partCount)
	}
}

// partition splits the encoded daemons by hash of the VM.
func partition(all []*daemonEntry, count int) [][]json.RawMessage {
	contents := make([][]json.RawMessage, count)
	for _, d := range all {
		i := int(xxhash.Sum64String(d.vm) % uint64(count))
		contents[i] = append(contents[i], d.encoded)
	}
	return contents
}

// tooLarge reports whether a content exceeds maxPartBytes and can be split.
func tooLarge(contents [][]json.RawMessage) bool {
	for _, content := range contents {
		bytes := 0
		for _, encoded := range content {
			bytes += len(encoded) + 1
		}
		// A part with a single daemon cannot be split.
		if bytes > maxPartBytes && len(content) > 1 {
			return true
		}
	}
	return false
}

// hashContent includes the number of parts, because each part contains it.
func hashContent(content []json.RawMessage, count int) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(uint64(count))
	for _, encoded := range content {
		_, _ = h.Write(encoded)
	}
	return h.Sum64()
}
