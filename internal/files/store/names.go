package store

import (
	"errors"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// Names of files in the directory of a store.
const (
	lockName        = "lock"
	segmentSuffix   = ".seg"
	temporarySuffix = ".tmp" // instead of segmentSuffix, while a compaction writes the file
	damagedSuffix   = ".damaged"
	segmentDigits   = 16
)

// segmentName is the file of a segment: its ID in hexadecimal, so that names sort as IDs do.
func segmentName(id uint64) string {
	digits := strconv.FormatUint(id, 16)
	return strings.Repeat("0", segmentDigits-len(digits)) + digits + segmentSuffix
}

// temporaryName is the file that becomes a segment's once it is complete.
func temporaryName(id uint64) string {
	return strings.TrimSuffix(segmentName(id), segmentSuffix) + temporarySuffix
}

// parseSegmentName is the ID in the name of a segment's file; false for other files.
func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) != segmentDigits {
		return 0, false
	}
	id, err := strconv.ParseUint(digits, 16, 64)
	return id, err == nil && id > 0 && segmentName(id) == name
}

// listSegments returns the IDs of the segments in a directory, in ascending order, and the names of files that were not
// finished.
func listSegments(d FS) (ids []uint64, unfinished []string, err error) {
	names, err := d.List()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	for _, name := range names {
		if id, ok := parseSegmentName(name); ok {
			ids = append(ids, id)
		} else if strings.HasSuffix(name, temporarySuffix) {
			unfinished = append(unfinished, name)
		}
	}
	slices.Sort(ids)
	slices.Sort(unfinished)
	return ids, unfinished, nil
}
