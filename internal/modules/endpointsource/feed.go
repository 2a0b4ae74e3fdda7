package endpointsource

// ListOrigin is where a list of the platform's came from.
type ListOrigin int

// The origins of a list.
const (
	FromCache ListOrigin = iota // what this sidecar knew before its start
	FromWatch
	FromFetch
)

// VersionFilter judges which of the platform's lists are news. Versions count within one discovery only.
type VersionFilter struct {
	Version       uint64 // version of the list that counts
	MustSubscribe bool   // discovery has to be asked, so that a watch is not begun again beside the module
	switched      bool   // the list is another discovery's than the one that is followed now
}

// SwitchDiscovery turns to another discovery: until its whole list comes, the old one's stays.
func (f *VersionFilter) SwitchDiscovery() { f.switched = true }

// Switched tells whether a whole list of another discovery is still to come.
func (f *VersionFilter) Switched() bool { return f.switched }

// WatchFrom is where a watch goes on from: the version of the list, nil for the whole list.
func (f *VersionFilter) WatchFrom() *uint64 {
	if f.switched {
		return nil
	}
	rev := f.Version
	return &rev
}

// Accept tells whether a list counts, and whether the watch is to begin again behind it.
func (f *VersionFilter) Accept(from ListOrigin, rev uint64, whole bool) (takes, rewatch bool) {
	switch {
	case f.switched && !whole:
		return false, false // changes to a list that nobody has got
	case f.switched:
		f.switched = false
		// The watch may have brought changes before this list, that were passed over.
		rewatch = from == FromFetch && !f.MustSubscribe
	case from == FromFetch && rev < f.Version || from == FromWatch && !whole && rev <= f.Version:
		return false, false // older than what counts: an endpoint that left would come back
	}
	f.Version = rev
	return true, rewatch
}
