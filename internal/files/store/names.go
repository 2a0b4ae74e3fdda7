package store

import (
	"errors"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// File names in the directory of a store. They are part of the on-disk format.
const (
	lockName        = "lock"
	segmentSuffix   = ".seg"
	temporarySuffix = ".tmp"     // used instead of segmentSuffix while a compaction writes the file
	damagedSuffix   = ".damaged" // appended after segmentSuffix
	segmentDigits   = 16         // number of hexadecimal digits of the ID
)

// segmentName returns the file name of a segment: its ID in hexadecimal, with leading zeros so that names sort in the order of IDs.
func segmentName(id uint64) string {
	digits := strconv.FormatUint(id, 16)
	return strings.Repeat("0", segmentDigits-len(digits)) + digits + segmentSuffix
}

// temporaryName returns the file name that a compaction uses until the segment is complete.
func temporaryName(id uint64) string {
	return strings.TrimSuffix(segmentName(id), segmentSuffix) + temporarySuffix
}

// parseSegmentName returns the ID in the file name of a segment. It returns false for the names of other files.
func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) != segmentDigits {
		return 0, false
	}
	id, err := strconv.ParseUint(digits, 16, 64)
	return id, err == nil && id > 0 && segmentName(id) == name
}

// listSegments returns the IDs of the segments in a directory and the names of temporary files, both in ascending order.
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
