package endpointsource

// ListOrigin is where a list of the platform's came from.
type ListOrigin int

// The origins of a list.
const (
	FromCache ListOrigin = iota // what this sidecar knew before its start
	FromWatch
	FromFetch
)

// VersionFilter judges which of the platform's lists are newer than the one that counts. Versions count within one discovery only.
type VersionFilter struct {
	Version       uint64 // of the list that counts
	MustSubscribe bool   // changes come only after a subscription, so that a watch is not begun again beside the balancer
	switched      bool   // the list is another discovery's than the one that is followed now
}

// SwitchDiscovery turns to another discovery: until its full list comes, the old one's stays.
func (f *VersionFilter) SwitchDiscovery() { f.switched = true }

// Switched reports whether a full list of another discovery is still to come.
func (f *VersionFilter) Switched() bool { return f.switched }

// WatchFrom is where a watch goes on from: the version of the list, nil for the full list.
func (f *VersionFilter) WatchFrom() *uint64 {
	if f.switched {
		return nil
	}
	version := f.Version
	return &version
}

// Accept reports whether a list counts, and whether the watch is to begin again behind it.
func (f *VersionFilter) Accept(from ListOrigin, version uint64, full bool) (accepted, rewatch bool) {
	switch {
	case f.switched && !full:
		return false, false // changes to a list that nobody has
	case f.switched:
		f.switched = false
		// The watch may have brought changes before this list, that were passed over.
		rewatch = from == FromFetch && !f.MustSubscribe
	case f.outdated(from, version, full):
		return false, false
	}
	f.Version = version
	return true, rewatch
}

// outdated reports whether a list is older than the one that counts: by it an endpoint that left would come back. A full list of the
// watch is never.
func (f *VersionFilter) outdated(from ListOrigin, version uint64, full bool) bool {
	switch from {
	case FromFetch:
		return version < f.Version
	case FromWatch:
		return !full && version <= f.Version
	}
	return false
}
