package store

import (
	"cmp"
	"fmt"
)

// recoverLog builds the index from the log in the directory, and prepares the committer to continue the log. The caller closes the
// segments, even after an error.
func (s *Store) recoverLog() error {
	log, err := readLog(s.fs)
	if err != nil {
		return err
	}
	s.segments = log.segments
	s.health.Damage = log.damage
	s.health.TornBytes = log.tornBytes
	s.id = cmp.Or(log.storeID, newStoreID())
	s.nextID = log.lastID + 1
	timestamp := s.options.Clock()
	s.clock.baseTime = storeTimeAt(log.storeTime, log.timestamp, timestamp)
	s.clock.baseUptime = timestamp.UptimeMillis
	s.index = newIndex(min(log.countUnexpired(s.clock.now()), uint64(s.options.MaxRecords)))
	s.committer.durableSeq = log.durableSeq
	for i, seg := range log.segments {
		// The seal of a segment that deletes hidden records does not have their expiry.
		if !log.hiddenRecords && seg.skipExpired(s.clock.now()) {
			s.committer.durableSeq = max(s.committer.durableSeq, seg.lastSeq)
			continue
		}
		if err := s.recoverSegment(log, i); err != nil {
			return err
		}
	}
	s.committer.resume(log)
	if err := s.removeLeftovers(log.leftovers); err != nil {
		return err
	}
	s.dropExpired()
	s.compactor.dropDeadSegments()
	return nil
}

// countUnexpired returns the number of records in sealed segments that may be live. Open uses it as the initial capacity of the
// index, which then does not have to be copied while it grows.
func (l *diskLog) countUnexpired(now int64) (records uint64) {
	for _, seg := range l.segments {
		if seal, ok := readSeal(seg); ok && seal.expiresAt > now {
			records += seal.records
		}
	}
	return records
}

// skipExpired reports whether a segment does not have to be read, because it is sealed, and all of its records and all records that
// they superseded have expired. It sets the fields of such a segment from the seal.
func (s *segment) skipExpired(now int64) bool {
	seal, ok := readSeal(s)
	if !ok || max(seal.expiresAt, seal.supersededExpiresAt) > now {
		return false
	}
	s.sealed = true
	s.records = seal.records
	s.lastSeq = seal.seq
	s.expiresAt = seal.expiresAt
	s.supersededExpiresAt = seal.supersededExpiresAt
	return true
}

// recoverSegment adds the records of segment i to the index, and its damage to Health.
func (s *Store) recoverSegment(log *diskLog, i int) error {
	seg := log.segments[i]
	result, err := log.scanSegment(i, func(f frame, offset int) { s.index.add(seg, &f, uint32(offset), uint32(f.size)) })
	if err != nil {
		return err
	}
	// The store time of a group is later than that of the header. It is needed if the wall clock was set back across a reboot.
	s.clock.advanceTo(result.storeTime)
	seg.lastSeq = result.lastSeq
	seg.sealed = result.sealed
	seg.damaged = seg.damaged || len(result.damage) > 0
	s.health.Damage = append(s.health.Damage, result.damage...)
	s.health.TornBytes += result.tornBytes
	s.committer.durableSeq = max(s.committer.durableSeq, result.lastSeq)
	if result.sealed {
		return nil
	}
	// The records that were just read may never have been synced. They must be durable before the store returns them to readers.
	if err := seg.file.Sync(); err != nil {
		return fmt.Errorf("%s: %w", seg.name, err)
	}
	return nil
}

// resume prepares the committer to continue a log. The next sequence number is higher than all that were used, including those of
// failed writes.
func (c *committer) resume(log *diskLog) {
	for _, failed := range log.failedRanges {
		c.durableSeq = max(c.durableSeq, failed.end-1)
	}
	c.nextSeq = c.durableSeq + 1
	if n := len(log.segments); n > 0 {
		c.segment = log.segments[n-1]
		c.nextSeq = max(c.nextSeq, c.segment.firstSeq)
	}
}

// removeLeftovers removes files that are not needed, and makes the removal durable.
func (s *Store) removeLeftovers(names []string) error {
	if len(names) == 0 {
		return nil
	}
	for _, name := range names {
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	return s.fs.SyncDir()
}
