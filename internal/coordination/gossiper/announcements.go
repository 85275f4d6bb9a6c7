package gossiper

import (
	"time"

	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
)

// AnnouncementReport is an announced model version on the wire. Ages need no synchronized
// clocks.
type AnnouncementReport struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
	// AgeMs and MaxAgeMs are the times since the announcement was known and since it may
	// have been made.
	AgeMs    int64 `json:"age-ms"`
	MaxAgeMs int64 `json:"max-age-ms"`
	// Observed is set if the announcement was made at MaxAgeMs, not only since.
	Observed bool `json:"observed,omitempty"`
	// Unanswered is set if the store answered no polls between MaxAgeMs and AgeMs.
	Unanswered bool `json:"unanswered,omitempty"`
}

// ReportAnnouncements returns announcements as they are sent to other daemons.
func ReportAnnouncements(list []selector.Announcement, now time.Time) []AnnouncementReport {
	var out []AnnouncementReport
	for _, a := range list {
		out = append(out, AnnouncementReport{Model: a.Model, Version: a.Version, AgeMs: ageMs(a.By, now), MaxAgeMs: ageMs(a.After, now), Observed: a.Observed, Unanswered: a.Unanswered})
	}
	return out
}

// ReadAnnouncements returns the announcements of another daemon without those whose age is
// not plausible.
func ReadAnnouncements(list []AnnouncementReport, now time.Time) []selector.Announcement {
	var out []selector.Announcement
	for _, r := range list {
		by, plausible := fromAge(r.AgeMs, now)
		after, afterPlausible := fromAge(r.MaxAgeMs, now)
		if plausible && afterPlausible && !after.After(by) {
			out = append(out, selector.Announcement{Model: r.Model, Version: r.Version, After: after, By: by, Observed: r.Observed, Unanswered: r.Unanswered})
		}
	}
	return out
}

// reportAnnouncements returns the recent announcements for a message. They are repeated in
// each one, so that a daemon that was not running learns how old they are from the first
// message that it receives in time.
func (g *Gossiper) reportAnnouncements(now time.Time) []AnnouncementReport {
	if g.Announcements == nil {
		return nil
	}
	return ReportAnnouncements(g.Announcements(now), now)
}

// receiveAnnouncements passes the announcements of a message to the callback.
func (g *Gossiper) receiveAnnouncements(m message, now time.Time) {
	if g.OnAnnouncement == nil {
		return
	}
	for _, a := range ReadAnnouncements(m.Announcements, now) {
		g.OnAnnouncement(m.From, a, now)
	}
}
