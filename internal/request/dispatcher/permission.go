package dispatcher

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

// sendPermitted sends the attempt, unless the replica must not get it any more. The VM may have
// been paused since the placement.
func (s *send) sendPermitted(now time.Time) Outcome {
	var out Outcome
	if err := s.permitted(now); err != nil {
		out = Refused{Proof: prover.NeverSent(err.Error()), NotPermitted: true}
	} else {
		out = s.Sender.Send(s.ctx, s.attempt)
	}
	if refused, ok := out.(Refused); ok && refused.NotPermitted {
		s.Observer.NotPermitted(s.request.Service)
	}
	return out
}

// permitted returns an error if the replica must not get the attempt.
func (s *send) permitted(now time.Time) error { return s.notPermitted(s.placed, now) }

// notPermitted returns an error if the replica of a place must not get the request.
func (x *execution) notPermitted(placed placer.Placement, now time.Time) error {
	q := placer.Query{Service: x.request.Service, Model: x.request.Model, Regions: x.regions()}
	return placed.Permitted(q, now)
}

// permittedAt reports whether the replica of a place may get the request, and counts it if not.
func (x *execution) permittedAt(placed placer.Placement, now time.Time) bool {
	if x.notPermitted(placed, now) == nil {
		return true
	}
	x.Observer.NotPermitted(x.request.Service)
	return false
}

// regions returns the regions in which the request may be served now.
func (x *execution) regions() matcher.Regions {
	if x.Regions == nil {
		return x.request.Regions
	}
	return x.Regions(x.request)
}

// recordUnplaced records a request without a place.
func (x *execution) recordUnplaced(err error) {
	var refused *placer.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	x.unplaced = refused
	x.Observer.Unplaced(refused)
	if refused.Excluded != (placer.Exclusions{}) {
		x.Observer.Excluded(x.request.Service, refused.Excluded)
	}
}

// unplacedFields returns the fields of a log line that tell why a request got no place: the share of
// slots of this daemon, the admitted share of its class, and the free slots and slow replicas.
func (x *execution) unplacedFields() []zap.Field {
	e := x.unplaced
	if e == nil {
		return nil
	}
	s := e.Standing
	return []zap.Field{
		zap.Bool("shed", e.Shed), zap.Float64("admitted-share", s.AdmittedShare), zap.Int("own-slots", s.OwnSlots), zap.Int("own-used", s.OwnUsed),
		zap.Int("borrowed", s.Borrowed), zap.Int("free-slots", s.Free), zap.Int("slow-replicas", s.Slow),
	}
}
