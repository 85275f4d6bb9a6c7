package gossiper

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

const (
	// resyncInterval is the time between requests for the state of other daemons.
	resyncInterval = 300 * time.Millisecond
	// resyncTimeout is how long a daemon waits for an answer before it is ready without:
	// the others may be down.
	resyncTimeout = time.Second
	// resyncPatience is how long it asks. Daemons that have started together have no more
	// state than it has.
	resyncPatience = 5 * time.Second
	// maxReceptionGap is the longest time without a message of any entry daemon after which
	// none has been missed: messages that repeat a notice come more often.
	maxReceptionGap = 1200 * time.Millisecond
	// maxPageCrashes is the maximum number of crashes in one page.
	maxPageCrashes = 64
)

// resync is the state of a daemon that asks another one for all that is in force, because it
// may have missed notices: those from before its start, and those of a time in which it did not
// run or was cut off. Notices are not repeated for it.
//
// Its lock is held during no other call: a pause is reported to it by code that a message being
// composed may wait for.
type resync struct {
	mu sync.Mutex
	// wantedSince is zero if nothing is missing.
	wantedSince time.Time
	askedAt     time.Time
	// from is the address of the daemon whose pages are being received.
	from  string
	pages map[int]bool
	// receivedAt is when the last message of an entry daemon arrived.
	receivedAt time.Time
}

// statePage marks a message as one of several that answer a request.
type statePage struct {
	Page  int `json:"page"`
	Pages int `json:"pages"`
	// Complete is set if the sender does not itself wait for an answer.
	Complete bool `json:"complete,omitempty"`
}

// maxStatePages bounds the number of pages that is accepted from another daemon.
const maxStatePages = 64

// want begins a resync and reports whether none was in progress.
func (r *resync) want(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wantedSince.IsZero() {
		return false
	}
	r.wantedSince, r.askedAt, r.from, r.pages = now, time.Time{}, "", nil
	return true
}

// isWanted reports whether a resync is in progress, and since when.
func (r *resync) isWanted() (since time.Time, wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wantedSince, !r.wantedSince.IsZero()
}

// recordReception notes a message of an entry daemon and reports whether others may have been
// missed before it.
func (r *resync) recordReception(now time.Time) (missed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missed = !r.receivedAt.IsZero() && now.Sub(r.receivedAt) > maxReceptionGap
	r.receivedAt = now
	return missed
}

// shouldAsk reports whether a request is due.
func (r *resync) shouldAsk(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.wantedSince.IsZero() && now.Sub(r.askedAt) >= resyncInterval
}

// recordRequest notes that another daemon has been asked.
func (r *resync) recordRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedAt = now
}

// giveUp ends the wait if no daemon has answered for too long, and reports whether it did.
func (r *resync) giveUp(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wantedSince.IsZero() || now.Sub(r.wantedSince) < resyncPatience {
		return false
	}
	r.wantedSince = time.Time{}
	return true
}

// recordPage notes a page and reports whether it was the last one that was missing.
func (r *resync) recordPage(from string, p statePage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wantedSince.IsZero() || !p.Complete || p.Pages < 1 || p.Pages > maxStatePages || p.Page < 0 || p.Page >= p.Pages {
		return false
	}
	if r.from != from || r.pages == nil {
		r.from, r.pages = from, map[int]bool{}
	}
	r.pages[p.Page] = true
	if len(r.pages) < p.Pages {
		return false
	}
	r.wantedSince, r.pages = time.Time{}, nil
	return true
}

// Resync makes Run ask another daemon for all that is in force, because notices may have been
// missed.
func (g *Gossiper) Resync(reason string, now time.Time) {
	if g.resync.want(now) {
		g.Log.Info("decision", zap.String("kind", "resync"), zap.String("reason", reason))
	}
}

// Synchronized reports whether no resync is in progress, it has lasted for long enough, or no
// other daemon is known.
func (g *Gossiper) Synchronized(now time.Time) bool {
	since, wanted := g.resync.isWanted()
	return !wanted || now.Sub(since) >= resyncTimeout || len(g.Seeds) == 0 && len(g.Members.Known(Entry, now)) == 0
}

