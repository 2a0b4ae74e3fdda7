package tool

import (
	"fmt"
	"strings"
)

// maxComparedCells bounds the size of the table of common subsequences, the product of the numbers of lines that differ.
const maxComparedCells = 4 << 20

// unified returns the changes between two texts: removed lines with -, added lines with +, and the number of the line where each change
// begins. It follows the longest common subsequence of the lines between the first and the last difference; if there are too many lines,
// all of them are removed and added. It returns an empty text for equal texts.
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

// lineDiff writes removed and added lines.
type lineDiff struct {
	first    int  // number of the first line that differs, from 1
	inChange bool // the last line that was handled was removed or added
	text     strings.Builder
}

// write walks along both texts and writes their differences; without a table of common subsequences all lines differ.
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

// line writes one line; the first one of a change follows the number of the line where the change begins.
func (d *lineDiff) line(at int, sign, line string) {
	if !d.inChange {
		fmt.Fprintf(&d.text, "@@ line %d @@\n", d.first+at)
		d.inChange = true
	}
	d.text.WriteString(sign + strings.TrimSuffix(line, "\r") + "\n")
}

// commonSubsequences returns a table whose element [i][j] is the length of the longest common subsequence of a[i:] and b[j:]. It returns nil
// if the table would exceed maxComparedCells.
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
