// Package partitioner divides the entry daemons of a failure domain, and the replicas
// that they place requests on, into cells. The daemons of a cell prefer its replicas
// and tell each other their load at short intervals, so that the number of messages
// of a daemon does not grow with the failure domain.
//
// All daemons with the same lists compute the same cells. A daemon or replica that
// joins or leaves moves at most one member from each cell to a neighboring one.
package partitioner

import (
	"cmp"
	"slices"

	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

// maxCellSize is the maximum number of daemons in a cell. With too few, a cell has no
// spare capacity for variations of its share of the load.
const maxCellSize = 8

// Partition is a division of daemons into cells.
type Partition struct {
	cells  [][]string
	cellOf map[string]int
}

// New divides daemons into the smallest number of cells of about the same size.
func New(daemons []string) Partition {
	n := (len(daemons) + maxCellSize - 1) / maxCellSize
	p := Partition{cells: make([][]string, n), cellOf: make(map[string]int, len(daemons))}
	for i, name := range sortByHash(daemons) {
		cell := i * n / len(daemons)
		p.cells[cell] = append(p.cells[cell], name)
		p.cellOf[name] = cell
	}
	return p
}

// SameCell reports whether two daemons are in the same cell.
func (p Partition) SameCell(a, b string) bool {
	cellA, okA := p.cellOf[a]
	cellB, okB := p.cellOf[b]
	return okA && okB && cellA == cellB
}

// Assign divides replicas among the cells and returns the daemons of its cell for each.
func (p Partition) Assign(replicas []string) map[string][]string {
	out := make(map[string][]string, len(replicas))
	for i, id := range sortByHash(replicas) {
		if len(p.cells) > 0 {
			out[id] = p.cells[i*len(p.cells)/len(replicas)]
		}
	}
	return out
}

func sortByHash(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(ranker.Hash(a), ranker.Hash(b)), cmp.Compare(a, b))
	})
	return out
}