// requestState asks a live entry daemon, if possible of the same failure domain.
func (g *Gossiper) requestState(self Member, now time.Time) {
	if g.resync.giveUp(now) {
		g.Log.Warn("no other daemon has sent its state", zap.Duration("waited", resyncPatience))
	}
	if !g.resync.shouldAsk(now) {
		return
	}
	near, far := splitByDomain(self, g.Members.Live(Entry, now))
	to := oneOf(near, far)
	if len(to) == 0 {
		return
	}
	g.resync.recordRequest(now)
	m := g.header(self)
	m.RequestState = true
	g.sendMessage(m, to)
}

// sendState answers a request with the crashes that count, the blocks in force and the
// replicas that leave.
func (g *Gossiper) sendState(to Member, now time.Time) {
	_, inProgress := g.resync.isWanted()
	pages := g.statePages(now)
	for i, r := range pages {
		m := g.header(g.Self())
		m.reports, m.StatePage = r, &statePage{Page: i, Pages: len(pages), Complete: !inProgress}
		g.sendMessage(m, []Member{to})
	}
	g.Log.Debug("state sent to another daemon", zap.String("vm", to.VM), zap.Int("messages", len(pages)), zap.Bool("complete", !inProgress))
}

// statePages returns the state of this daemon in reports that each fit into a message.
func (g *Gossiper) statePages(now time.Time) []reports {
	// Blocks come first: crashes that are older than a block would otherwise have expired.
	inForce := reports{Leaving: g.knownLeaving(now)}
	inForce.addBlocks(g.blocks(now), now)
	pages := []reports{inForce}
	var page reports
	if g.Crashes != nil {
		fits := crashesThatFit(maxPageCrashes)
		for _, c := range g.Crashes(now) {
			for _, piece := range (crash{c.Crash, c.At}).split() {
				if !fits(piece) {
					pages, page = append(pages, page), reports{}
					fits = crashesThatFit(maxPageCrashes)
					fits(piece)
				}
				page.Crashes = append(page.Crashes, reportCrash(piece, now))
			}
		}
	}
	if len(page.Crashes) > 0 {
		pages = append(pages, page)
	}
	return pages
}

// receiveState passes the state of another daemon to the callbacks. The other failure domains
// have it, so that it goes into no digest.
func (g *Gossiper) receiveState(m message, now time.Time) {
	g.receiveReports(m.reports, false, now)
	g.receiveLeaving(m.Leaving, false, false, now)
	since, _ := g.resync.isWanted()
	if g.resync.recordPage(m.From.Address, *m.StatePage) {
		g.Log.Info("state of another daemon received", zap.String("from", m.From.VM), zap.Int("messages", m.StatePage.Pages), zap.Duration("took", now.Sub(since)))
	}
}

// blocks is what is blocked, for daemons that have missed the notices.
type blocks struct {
	parts    []blocker.PartTime
	requests []blocker.RequestTime
}

// blocks returns the blocks in force.
func (g *Gossiper) blocks(now time.Time) blocks {
	var out blocks
	if g.Blocks != nil {
		out.parts = g.Blocks(now)
	}
	if g.RequestBlocks != nil {
		out.requests = g.RequestBlocks(now)
	}
	return out
}

// addBlocks adds blocks that are in force, of parts unless they are in the message already.
func (r *reports) addBlocks(b blocks, now time.Time) {
	for _, p := range b.parts {
		if !slices.ContainsFunc(r.Blocks, func(known reportedPart) bool { return known.Part == p.Part }) {
			r.Blocks = append(r.Blocks, reportedPart{Part: p.Part, AgeMs: ageMs(p.At, now)})
		}
	}
	for _, q := range b.requests {
		r.RequestBlocks = append(r.RequestBlocks, reportedRequest{Request: q.Request, AgeMs: ageMs(q.At, now)})
	}
}
