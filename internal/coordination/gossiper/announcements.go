package gossiper

import (
	"time"

	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
)

// AnnouncementReport is an announced model version on the wire. An age needs no
// synchronized clocks.
type AnnouncementReport struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
	AgeMs   int64  `json:"age-ms"`
}

// ReportAnnouncements returns announcements as they are sent to other daemons.
func ReportAnnouncements(list []selector.Announcement, now time.Time) []AnnouncementReport {
	var out []AnnouncementReport
	for _, a := range list {
		out = append(out, AnnouncementReport{Model: a.Model, Version: a.Version, AgeMs: ageMs(a.At, now)})
	}
	return out
}

// ReadAnnouncements returns the announcements of another daemon without those whose age is
// not plausible.
func ReadAnnouncements(list []AnnouncementReport, now time.Time) []selector.Announcement {
	var out []selector.Announcement
	for _, r := range list {
		if at, ok := fromAge(r.AgeMs, now); ok {
			out = append(out, selector.Announcement{Model: r.Model, Version: r.Version, At: at})
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
