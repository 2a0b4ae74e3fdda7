package finding

import (
	"fmt"
	"strings"
)

// maxNameBytes bounds what is compared: the cost grows with the square.
const maxNameBytes = 64

// Nearest is the candidate that a misspelt name most likely means, or "" if
// none is near: a third of its letters may be wrong, and at least one.
func Nearest(name string, candidates []string) string {
	best, least := "", 0
	if len(name) > maxNameBytes {
		return ""
	}
	lower := strings.ToLower(name)
	for _, c := range candidates {
		if len(c) > maxNameBytes {
			continue
		}
		allowed := max(1, max(len(name), len(c))/3)
		if d := editDistance(lower, strings.ToLower(c)); d <= allowed && (best == "" || d < least) {
			best, least = c, d
		}
	}
	return best
}

// UnknownName words a message on a name that is not one of candidates: with the
// nearest one, or with all where these are few.
func UnknownName(what, name string, candidates []string) string {
	text := fmt.Sprintf("unknown %s %q", what, truncate(name))
	if n := Nearest(name, candidates); n != "" {
		return fmt.Sprintf("%s; did you mean %q?", text, n)
	}
	if 0 < len(candidates) && len(candidates) <= 8 {
		return text + "; known are " + strings.Join(candidates, ", ")
	}
	return text
}

// truncate keeps a message to a line that can be read.
func truncate(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxNameBytes], "") + "..."
}

// editDistance is the least number of letters to insert, drop, replace or swap
// with their neighbour to turn a into b (optimal string alignment).
func editDistance(a, b string) int {
	x, y := []rune(a), []rune(b)
	before, last, row := make([]int, len(y)+1), make([]int, len(y)+1), make([]int, len(y)+1)
	for j := range last {
		last[j] = j
	}
	for i := range x {
		row[0] = i + 1
		for j := range y {
			cost := 1
			if x[i] == y[j] {
				cost = 0
			}
			row[j+1] = min(last[j+1]+1, row[j]+1, last[j]+cost)
			if i > 0 && j > 0 && x[i] == y[j-1] && x[i-1] == y[j] {
				row[j+1] = min(row[j+1], before[j-1]+1)
			}
		}
		before, last, row = last, row, before
	}
	return last[len(y)]
}
