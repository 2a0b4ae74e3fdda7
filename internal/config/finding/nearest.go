package finding

import (
	"fmt"
	"strings"
)

const (
	// maxNameBytes bounds the length of names that are compared, since the cost grows with its square. It also bounds the part of a name
	// that a message quotes.
	maxNameBytes = 64
	// maxNamesListed bounds the number of candidates that a message lists.
	maxNamesListed = 8
)

// Nearest returns the candidate that a misspelt name most likely means, or "" if none is similar enough. Their edit distance
// may be up to a third of the longer name's length, or 1 if that is more. Case is ignored. Of equally similar candidates it returns the
// first.
func Nearest(name string, candidates []string) string {
	if len(name) > maxNameBytes {
		return ""
	}
	nearest := ""
	leastDistance := 0
	lower := strings.ToLower(name)
	for _, candidate := range candidates {
		if len(candidate) > maxNameBytes {
			continue
		}
		allowed := max(1, max(len(name), len(candidate))/3)
		distance := editDistance(lower, strings.ToLower(candidate))
		if distance <= allowed && (nearest == "" || distance < leastDistance) {
			nearest = candidate
			leastDistance = distance
		}
	}
	return nearest
}

// UnknownName returns the message for a name that is not among the candidates. It suggests the nearest candidate, or lists all if there
// are at most maxNamesListed.
func UnknownName(what, name string, candidates []string) string {
	text := fmt.Sprintf("unknown %s %q", what, truncate(name))
	if nearest := Nearest(name, candidates); nearest != "" {
		return fmt.Sprintf("%s; did you mean %q?", text, nearest)
	}
	if 0 < len(candidates) && len(candidates) <= maxNamesListed {
		return text + "; known are " + strings.Join(candidates, ", ")
	}
	return text
}

// truncate shortens a name to at most maxNameBytes for a message.
func truncate(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxNameBytes], "") + "..."
}

// editDistance returns the optimal string alignment distance of two texts: the least number of insertions, deletions, substitutions and
// transpositions of adjacent characters that turn one into the other.
func editDistance(from, to string) int {
	source := []rune(from)
	target := []rune(to)
	// Only three rows of the table of distances between prefixes are needed at a time.
	beforeLast := make([]int, len(target)+1)
	last := make([]int, len(target)+1)
	row := make([]int, len(target)+1)
	for j := range last {
		last[j] = j
	}
	for i := range source {
		row[0] = i + 1
		for j := range target {
			cost := 1
			if source[i] == target[j] {
				cost = 0
			}
			row[j+1] = min(last[j+1]+1, row[j]+1, last[j]+cost)
			if i > 0 && j > 0 && source[i] == target[j-1] && source[i-1] == target[j] {
				row[j+1] = min(row[j+1], beforeLast[j-1]+1)
			}
		}
		beforeLast, last, row = last, row, beforeLast
	}
	return last[len(target)]
}
