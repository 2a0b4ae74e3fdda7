package peers

import "time"

// maxFlaps is how many appearances and disappearances within Options.DampingWindow have a name damped. The first appearance, a
// restart and one more disappearance are as many.
const maxFlaps = 4

// nameHistory is how a name appeared and went.
type nameHistory struct {
	present   bool
	changedAt time.Duration // last appearance or disappearance
	flaps     int           // within the damping window of one another
	damped    bool          // counts as gone
}

// counts tells whether the name is part of the group that the next stable view has.
func (h *nameHistory) counts() bool { return h.present && !h.damped }

// steady tells whether the name neither appeared nor went for the damping window.
func (h *nameHistory) steady(now, window time.Duration) bool { return now-h.changedAt >= window }

// flap counts an appearance or a disappearance, and tells whether the group may change by it: not if the name was damped before.
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

// nameStatus is what the processes of one name say together.
type nameStatus struct {
	present bool // one of them is
	known   bool // there is one
	leaving bool // one of them announced its end
}
