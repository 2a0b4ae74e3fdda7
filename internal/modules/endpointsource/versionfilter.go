package endpointsource

// ListOrigin is the origin of a list of the platform.
type ListOrigin int

// The origins of a platform list.
const (
	FromCache ListOrigin = iota // the list was known before the start of the process
	FromWatch                   // the list was received by a watch
	FromFetch                   // the list was received by a fetch of the complete list
)

// VersionFilter rejects lists of the platform that are older than the current one. Only versions of the same discovery are comparable.
type VersionFilter struct {
	Version       uint64 // version of the current list
	MustSubscribe bool   // the balancer decides when to watch, so Accept does not ask for a restart of the watch
	switched      bool   // the current list is from another discovery than the one that is followed
}

// SwitchDiscovery starts to follow another discovery. The current list stays in use until a full list of the new discovery is accepted.
func (f *VersionFilter) SwitchDiscovery() { f.switched = true }

// Switched reports whether the discovery was switched and no full list of the new one has been accepted yet.
func (f *VersionFilter) Switched() bool { return f.switched }

// WatchFrom returns the version after which a watch is to continue, or nil if it is to begin with the full list.
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
		return false, false // the delta applies to a list of the new discovery that is not known yet
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

// outdated reports whether a list is older than the current one, so that it might bring back an endpoint that has been removed since. A
// full list from a watch is never outdated.
func (f *VersionFilter) outdated(from ListOrigin, version uint64, full bool) bool {
	switch from {
	case FromFetch:
		return version < f.Version
	case FromWatch:
		return !full && version <= f.Version
	}
	return false
}
