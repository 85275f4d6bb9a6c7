package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// barWidth is the width of the progress bar in columns.
const barWidth = 30

// progressDisplay shows progress. On a terminal it overwrites one line, otherwise
// it prints a line for each change. With -o json it prints nothing.
type progressDisplay struct {
	w        io.Writer
	terminal bool
	silent   bool
	width    int
	last     string
}

func (s *session) newProgressDisplay() *progressDisplay {
	return &progressDisplay{w: s.program.Stdout, terminal: s.program.Terminal, silent: s.json(), width: s.program.Width}
}

// show displays the text if it has changed. On a terminal it adds a progress bar
// if total is above 0.
func (d *progressDisplay) show(text string, done, total int) {
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
	// Truncate the line, because one that wraps cannot be overwritten.
	line := []rune(bar + text)
	if d.width > 1 && len(line) >= d.width {
		line = line[:d.width-1]
	}
	// Return to the start of the line and erase it.
	fmt.Fprintf(d.w, "\r\x1b[K%s", string(line))
}

// finish ends the line on a terminal, so that later output does not overwrite it.
func (d *progressDisplay) finish() {
	if d.terminal && !d.silent && d.last != "" {
		fmt.Fprintln(d.w)
	}
}

// writePairs prints rows of a name and a value in two columns.
func writePairs(w io.Writer, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}
