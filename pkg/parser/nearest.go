package parser

import "strings"

// Nearest returns the known word that is closest to the given one, whatever its
// case, or "" when none is close enough to be a likely typing mistake:
//
//	Nearest("regoins", []string{"regions", "replicas"}) // "regions"
func Nearest(word string, known []string) string {
	best, bestDistance := "", len(word)/3+2
	word = strings.ToLower(word)
	for _, k := range known {
		if d := editDistance(word, strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance. Long words are cut, so that
// a hostile file cannot make it slow.
func editDistance(a, b string) int {
	const maxWord = 128
	a, b = a[:min(len(a), maxWord)], b[:min(len(b), maxWord)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
