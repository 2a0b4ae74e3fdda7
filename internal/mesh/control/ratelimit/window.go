package ratelimit

import "time"

// windowSlots is the number of complete slots in a sliding window; one more slot is being filled.
const windowSlots = 20

// window counts events within a sliding window of time. The zero window needs a slotWidth.
type window struct {
	slotWidth time.Duration
	counts    [windowSlots + 1]float64 // a ring: by slot number modulo its length
	slot      int64                    // number of the slot that is being filled
	total     float64                  // of counts
}

// advance empties the slots that have left the window.
func (w *window) advance(now time.Duration) {
	current := int64(now / w.slotWidth)
	if current-w.slot > windowSlots {
		w.counts = [windowSlots + 1]float64{}
		w.total = 0
		w.slot = current
	}
	for w.slot < current {
		w.slot++
		i := w.slot % (windowSlots + 1)
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
}

// add counts n events.
func (w *window) add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.slot%(windowSlots+1)] += n
	w.total += n
}
