package gossiper

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

const (
	// knowledgeInterval is the time between requests for what other daemons know.
	knowledgeInterval = 300 * time.Millisecond
	// knowledgeTimeout is how long a daemon waits for an answer before it is ready without:
	// the others may be down.
	knowledgeTimeout = time.Second
	// knowledgePatience is how long it asks. Daemons that have started together do not know
	// more than it does.
	knowledgePatience = 5 * time.Second
	// maxReceptionGap is the longest time without a message of any entry daemon after which
	// none has been missed: messages that repeat a notice come more often.
	maxReceptionGap = 1200 * time.Millisecond
	// maxPageCrashes is the maximum number of crashes in one page.
	maxPageCrashes = 64
)

// knowledge is what a daemon does about the notices that it has missed: those from before its
// start, and those of a time in which it did not run or was cut off. They are not repeated for
// it, so that it asks another daemon for all that is in force.
//
// Its lock is held during no other call: a pause is reported to it by code that a message being
// composed may wait for.
type knowledge struct {
	mu sync.Mutex
	// wantedSince is zero if nothing is missing.
	wantedSince time.Time
	askedAt     time.Time
	// from is the address of the daemon whose pages are being received.
	from  string
	pages map[int]bool
	// heardAt is when the last message of an entry daemon arrived.
	heardAt time.Time
}

// knowledgePage marks a message as one of several that answer a request.
type knowledgePage struct {
	Page  int `json:"page"`
	Pages int `json:"pages"`
	// Complete is set if the sender does not itself wait for an answer.
	Complete bool `json:"complete,omitempty"`
}

// maxKnowledgePages bounds the number of pages that is accepted from another daemon.
const maxKnowledgePages = 64

// want makes the daemon ask for what it may have missed.
// It reports whether it did not before.
func (k *knowledge) want(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.wantedSince.IsZero() {
		return false
	}
	k.wantedSince, k.askedAt, k.from, k.pages = now, time.Time{}, "", nil
	return true
}

// isWanted reports whether something is missing, and since when.
func (k *knowledge) isWanted() (since time.Time, wanted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wantedSince, !k.wantedSince.IsZero()
}

// recordReception notes a message of an entry daemon and reports whether others may have been
// missed before it.
func (k *knowledge) recordReception(now time.Time) (missed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	missed = !k.heardAt.IsZero() && now.Sub(k.heardAt) > maxReceptionGap
	k.heardAt = now
	return missed
}

// shouldAsk reports whether a request is due.
func (k *knowledge) shouldAsk(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.wantedSince.IsZero() && now.Sub(k.askedAt) >= knowledgeInterval
}

// recordRequest notes that another daemon has been asked.
func (k *knowledge) recordRequest(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.askedAt = now
}

// giveUp ends the wait if no daemon has answered for too long, and reports whether it did.
func (k *knowledge) giveUp(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wantedSince.IsZero() || now.Sub(k.wantedSince) < knowledgePatience {
		return false
	}
	k.wantedSince = time.Time{}
	return true
}

// recordPage notes a page and reports whether it was the last one that was missing.
func (k *knowledge) recordPage(from string, p knowledgePage) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wantedSince.IsZero() || !p.Complete || p.Pages < 1 || p.Pages > maxKnowledgePages || p.Page < 0 || p.Page >= p.Pages {
		return false
	}
	if k.from != from || k.pages == nil {
		k.from, k.pages = from, map[int]bool{}
	}
	k.pages[p.Page] = true
	if len(k.pages) < p.Pages {
		return false
	}
	k.wantedSince, k.pages = time.Time{}, nil
	return true
}

// WantKnowledge makes Run ask another daemon for all that is in force, because notices may
// have been missed.
func (g *Gossiper) WantKnowledge(reason string, now time.Time) {
	if g.knowledge.want(now) {
		g.Log.Info("decision", zap.String("kind", "ask-peers"), zap.String("reason", reason))
	}
}

// Informed reports whether this daemon knows what the others know, has waited for it for long
// enough, or knows of no others.
func (g *Gossiper) Informed(now time.Time) bool {
	since, wanted := g.knowledge.isWanted()
	return !wanted || now.Sub(since) >= knowledgeTimeout || len(g.Seeds) == 0 && len(g.Members.Known(Entry, now)) == 0
}

// requestKnowledge asks a live entry daemon, if possible of the same failure domain.
func (g *Gossiper) requestKnowledge(self Member, now time.Time) {
	if g.knowledge.giveUp(now) {
		g.Log.Warn("no other daemon has told what it knows", zap.Duration("waited", knowledgePatience))
	}
	if !g.knowledge.shouldAsk(now) {
		return
	}
	var near, far []Member
	for _, m := range g.Members.Live(Entry, now) {
		switch {
		case m.Address == self.Address:
		case m.FailureDomain == self.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	to := sample(near, 1)
	if len(to) == 0 {
		to = sample(far, 1)
	}
	if len(to) == 0 {
		return
	}
	g.knowledge.recordRequest(now)
	m := g.header(self)
	m.RequestKnowledge = true
	g.sendMessage(m, to)
}

// sendKnowledge answers a request with the crashes that count, the blocks in force and the
// replicas that leave.
func (g *Gossiper) sendKnowledge(to Member, now time.Time) {
	_, wanted := g.knowledge.isWanted()
	complete := !wanted
	pages := g.knowledgePages(now)
	for i, r := range pages {
		m := g.header(g.Self())
		m.reports, m.Knowledge = r, &knowledgePage{Page: i, Pages: len(pages), Complete: complete}
		g.sendMessage(m, []Member{to})
	}
	g.Log.Debug("told another daemon what this one knows", zap.String("vm", to.VM), zap.Int("messages", len(pages)), zap.Bool("complete", complete))
}

// knowledgePages returns what this daemon knows, in reports that each fit into a message.
func (g *Gossiper) knowledgePages(now time.Time) []reports {
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

// receiveKnowledge passes what another daemon knows to the callbacks. It is known to the other
// failure domains, so that it goes into no digest.
func (g *Gossiper) receiveKnowledge(m message, now time.Time) {
	g.receiveReports(m.reports, false, now)
	g.receiveLeaving(m.Leaving, false, false, now)
	since, _ := g.knowledge.isWanted()
	if g.knowledge.recordPage(m.From.Address, *m.Knowledge) {
		g.Log.Info("learned what other daemons know", zap.String("from", m.From.VM), zap.Int("messages", m.Knowledge.Pages), zap.Duration("took", now.Sub(since)))
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

// addBlocks adds blocks that are in force unless they are in the message already.
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
