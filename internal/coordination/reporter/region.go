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
	daemons map[string]*known
	// epoch is that of the lease under which parts were read or written.
	epoch uint64
	parts []*part
	// count is the number of parts that the daemons are spread over.
	count int
	// turn is the part to look at first, so that each gets its turn.
	turn int
}

// known is the status of one daemon. One that was read from the object of the
// last holder has only its encoding.
type known struct {
	vm      string
	status  *messenger.DaemonStatus
	encoded json.RawMessage
	heard   time.Time
}

// part is one object of the region.
type part struct {
	number  int
	version uint64
	written time.Time
	// digest is that of the daemons last written, next that of content.
	digest, next uint64
	content      []json.RawMessage
	removed      bool
}

// take keeps the status unless a newer one is known.
func (g *region) take(s *messenger.DaemonStatus, now time.Time) {
	old := g.daemons[s.GetVm()]
	if old != nil && old.status != nil && compareStatuses(s, old.status) < 0 {
		return
	}
	g.daemons[s.GetVm()] = &known{vm: s.GetVm(), status: s, encoded: encodeDaemon(s), heard: now}
}

// compareStatuses orders statuses of one VM. The directory record decides
// first, since two entry daemons can send statuses of one agent and their
// sequences come from their own clocks.
func compareStatuses(a, b *messenger.DaemonStatus) int {
	return cmp.Or(
		cmp.Compare(a.GetReplica().GetStartedMs(), b.GetReplica().GetStartedMs()),
		cmp.Compare(a.GetReplica().GetSequence(), b.GetReplica().GetSequence()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
	)
}

// adopt takes the daemons that the last holder wrote and that have not been
// heard here.
func (g *region) adopt(doc document, now time.Time) {
	for _, encoded := range doc.Daemons {
		var d parser.DaemonStatus
		if json.Unmarshal(encoded, &d) != nil || d.VM == "" || g.daemons[d.VM] != nil {
			continue
		}
		g.daemons[d.VM] = &known{vm: d.VM, encoded: encoded, heard: now}
	}
}

func (g *region) forget(now time.Time) {
	for vm, d := range g.daemons {
		if now.Sub(d.heard) >= forgetAfter {
			delete(g.daemons, vm)
		}
	}
}

// next returns the part to write now, or nil. Parts take turns.
func (g *region) next(now time.Time) *part {
	g.forget(now)
	g.fill()
	for i := range g.parts {
		p := g.parts[(g.turn+i)%len(g.parts)]
		due := p.version == 0 || p.next != p.digest || now.Sub(p.written) >= rewriteEvery
		if p.removed {
			// Parts are removed from the end, so that a reader finds no hole.
			due = p.number == len(g.parts)-1
		}
		if due {
			g.turn = p.number + 1
			return p
		}
	}
	return nil
}

// fill spreads the daemons over the parts by hash, so that a change touches
// one part only.
func (g *region) fill() {
	all := make([]*known, 0, len(g.daemons))
	bytes := 0
	for _, d := range g.daemons {
		all = append(all, d)
		bytes += len(d.encoded) + 1
	}
	slices.SortFunc(all, func(a, b *known) int { return strings.Compare(a.vm, b.vm) })
	if g.count == 0 || bytes > g.count*targetPartBytes || bytes < g.count*targetPartBytes/3 {
		g.count = bytes/targetPartBytes + 1
	}
	contents := spread(all, g.count)
	for tooLarge(contents) {
		g.count++
		contents = spread(all, g.count)
	}
	for len(g.parts) < g.count {
		g.parts = append(g.parts, &part{number: len(g.parts)})
	}
	for i, p := range g.parts {
		p.removed = i >= g.count
		if p.removed {
			continue
		}
		p.content, p.next = contents[i], digestOf(contents[i], g.count)
	}
}

func spread(all []*known, count int) [][]json.RawMessage {
	contents := make([][]json.RawMessage, count)
	for _, d := range all {
		i := int(xxhash.Sum64String(d.vm) % uint64(count))
		contents[i] = append(contents[i], d.encoded)
	}
	return contents
}

func tooLarge(contents [][]json.RawMessage) bool {
	for _, content := range contents {
		bytes := 0
		for _, encoded := range content {
			bytes += len(encoded) + 1
		}
		// A single daemon over the limit can't be split further.
		if bytes > maxPartBytes && len(content) > 1 {
			return true
		}
	}
	return false
}

func digestOf(content []json.RawMessage, count int) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(uint64(count))
	for _, encoded := range content {
		_, _ = h.Write(encoded)
	}
	return h.Sum64()
}
