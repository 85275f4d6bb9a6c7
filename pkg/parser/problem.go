package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one validation error in the declared objects, with a suggested
// correction.
type Problem struct {
	File string `json:"file"`
	// Line is 0 for objects that come from the published revision.
	Line       int    `json:"line,omitempty"`
	Object     Ref    `json:"object"`
	Field      string `json:"field,omitempty"`
	Message    string `json:"message"`
	Suggestion string `json:"suggestion"`
}

// String formats the problem as one line:
//
//	fleets.yaml:12: fleet/drafting: replicas: -1 is below 1; write a number from 1 to 100000
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Object.Kind != "" {
		fmt.Fprintf(&b, ": %s", p.Object)
	} else if p.Object.Name != "" {
		fmt.Fprintf(&b, ": %s", p.Object.Name)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, ": %s", p.Field)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	if p.Suggestion != "" {
		fmt.Fprintf(&b, "; %s", p.Suggestion)
	}
	return b.String()
}

// ProblemsError reports all problems that were found in a set of objects.
type ProblemsError struct {
	Problems []Problem
}

func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// SortProblems sorts the problems by file and line. The sort is stable.
func SortProblems(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
}
