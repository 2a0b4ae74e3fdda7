package endpointsource

// ListOrigin is where a list of the platform came from.
type ListOrigin int

// The origins of a list.
const (
	FromCache ListOrigin = iota // from before the start of the process
	FromWatch                   // from a watch
	FromFetch                   // from a fetch of the complete list
)

// VersionFilter rejects lists of the platform that are older than the present one. Versions are comparable within one discovery only.
type VersionFilter struct {
	Version       uint64 // of the present list
	MustSubscribe bool   // the balancer decides when to watch, so a watch is not restarted here
	switched      bool   // the present list is of another discovery than the one that is followed
}

// SwitchDiscovery follows another discovery: the present list is kept until the full list of the new one is accepted.
func (f *VersionFilter) SwitchDiscovery() { f.switched = true }

// Switched reports whether the full list of another discovery is still awaited.
func (f *VersionFilter) Switched() bool { return f.switched }

// WatchFrom returns the version after which a watch is to continue, nil to begin with the full list.
func (f *VersionFilter) WatchFrom() *uint64 {
	if f.switched {
		return nil
	}
	version := f.Version
	return &version
}

// Accept reports whether a list is to be handled, and whether the watch has to be restarted at its version.
func (f *VersionFilter) Accept(from ListOrigin, version uint64, full bool) (accepted, rewatch bool) {
	switch {
	case f.switched && !full:
		return false, false // a delta to a list that is not known here
	case f.switched:
		f.switched = false
		// The watch may have received deltas before this list, which were rejected.
		rewatch = from == FromFetch && !f.MustSubscribe
	case f.outdated(from, version, full):
		return false, false
	}
	f.Version = version
	return true, rewatch
}

// outdated reports whether a list is older than the present one, so that an endpoint might reappear that was removed since. A full list
// of the watch never is.
func (f *VersionFilter) outdated(from ListOrigin, version uint64, full bool) bool {
	switch from {
	case FromFetch:
		return version < f.Version
	case FromWatch:
		return !full && version <= f.Version
	}
	return false
}
