package gossiper

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

const (
	// maxCrashes is the maximum number of crashes in one message, and maxDigestCrashes
	// in one digest, which carries those of a whole failure domain.
	maxCrashes       = 8
	maxDigestCrashes = 2 * maxCrashes
	// maxCrashParts is the maximum number of parts in one notice of a crash; a crash with
	// more is announced by several. maxMessageParts is the maximum of all notices in one
	// message, so that it fits into a datagram.
	maxCrashParts   = 512
	maxMessageParts = 2 * maxCrashParts
	// maxPendingCrashes and maxPendingDigestCrashes are the maximum numbers of crashes
	// that wait to be sent.
	maxPendingCrashes       = 8 * maxCrashes
	maxPendingDigestCrashes = 4 * maxPendingCrashes
	// maxParts is the maximum number of parts of each kind in one message.
	maxParts = blocker.MaxBlocks
	// maxRefusals is the maximum number of refusals in one message. The oldest are left
	// out, because their callers return first.
	maxRefusals = 64
	// refusalRepeats is the number of messages that repeat a refusal.
	refusalRepeats = 2
	// crashRepeats is the number of messages that repeat a crash, because datagrams
	// may be lost.
	crashRepeats = 6
	// minRepeatInterval is the time between repeats. When many crashes come at once,
	// messages follow each other so closely that all might be lost together.
	minRepeatInterval = 80 * time.Millisecond
	// maxReportAge is the age up to which a report of another daemon is accepted.
	maxReportAge = time.Hour
)

// notice is a value with the number of messages that still have to repeat it, because
// datagrams may be lost.
type notice[T any] struct {
	value     T
	remaining int
	sentAt    time.Time
}

// takeNotices returns the values for the next message, those sent least often first and as
// long as they fit, and the notices that later messages have to repeat. It reuses the list.
func takeNotices[T any](list []notice[T], fits func(T) bool, now time.Time) (values []T, keep []notice[T]) {
	slices.SortStableFunc(list, func(a, b notice[T]) int { return b.remaining - a.remaining })
	keep = list[:0]
	full := false
	for _, n := range list {
		if !full && now.Sub(n.sentAt) >= minRepeatInterval {
			if full = !fits(n.value); !full {
				values = append(values, n.value)
				n.remaining--
				n.sentAt = now
			}
		}
		if n.remaining > 0 {
			keep = append(keep, n)
		}
	}
	return values, keep
}

// atMost returns a function for takeNotices that accepts n values.
func atMost[T any](n int) func(T) bool {
	return func(T) bool {
		n--
		return n >= 0
	}
}

// crashesThatFit returns a function for takeNotices that accepts n crashes, and no more than
// maxMessageParts parts.
func crashesThatFit(n int) func(crash) bool {
	parts := 0
	return func(c crash) bool {
		n--
		parts += len(c.Parts)
		return n >= 0 && parts <= maxMessageParts
	}
}

// crash is a crash with its time.
type crash struct {
	blocker.Crash
	at time.Time
}

// reportedCrash is a crash on the wire. An age needs no synchronized clocks.
type reportedCrash struct {
	Request blocker.Fingerprint `json:"fingerprint"`
	Replica string              `json:"replica"`
	Parts   packedParts         `json:"parts,omitempty"`
	AgeMs   int64               `json:"age-ms,omitempty"`
}

// packedParts are fingerprints of fingerprintBytes each. In JSON they take half the space of
// a list of numbers.
type packedParts []byte

const fingerprintBytes = 8

func packParts(parts []blocker.Fingerprint) packedParts {
	var out packedParts
	for _, part := range parts {
		out = binary.BigEndian.AppendUint64(out, uint64(part))
	}
	return out
}

func (p packedParts) unpack() []blocker.Fingerprint {
	var out []blocker.Fingerprint
	for packed := range slices.Chunk(p, fingerprintBytes) {
		if len(packed) == fingerprintBytes {
			out = append(out, blocker.Fingerprint(binary.BigEndian.Uint64(packed)))
		}
	}
	return out
}

func reportCrash(c crash, now time.Time) reportedCrash {
	return reportedCrash{Request: c.Fingerprint, Replica: c.Replica, Parts: packParts(c.Parts), AgeMs: ageMs(c.at, now)}
}

func (r *reportedCrash) crash() blocker.Crash {
	return blocker.Crash{Fingerprint: r.Request, Replica: r.Replica, Parts: r.Parts.unpack()}
}

