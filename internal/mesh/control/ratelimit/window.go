package ratelimit

import "time"

// windowSlots is how many slots a sliding window is counted in; one more is being filled.
const windowSlots = 20

// window counts what happened within a sliding window of time.
type window struct {
	slotWidth time.Duration
	counts    [windowSlots + 1]float64 // by slot number, modulo their number
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

func (w *window) add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.slot%(windowSlots+1)] += n
	w.total += n
}
