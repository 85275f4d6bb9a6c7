package parser

import "strings"

// Nearest returns the known word with the smallest edit distance to the given
// word, ignoring case, or "" when no known word is close enough for a likely typo:
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

// editDistance returns the Levenshtein distance. It compares only the beginning
// of long words, because its cost is quadratic and files may be malicious.
func editDistance(a, b string) int {
	const maxWordBytes = 128
	a, b = a[:min(len(a), maxWordBytes)], b[:min(len(b), maxWordBytes)]
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
