package tool

import (
	"fmt"
	"strings"
)

// maxComparedCells is the largest size of the table of common subsequences, which is the product of the numbers of lines that are compared.
const maxComparedCells = 4 << 20

// unifiedDiff returns the changes from one text to another: removed lines with -, added lines with +, and the number of the line where each
// change begins. It retains the longest common subsequence of the lines between the first and the last difference. If there are too many
// lines to compare, all of them appear as removed and added. It returns an empty string for equal texts.
func unifiedDiff(path string, before, after []byte) string {
	oldLines := strings.Split(string(before), "\n")
	newLines := strings.Split(string(after), "\n")
	start := 0
	for start < len(oldLines) && start < len(newLines) && oldLines[start] == newLines[start] {
		start++
	}
	for len(oldLines) > start && len(newLines) > start && oldLines[len(oldLines)-1] == newLines[len(newLines)-1] {
		oldLines = oldLines[:len(oldLines)-1]
		newLines = newLines[:len(newLines)-1]
	}
	removed := oldLines[start:]
	added := newLines[start:]
	if len(removed) == 0 && len(added) == 0 {
		return ""
	}
	diff := lineDiff{first: start + 1}
	diff.write(removed, added)
	return fmt.Sprintf("--- %s\n+++ %s (as write would make it)\n", path, path) + diff.text.String()
}

// lineDiff formats the removed and added lines of a comparison.
type lineDiff struct {
	first    int  // number of the first differing line, counted from 1
	inChange bool // whether the previous line was removed or added
	text     strings.Builder
}

// write writes the differences between two sequences of lines. Without a table of common subsequences, all lines count as different.
func (d *lineDiff) write(removed, added []string) {
	common := commonSubsequenceLengths(removed, added)
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

// line writes one removed or added line. If it is the first line of a change, the number of that line is written before it.
func (d *lineDiff) line(at int, sign, line string) {
	if !d.inChange {
		fmt.Fprintf(&d.text, "@@ line %d @@\n", d.first+at)
		d.inChange = true
	}
	d.text.WriteString(sign + strings.TrimSuffix(line, "\r") + "\n")
}

// commonSubsequenceLengths returns a table whose element [i][j] is the length of the longest common subsequence of a[i:] and b[j:].
// It returns nil if the table would exceed maxComparedCells.
func commonSubsequenceLengths(a, b []string) [][]int32 {
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
