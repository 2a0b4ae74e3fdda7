package controlplane

import (
	"slices"
	"sync"
)

// coreDirectory owns the names (control addresses) of the core processes that this process may send requests to: the operator's seeds and
// the processes that the membership protocol reports as running.
type coreDirectory struct {
	self    string
	running func() []string // running core processes; nil if no changes of the voters are to be planned

	mu    sync.Mutex
	seeds []string // seeds in the current settings
}

// setSeeds replaces the seeds after a change of the operator's settings.
func (c *coreDirectory) setSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// currentSeeds returns the seeds. The caller must not modify the slice.
func (c *coreDirectory) currentSeeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seeds
}

// runningCores returns the running core processes, as the membership protocol reports them; this process may be among them.
func (c *coreDirectory) runningCores() []string {
	if c.running == nil {
		return nil
	}
	return slices.Clone(c.running())
}

// peers returns the seeds and the running core processes, sorted by name, without duplicates and without this process.
func (c *coreDirectory) peers() []string {
	return c.withoutSelf(append(slices.Clone(c.currentSeeds()), c.runningCores()...))
}

// withoutSelf returns names sorted, without duplicates and without this process. It modifies names.
func (c *coreDirectory) withoutSelf(names []string) []string {
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == c.self })
}