// split returns the notices that announce a crash.
func (c crash) split() []crash {
	if len(c.Parts) <= maxCrashParts {
		return []crash{c}
	}
	var out []crash
	for parts := range slices.Chunk(c.Parts, maxCrashParts) {
		piece := c
		piece.Parts = parts
		out = append(out, piece)
	}
	return out
}

// reportedPart is a part on the wire with the age of its last success or crash.
type reportedPart struct {
	Part  blocker.Fingerprint `json:"part"`
	AgeMs int64               `json:"age-ms,omitempty"`
}

// reportedRequest is a blocked request on the wire with the age of its last crash.
type reportedRequest struct {
	Request blocker.Fingerprint `json:"request"`
	AgeMs   int64               `json:"age-ms,omitempty"`
}

// reports are what a message says of crashes and of the shared parts of prompts.
type reports struct {
	Crashes []reportedCrash `json:"crashes,omitempty"`
	// Successes are parts that others may suspect and with which requests succeeded.
	Successes []reportedPart `json:"part-successes,omitempty"`
	Blocks    []reportedPart `json:"part-blocks,omitempty"`
	// RequestBlocks are requests that crashed several replicas.
	RequestBlocks []reportedRequest `json:"request-blocks,omitempty"`
	// Leaving are replicas that have said that they leave. They wait for a message that is
	// sent anyway.
	Leaving reportedLeaving `json:"leaving,omitempty"`
}

func (r *reports) isEmpty() bool {
	return len(r.Crashes) == 0 && len(r.Successes) == 0 && len(r.Blocks) == 0 && len(r.RequestBlocks) == 0
}

func ageMs(at, now time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }

// fromAge returns the time of a report, and false if its age is not plausible.
func fromAge(ms int64, now time.Time) (time.Time, bool) {
	if ms < 0 || ms > maxReportAge.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ms) * time.Millisecond), true
}

// outbox holds the notices that wait to be sent to one group of daemons.
type outbox struct {
	crashes   []notice[crash]
	successes []notice[blocker.PartTime]
	blocks    []notice[blocker.PartTime]
}

func (o *outbox) isEmpty() bool {
	return len(o.crashes) == 0 && len(o.successes) == 0 && len(o.blocks) == 0
}

// addCrash adds a crash. If there are too many, the one sent most often makes room, or
// one without parts for one with parts.
func (o *outbox) addCrash(c crash, limit int) {
	n := notice[crash]{value: c, remaining: crashRepeats}
	if len(o.crashes) < limit {
		o.crashes = append(o.crashes, n)
		return
	}
	i := slices.IndexFunc(o.crashes, func(known notice[crash]) bool {
		return len(known.value.Parts) == 0 && len(c.Parts) > 0
	})
	for j, known := range o.crashes {
		if known.remaining < crashRepeats && (i < 0 || known.remaining < o.crashes[i].remaining) {
			i = j
		}
	}
	if i >= 0 {
		o.crashes[i] = n
	}
}

// addPart adds a part to a list, or replaces what waits to be sent about it.
func addPart(list []notice[blocker.PartTime], p blocker.PartTime) []notice[blocker.PartTime] {
	list = removePart(list, p.Part)
	if len(list) >= maxParts {
		list = list[1:]
	}
	return append(list, notice[blocker.PartTime]{value: p, remaining: crashRepeats})
}

func removePart(list []notice[blocker.PartTime], part blocker.Fingerprint) []notice[blocker.PartTime] {
	return slices.DeleteFunc(list, func(n notice[blocker.PartTime]) bool { return n.value.Part == part })
}

// take returns the reports for the next message.
func (o *outbox) take(maxCrashes int, now time.Time) reports {
	var out reports
	var crashes []crash
	crashes, o.crashes = takeNotices(o.crashes, crashesThatFit(maxCrashes), now)
	for _, c := range crashes {
		out.Crashes = append(out.Crashes, reportCrash(c, now))
	}
	out.Successes, o.successes = takeParts(o.successes, now)
	out.Blocks, o.blocks = takeParts(o.blocks, now)
	return out
}

func takeParts(list []notice[blocker.PartTime], now time.Time) (out []reportedPart, keep []notice[blocker.PartTime]) {
	parts, keep := takeNotices(list, atMost[blocker.PartTime](maxParts), now)
	for _, p := range parts {
		out = append(out, reportedPart{Part: p.Part, AgeMs: ageMs(p.At, now)})
	}
	return out, keep
}

// AnnounceRefusal announces a refused request to the failure domain with the next
// message to all of its daemons: the caller may return to any of them.
func (g *Gossiper) AnnounceRefusal(f blocker.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refusals) >= maxRefusals {
		g.refusals = g.refusals[1:]
	}
	g.refusals = append(g.refusals, notice[blocker.Fingerprint]{value: f, remaining: refusalRepeats})
}

