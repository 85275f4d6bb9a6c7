package gossiper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
)

// TestAnnouncementReports guards against announcements that lose something on the wire, and
// against windows that are set by implausible ages.
func TestAnnouncementReports(t *testing.T) {
	now := time.Unix(1000, 0)
	announced := []selector.Announcement{
		{Model: "m", Version: 2, After: now.Add(-4 * time.Second), By: now.Add(-time.Second)},
		{Model: "m", Version: 3, After: now.Add(-time.Second), By: now.Add(-time.Second), Observed: true},
		{Model: "m", Version: 4, After: now.Add(-3 * time.Second), By: now.Add(-time.Second), Unanswered: true},
	}
	tests := []struct {
		name    string
		reports []AnnouncementReport
		want    []selector.Announcement
	}{
		{"own reports", ReportAnnouncements(announced, now), announced},
		{"made after it was known", []AnnouncementReport{{Model: "m", Version: 2, AgeMs: 2, MaxAgeMs: 1}}, nil},
		{"negative age", []AnnouncementReport{{Model: "m", Version: 2, AgeMs: -1, MaxAgeMs: 1}}, nil},
		{"too old", []AnnouncementReport{{Model: "m", Version: 2, MaxAgeMs: maxReportAge.Milliseconds() + 1}}, nil},
	}
	for _, tc := range tests {
		qt.Check(t, ReadAnnouncements(tc.reports, now), qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}
