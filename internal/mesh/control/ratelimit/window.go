package ratelimit

import "time"

// windowSlots is the number of completed slots in a sliding window. One further slot counts the current events.
const windowSlots = 20

// window counts events within a sliding time window of windowSlots*slotWidth. A zero window is ready once slotWidth is set.
type window struct {
	slotWidth time.Duration
	counts    [windowSlots + 1]float64 // ring buffer of counts, indexed by slot number modulo its length
	slot      int64                    // number of the current slot
	total     float64                  // sum of counts
}

// advance moves the window to the time now, and resets the slots that it leaves behind.
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

// add counts n events at the time now.
func (w *window) add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.slot%(windowSlots+1)] += n
	w.total += n
}
