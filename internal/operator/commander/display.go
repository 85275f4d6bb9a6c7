package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const barWidth = 30

// display shows progress: one line that is overwritten on a terminal, else one
// line for each change. With -o json it shows nothing.
type display struct {
	w        io.Writer
	terminal bool
	silent   bool
	width    int
	last     string
}

func (s *session) newDisplay() *display {
	return &display{w: s.program.Stdout, terminal: s.program.Terminal, silent: s.json(), width: s.program.Width}
}

// show displays the text, with a bar when the total is known.
func (d *display) show(text string, done, total int) {
	if d.silent || text == d.last {
		return
	}
	d.last = text
	if !d.terminal {
		fmt.Fprintln(d.w, text)
		return
	}
	bar := ""
	if total > 0 {
		filled := min(barWidth, done*barWidth/total)
		bar = "[" + strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled) + "] "
	}
	// A line that wraps could not be overwritten.
	line := []rune(bar + text)
	if d.width > 1 && len(line) >= d.width {
		line = line[:d.width-1]
	}
	// Return to the start of the line and erase it.
	fmt.Fprintf(d.w, "\r\x1b[K%s", string(line))
}

// end leaves the last line on the terminal.
func (d *display) end() {
	if d.terminal && !d.silent && d.last != "" {
		fmt.Fprintln(d.w)
	}
}

// writePairs prints names and values in two columns.
func writePairs(w io.Writer, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}
