package peers

import "time"

// maxFlaps is after how many appearances and disappearances within Options.DampingWindow a name is damped. The first appearance, a
// restart and one more disappearance are as many.
const maxFlaps = 4

// nameHistory is the history of a name's appearances and disappearances.
type nameHistory struct {
	present   bool
	changedAt time.Duration // last appearance or disappearance
	flaps     int           // within the damping window of one another
	damped    bool          // counts as gone until it is steady
}

// counts reports whether the name will be in the group of the next stable view.
func (h *nameHistory) counts() bool { return h.present && !h.damped }

// steady reports whether the name neither appeared nor disappeared within the damping window.
func (h *nameHistory) steady(now, window time.Duration) bool { return now-h.changedAt >= window }

// flap records an appearance or a disappearance, and reports whether it may change the group: not if the name was damped before.
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

// nameStatus is the joint status of the processes of one name.
type nameStatus struct {
	present bool // one of them is present
	known   bool // there is one
	leaving bool // one of them has announced its shutdown
}
