package controlplane

import (
	"slices"
	"sync"
)

// coreDirectory owns the names (control addresses) of the core processes that this one may talk to: the operator's seeds and the
// processes that membership reports as running.
type coreDirectory struct {
	self    string
	running func() []string // nil where the voter set never changes

	mu    sync.Mutex
	seeds []string // of the settings as they are now
}

// setSeeds notes that the operator's settings were changed.
func (c *coreDirectory) setSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// currentSeeds must not be modified by the caller.
func (c *coreDirectory) currentSeeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seeds
}

// runningCores are the core processes that run, as far as membership knows; this one may be among them.
func (c *coreDirectory) runningCores() []string {
	if c.running == nil {
		return nil
	}
	return slices.Clone(c.running())
}

// peers are the seeds and the running core processes, sorted and without this one.
func (c *coreDirectory) peers() []string {
	return c.withoutSelf(append(slices.Clone(c.currentSeeds()), c.runningCores()...))
}

// withoutSelf sorts names, and leaves out doubles and this process.
func (c *coreDirectory) withoutSelf(names []string) []string {
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == c.self })
}
