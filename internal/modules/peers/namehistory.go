package peers

import "time"

// maxFlaps is the number of appearances and disappearances, with less than Options.DampingWindow between one and the next, at which a name
// is damped. A first appearance, a restart (a disappearance and an appearance) and one further disappearance reach it.
const maxFlaps = 4

// nameHistory is the history of a name's appearances and disappearances.
type nameHistory struct {
	present   bool          // whether the name is present now
	changedAt time.Duration // time of the last appearance or disappearance
	flaps     int           // number of successive appearances and disappearances with less than the damping window in between
	damped    bool          // whether the name counts as gone until it is steady
}

// eligible reports whether the name would be in the group if the view became stable now.
func (h *nameHistory) eligible() bool { return h.present && !h.damped }

// steady reports whether the name neither appeared nor disappeared within the damping window.
func (h *nameHistory) steady(now, window time.Duration) bool { return now-h.changedAt >= window }

// flap records an appearance or a disappearance, and reports whether it may change the group. It may not if the name was already damped.
func (h *nameHistory) flap(now, window time.Duration) bool {
	if h.steady(now, window) {
		h.flaps = 0
	}
	h.flaps++
	h.changedAt = now
	if h.damped {
		return false
	}
	h.damped = h.flaps >= maxFlaps
	return true
}

// nameStatus is the combined status of all processes with one name.
type nameStatus struct {
	present bool // whether at least one process is present
	known   bool // whether at least one process has a record
	leaving bool // whether at least one process has announced its shutdown
}
