package tool

import (
	"fmt"
	"strings"
)

// maxComparedCells bounds the product of the lines that differ: the table of common subsequences grows with it.
const maxComparedCells = 4 << 20

// unified shows how a text would change: lines that go with -, lines that come with +, and the line that a change begins at. It follows
// the longest common subsequence of the lines between the first and the last that differ; where there are too many of them, all go and
// all come. It is empty for texts that are the same.
func unified(path string, before, after []byte) string {
	a := strings.Split(string(before), "\n")
	b := strings.Split(string(after), "\n")
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	for len(a) > start && len(b) > start && a[len(a)-1] == b[len(b)-1] {
		a = a[:len(a)-1]
		b = b[:len(b)-1]
	}
	removed := a[start:]
	added := b[start:]
	if len(removed) == 0 && len(added) == 0 {
		return ""
	}
	d := lineDiff{first: start + 1}
	d.write(removed, added)
	return fmt.Sprintf("--- %s\n+++ %s (as write would make it)\n", path, path) + d.text.String()
}

// lineDiff writes lines that go and come.
type lineDiff struct {
	first    int // number of the first line, from 1
	inChange bool
	text     strings.Builder
}

// write walks along both texts, by their common lines where these are known.
func (d *lineDiff) write(removed, added []string) {
	common := commonSubsequences(removed, added)
	i := 0
	j := 0
	for i < len(removed) || j < len(added) {
		switch {
		case common != nil && i < len(removed) && j < len(added) && removed[i] == added[j]:
			d.inChange = false
			i++
			j++
		case i < len(removed) && (j == len(added) || common == nil || common[i+1][j] >= common[i][j+1]):
			d.line(i, "-", removed[i])
			i++
		default:
			d.line(i, "+", added[j])
			j++
		}
	}
}

// line writes one line, below the number of the line that its change begins at.
func (d *lineDiff) line(at int, sign, line string) {
	if !d.inChange {
		fmt.Fprintf(&d.text, "@@ line %d @@\n", d.first+at)
		d.inChange = true
	}
	d.text.WriteString(sign + strings.TrimSuffix(line, "\r") + "\n")
}

// commonSubsequences has at [i][j] the length of the longest common subsequence of a[i:] and b[j:]. It is nil where that would be too
// large.
func commonSubsequences(a, b []string) [][]int32 {
	if len(a)*len(b) > maxComparedCells {
		return nil
	}
	common := make([][]int32, len(a)+1)
	for i := range common {
		common[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return common
}
