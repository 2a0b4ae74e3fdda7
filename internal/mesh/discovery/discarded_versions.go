package discovery

// discardedVersions holds the highest version of a discarded entry, for each service.
type discardedVersions struct {
	byService map[string]uint64
	others    uint64 // at least the highest version for each service that is not in byService; 0 if nothing was discarded for them
}

// add records a discarded entry. If that exceeds limit services, all versions are merged into one for all services: their subscribers then
// get a complete list once more.
func (d *discardedVersions) add(service string, version uint64, limit int) {
	d.byService[service] = max(d.of(service), version)
	if len(d.byService) <= limit {
		return
	}
	for _, version := range d.byService {
		d.others = max(d.others, version)
	}
	clear(d.byService)
}

// of returns the version for a service; a subscriber with an older one may lack changes.
func (d *discardedVersions) of(service string) uint64 {
	if version, ok := d.byService[service]; ok {
		return version
	}
	return d.others
}
