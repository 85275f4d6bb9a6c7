// Package pacer learns from the streams in progress how slow each replica of a service is at
// present.
//
// Servers may work several times as long for some hundred milliseconds, for example while
// another tenant of their host is busy. Reports of their load come too late to avoid them. The
// pauses between the events of the streams that a daemon forwards cost nothing and show a
// change after one or two of them.
package pacer

import (
	"math"
	"time"
)

const (
	// replicaGain is the weight of the newest pause in the average of a replica. With two
	// streams, whose events come every 70 ms, the average follows within 150 ms.
	replicaGain = 0.25
	// serviceGain is the same weight in the average of all replicas of the service.
	serviceGain = 0.01
	// maxPace bounds the pace of a replica.
	maxPace = 4.0
	// forgetTime is the time constant with which the pace of a replica without streams
	// returns to 1.
	forgetTime = time.Second
)

// Service is the average pace of the replicas of a service. The zero value is ready for use.
type Service struct {
	average float64
}

// Replica is the pace of one replica. The zero value is ready for use.
type Replica struct {
	average float64
	at      time.Time
}

// Record records a pause between two events of a stream, and the pause that is expected at
// the load of the replica.
func (r *Replica) Record(s *Service, pause, expected time.Duration, now time.Time) {
	if expected <= 0 || pause < 0 {
		return
	}
	ratio := math.Min(float64(pause)/float64(expected), 2*maxPace)
	if s.average == 0 {
		s.average = ratio
	}
	if r.at.IsZero() {
		r.average = s.average
	}
	s.average += serviceGain * (ratio - s.average)
	r.average += replicaGain * (ratio - r.average)
	r.at = now
}

// Pace returns how many times as long as the average of its service a replica works, from 1
// to maxPace.
func (r *Replica) Pace(s *Service, now time.Time) float64 {
	if s.average <= 0 || r.at.IsZero() {
		return 1
	}
	pace := math.Min(math.Max(r.average/s.average, 1), maxPace)
	return 1 + (pace-1)*math.Exp(-float64(now.Sub(r.at))/float64(forgetTime))
}
