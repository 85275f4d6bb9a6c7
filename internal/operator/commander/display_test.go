package commander

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against control characters in output that is not a terminal, and
// against lines that wrap on a narrow terminal and so cannot be overwritten.
func TestDisplay(t *testing.T) {
	tests := []struct {
		name     string
		terminal bool
		width    int
		want     string
	}{
		{"plain", false, 0, "1 of 2\n2 of 2\n"},
		{"terminal", true, 0, "\r\x1b[K[###############...............] 1 of 2\r\x1b[K[##############################] 2 of 2\n"},
		{"narrow terminal", true, 6, "\r\x1b[K[####\r\x1b[K[####\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			d := &progressDisplay{w: &out, terminal: test.terminal, width: test.width}
			d.show("1 of 2", 1, 2)
			d.show("1 of 2", 1, 2)
			d.show("2 of 2", 2, 2)
			d.finish()
			qt.Assert(t, out.String(), qt.Equals, test.want)
		})
	}
}
