package placer

import (
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

const (
	// coldRankPenalty is the number of requests in progress by which a cold replica must be less
	// loaded to get a request of the next rank, so that the least urgent requests go elsewhere
	// first. maxColdRank is the highest rank that is distinguished from others.
	coldRankPenalty = 3.0
	maxColdRank     = 2
	// tokenTime is the time between placement and send for which a token counts. A request that
	// is sent later needs another one: the tokens of the time of its send are for others.
	tokenTime = 100 * time.Millisecond
	// minTokenWait is the least time between two checks for tokens. A token may be of no use to the
	// requests that are queued.
	minTokenWait = 10 * time.Millisecond
)

// coldToken is the token of a request for a cold replica. The zero value is none.
type coldToken struct {
	at time.Time
	// sent is set once the request may have been sent.
	sent bool
}

// SetColdServices sets the services whose cold replicas have a limit.
func (p *Placer) SetColdServices(services []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldServices = nil
	for _, name := range services {
		if p.coldServices == nil {
			p.coldServices = map[string]bool{}
		}
		p.coldServices[name] = true
	}
}

// SetCold sets the replicas that are cold, by ID. The others get requests without a limit.
func (p *Placer) SetCold(cold map[string]warmer.State, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cold) == 0 && len(cold) == 0 {
		return
	}
	p.cold = cold
	for id, s := range p.byID {
		s.setCold(cold[id])
	}
	p.refuseWithoutShare(now)
	p.admitWaiting(now)
}

// refuseWithoutShare refuses the queued requests that could run only on cold replicas in which this daemon has
// no share.
func (p *Placer) refuseWithoutShare(now time.Time) {
	for _, w := range append([]*waiter(nil), p.waiting...) {
		by := w.since.Add(w.query.MaxWait)
		if p.countUsable(w.query, now, by) == 0 && p.anyWithoutShare(w.query, by) {
			p.waiting.remove(w)
			close(w.refused)
		}
	}
}

func (s *replicaState) setCold(state warmer.State) {
	s.ColdUntil, s.ColdRate = state.Until, state.Rate
}

// Cold returns the number of listed replicas that are cold.
func (p *Placer) Cold(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id := range p.cold {
		if s := p.byID[id]; s != nil && p.isCold(s, now) {
			n++
		}
	}
	return n
}

// isCold reports whether a replica gets requests with tokens only.
func (p *Placer) isCold(s *replicaState, now time.Time) bool {
	return len(p.cold) > 0 && now.Before(s.ColdUntil)
}

// withoutShare reports whether the replica is cold until after a time, and this daemon may send it
// no requests until then.
func (s *replicaState) withoutShare(by time.Time) bool {
	return s.ColdRate == 0 && s.ColdUntil.After(by)
}

// anyWithoutShare reports whether the request could be placed if this daemon had a share in a cold
// replica.
func (p *Placer) anyWithoutShare(q Query, by time.Time) bool {
	for _, s := range p.services[q.Service] {
		if _, ok := s.eligible(q, by); ok && s.withoutShare(by) {
			return true
		}
	}
	return false
}

// coldPenalty returns what is added to the score of a cold replica. Requests are distinguished by rank only
// if the routes of the service have different ranks.
func (q *Query) coldPenalty() float64 {
	if !q.Ranked {
		return 0
	}
	return coldRankPenalty * float64(min(max(q.Class.Rank, 0), maxColdRank))
}

// takeToken takes a token for a placement if its replica is cold, and reports whether the replica may get
// the request.
func (p *Placer) takeToken(s *replicaState, placed *Placement, now time.Time) (token coldToken, ok bool) {
	if !p.isCold(s, now) {
		return coldToken{}, true
	}
	if !p.Warmer.Take(s.ID, now) {
		return coldToken{}, false
	}
	placed.Cold, placed.ViewAge = true, p.Warmer.ViewAge(now)
	return coldToken{at: now}, true
}

// useToken reports whether a request may be sent to a cold replica now. Without a token, or with one
// that was taken too long ago, it takes another one, which counts for the further checks of the same send.
func (p *Placer) useToken(id string, token *coldToken, now time.Time) bool {
	if !token.at.IsZero() && now.Sub(token.at) <= tokenTime && p.Warmer.Usable(now) {
		token.sent = true
		return true
	}
	if !p.Warmer.Take(id, now) {
		return false
	}
	*token = coldToken{at: now, sent: true}
	return true
}

// returnToken returns the token of a request that was not sent. A token that others may have replaced
// since is not returned.
func (p *Placer) returnToken(pl Placement, now time.Time) {
	token := &pl.record.token
	if !token.at.IsZero() && !token.sent && now.Sub(token.at) <= tokenTime {
		p.Warmer.Return(pl.Replica.ID, token.at, now)
	}
}

// awaitToken admits queued requests when the next token for a cold replica is due.
func (p *Placer) awaitToken(now time.Time) {
	if len(p.cold) == 0 || len(p.waiting) == 0 || p.coldTimer {
		return
	}
	wait, ok := p.Warmer.NextToken(now)
	if !ok {
		return
	}
	p.coldTimer = true
	time.AfterFunc(max(wait, minTokenWait), p.admitWithToken)
}

// admitWithToken admits queued requests after a wait for a token.
func (p *Placer) admitWithToken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldTimer = false
	p.admitWaiting(time.Now())
}
