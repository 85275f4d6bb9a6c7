package placer

import "time"

const (
	// trialTime is the time after which a replica that takes requests again would have refused
	// the first one.
	trialTime = 50 * time.Millisecond
	// trialPause is the time after a failed trial until the next one of the service.
	trialPause = 250 * time.Millisecond
	// trialTrust is how long after a successful trial others of the service need not wait.
	trialTrust = time.Second
)

// trials are those of the replicas of a service. The first request after a hold-off is a trial.
// Replicas that shed load often do so for the same reason, so one at a time is tried.
type trials struct {
	// next is when the next trial may begin, and trustedUntil until when many may.
	next, trustedUntil time.Time
}

// trial is a replica with its first request after a hold-off.
type trial struct {
	placer *Placer
	state  *replicaState
}

// mayTry reports whether a replica may get a request as far as trials are concerned.
func (p *Placer) mayTry(s *replicaState, now time.Time) bool {
	return !s.onTrial || !now.Before(p.trials[s.Service].next)
}

// beginTrial lets a replica that has held requests off get no further one for a moment.
func (p *Placer) beginTrial(s *replicaState, now time.Time) {
	s.onTrial = false
	s.fullUntil = now.Add(trialTime)
	time.AfterFunc(trialTime, (&trial{placer: p, state: s}).end)
	of := p.trials[s.Service]
	if now.Before(of.trustedUntil) {
		return
	}
	of.next = now.Add(trialTime + trialPause)
	p.setTrials(s.Service, of)
	time.AfterFunc(trialTime+trialPause, p.admitAfterHoldOff)
}

// end ends a trial, which was successful if the replica still takes requests.
func (t *trial) end() {
	p, now := t.placer, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(t.state.heldUntil) {
		p.setTrials(t.state.Service, trials{trustedUntil: now.Add(trialTrust)})
	}
	p.admitWaiting(now)
}

func (p *Placer) setTrials(service string, t trials) {
	if p.trials == nil {
		p.trials = map[string]trials{}
	}
	p.trials[service] = t
}