// takeRefusals returns the refusals for the next message.
func (g *Gossiper) takeRefusals(now time.Time) []blocker.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []blocker.Fingerprint
	out, g.refusals = takeNotices(g.refusals, atMost[blocker.Fingerprint](maxRefusals), now)
	return out
}

// AnnounceCrash announces a crash to the other daemons.
func (g *Gossiper) AnnounceCrash(c blocker.Crash, at time.Time) {
	g.mu.Lock()
	for _, piece := range (crash{c, at}).split() {
		g.outbox.addCrash(piece, maxPendingCrashes)
		g.relay.outbox.addCrash(piece, maxPendingDigestCrashes)
	}
	g.mu.Unlock()
	g.SendSoon()
}

// addSuccess adds a success of a part, which replaces an earlier block.
func (o *outbox) addSuccess(p blocker.PartTime) {
	o.successes = addPart(o.successes, p)
	o.blocks = slices.DeleteFunc(o.blocks, func(n notice[blocker.PartTime]) bool {
		return n.value.Part == p.Part && !n.value.At.After(p.At)
	})
}

// AnnouncePartSuccess announces with the next messages that a request with a part has
// succeeded.
func (g *Gossiper) AnnouncePartSuccess(p blocker.PartTime) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outbox.addSuccess(p)
	g.relay.outbox.addSuccess(p)
}

// AnnouncePartBlock announces a block to the other daemons.
func (g *Gossiper) AnnouncePartBlock(p blocker.PartTime) {
	g.mu.Lock()
	g.outbox.blocks = addPart(g.outbox.blocks, p)
	g.relay.outbox.blocks = addPart(g.relay.outbox.blocks, p)
	g.mu.Unlock()
	g.SendSoon()
}

// takeReports returns the reports for the next message to all daemons of the failure
// domain.
func (g *Gossiper) takeReports(now time.Time) reports {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outbox.take(maxCrashes, now)
}

func (g *Gossiper) hasReports() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.outbox.isEmpty()
}

// sendKnown sends the blocks in force and the replicas that leave to a daemon that has
// joined or returned.
func (g *Gossiper) sendKnown(to Member, now time.Time) {
	m := g.compose(g.Self(), now)
	m.addBlocks(g.blocks(now), now)
	m.Leaving = g.knownLeaving(now)
	if !m.isEmpty() || len(m.Leaving) > 0 {
		g.sendMessage(m, []Member{to})
	}
}

// receiveReports passes reports to the callbacks. With near, which is set for reports of
// this failure domain, those that were unknown go into its digests.
func (g *Gossiper) receiveReports(r reports, near bool, now time.Time) {
	for _, reported := range r.Crashes {
		c := reported.crash()
		at, ok := fromAge(reported.AgeMs, now)
		if ok && g.OnCrash != nil && g.OnCrash(c, at) && near {
			g.mu.Lock()
			g.relay.outbox.addCrash(crash{c, at}, maxPendingDigestCrashes)
			g.mu.Unlock()
		}
	}
	for _, p := range r.Successes {
		if at, ok := fromAge(p.AgeMs, now); ok && g.OnPartSuccess != nil {
			g.receivePartSuccess(blocker.PartTime{Part: p.Part, At: at}, near, now)
		}
	}
	for _, q := range r.RequestBlocks {
		if at, ok := fromAge(q.AgeMs, now); ok && g.OnRequestBlock != nil {
			g.OnRequestBlock(blocker.RequestTime{Request: q.Request, At: at}, now)
		}
	}
	for _, p := range r.Blocks {
		at, ok := fromAge(p.AgeMs, now)
		if ok && g.OnPartBlock != nil && g.OnPartBlock(blocker.PartTime{Part: p.Part, At: at}, now) && near {
			g.mu.Lock()
			g.relay.outbox.blocks = addPart(g.relay.outbox.blocks, blocker.PartTime{Part: p.Part, At: at})
			g.mu.Unlock()
		}
	}
}

// receivePartSuccess records a success on another daemon. The failure domain knows it from
// there, so that this daemon need not announce its own.
func (g *Gossiper) receivePartSuccess(p blocker.PartTime, near bool, now time.Time) {
	isNew := g.OnPartSuccess(p, now)
	if !isNew || !near {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outbox.successes = removePart(g.outbox.successes, p.Part)
	g.relay.outbox.addSuccess(p)
}
