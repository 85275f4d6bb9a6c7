package blocker

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashes is the maximum number of crashes, and maxCrashParts that of parts in them
	// together, that are sent to a daemon that has missed notices.
	maxCrashes    = 256
	maxCrashParts = 4096
)

// RequestTime is a blocked request with the time of its last crash.
type RequestTime struct {
	Request Fingerprint
	At      time.Time
}

// ObservedCrash is a crash with its time.
type ObservedCrash struct {
	Crash
	At time.Time
}

// RequestBlocks returns the newest blocks of requests in force with the times of their last
// crashes.
func (b *Blocker) RequestBlocks(now time.Time) []RequestTime {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []RequestTime
	for f, r := range b.records {
		if end := r.blockEnd(); now.Before(end) {
			out = append(out, RequestTime{Request: f, At: end.Add(-crashTTL)})
		}
	}
	slices.SortFunc(out, func(x, y RequestTime) int { return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Request, y.Request)) })
	return out[:min(len(out), MaxBlocks)]
}

// RecordRequestBlock records that another daemon blocks a request, unless this one knows a
// later success, and reports whether that was unknown.
func (b *Blocker) RecordRequestBlock(p RequestTime, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(p.At) >= crashTTL {
		return false
	}
	r := b.record(p.Request, now)
	until := p.At.Add(crashTTL)
	// As for parts, the time that messages take must not extend a block.
	if !p.At.After(r.succeededAt) || until.Sub(r.blockEnd()) < blockExtension {
		return false
	}
	r.extendedUntil = until
	return true
}

// Crashes returns the newest crashes that count, also those that block nothing yet, with the
// parts for which they count.
func (b *Blocker) Crashes(now time.Time) []ObservedCrash {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[crashKey]*ObservedCrash{}
	for f, r := range b.records {
		if r.isExpired(now) {
			continue
		}
		for _, c := range r.crashes {
			known[crashKey{f, c.replica}] = &ObservedCrash{Crash: Crash{Fingerprint: f, Replica: c.replica}, At: c.at}
		}
	}
	b.parts.addCrashes(known, now)
	out := make([]ObservedCrash, 0, len(known))
	for _, c := range known {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y ObservedCrash) int {
		return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Fingerprint, y.Fingerprint), cmp.Compare(x.Replica, y.Replica))
	})
	out = out[:min(len(out), maxCrashes)]
	b.parts.limitParts(out)
	return out
}

// crashKey identifies a crash.
type crashKey struct {
	request Fingerprint
	replica string
}

// addCrashes adds the crashes of parts that count after the last success.
func (r *partRecords) addCrashes(known map[crashKey]*ObservedCrash, now time.Time) {
	for part, s := range r.suspects {
		lastSuccess := r.lastSuccess(part)
		for _, c := range s.crashes {
			if !c.counts(lastSuccess, now) {
				continue
			}
			for _, f := range c.requests {
				key := crashKey{f, c.replica}
				if known[key] == nil {
					known[key] = &ObservedCrash{Crash: Crash{Fingerprint: f, Replica: c.replica}}
				}
				known[key].At = c.at
				known[key].Parts = append(known[key].Parts, part)
			}
		}
	}
}

// limitParts removes parts beyond maxCrashParts: first those of a single crash, from the oldest
// crash on, and then a share of each crash.
func (r *partRecords) limitParts(crashes []ObservedCrash) {
	total := 0
	for i := range crashes {
		slices.Sort(crashes[i].Parts)
		total += len(crashes[i].Parts)
	}
	for i := len(crashes) - 1; i >= 0 && total > maxCrashParts; i-- {
		parts := slices.DeleteFunc(crashes[i].Parts, func(part Fingerprint) bool { return r.repeated[part] == nil })
		total -= len(crashes[i].Parts) - len(parts)
		crashes[i].Parts = parts
	}
	if total <= maxCrashParts {
		return
	}
	for i, c := range crashes {
		crashes[i].Parts = c.Parts[:min(len(c.Parts), maxCrashParts/len(crashes))]
	}
}
