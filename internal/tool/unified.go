package tool

import (
	"fmt"
	"strings"
)

// maxComparedCells bounds the product of the lines that differ: the table below grows with it.
const maxComparedCells = 4 << 20

// unified shows how a text would change, lines that go with -, lines that come with +, and the line that a
// change begins at. It follows the longest common subsequence of the lines between the first and the last
// that differ.
func unified(path string, before, after []byte) string {
	a, b := strings.Split(string(before), "\n"), strings.Split(string(after), "\n")
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	endA, endB := len(a), len(b)
	for endA > start && endB > start && a[endA-1] == b[endB-1] {
		endA, endB = endA-1, endB-1
	}
	x, y := a[start:endA], b[start:endB]
	if len(x) == 0 && len(y) == 0 {
		return ""
	}
	out := fmt.Sprintf("--- %s\n+++ %s (as write would make it)\n", path, path)
	common := make([][]int32, len(x)+1)
	if len(x)*len(y) <= maxComparedCells {
		for i := range common {
			common[i] = make([]int32, len(y)+1)
		}
		for i := len(x) - 1; i >= 0; i-- {
			for j := len(y) - 1; j >= 0; j-- {
				if x[i] == y[j] {
					common[i][j] = common[i+1][j+1] + 1
				} else {
					common[i][j] = max(common[i+1][j], common[i][j+1])
				}
			}
		}
	} else {
		common = nil // all lines go and come
	}
	var lines strings.Builder
	inside := false
	emit := func(at int, sign, line string) {
		if !inside {
			fmt.Fprintf(&lines, "@@ line %d @@\n", at+1)
			inside = true
		}
		lines.WriteString(sign + strings.TrimSuffix(line, "\r") + "\n")
	}
	for i, j := 0, 0; i < len(x) || j < len(y); {
		switch {
		case common != nil && i < len(x) && j < len(y) && x[i] == y[j]:
			i, j, inside = i+1, j+1, false
		case i < len(x) && (j == len(y) || common == nil || common[i+1][j] >= common[i][j+1]):
			emit(start+i, "-", x[i])
			i++
		default:
			emit(start+i, "+", y[j])
			j++
		}
	}
	return out + lines.String()
}
