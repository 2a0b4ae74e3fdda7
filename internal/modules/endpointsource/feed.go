package endpointsource

// Origin is where a list of the platform's came from.
type Origin int

// The origins of a list.
const (
	FromCache Origin = iota // what this sidecar knew before its start
	FromWatch
	FromFetch
)

// Feed judges which of the platform's lists are news. Versions count within one discovery only.
type Feed struct {
	Rev     uint64 // version of the list that counts
	MustAsk bool   // discovery has to be asked, so that a watch is not begun again beside the module
	moved   bool   // the list is another discovery's than the one that is followed now
}

// Move turns to another discovery: until its whole list comes, the old one's stays.
func (f *Feed) Move() { f.moved = true }

// Moved tells whether a whole list of another discovery is still to come.
func (f *Feed) Moved() bool { return f.moved }

// Place is where a watch goes on from: the version of the list, nil for the whole list.
func (f *Feed) Place() *uint64 {
	if f.moved {
		return nil
	}
	rev := f.Rev
	return &rev
}

// Take tells whether a list counts, and whether the watch is to begin again behind it.
func (f *Feed) Take(from Origin, rev uint64, whole bool) (takes, rewatch bool) {
	switch {
	case f.moved && !whole:
		return false, false // changes to a list that nobody has got
	case f.moved:
		f.moved = false
		// The watch may have brought changes before this list, that were passed over.
		rewatch = from == FromFetch && !f.MustAsk
	case from == FromFetch && rev < f.Rev || from == FromWatch && !whole && rev <= f.Rev:
		return false, false // older than what counts: an endpoint that left would come back
	}
	f.Rev = rev
	return true, rewatch
}
