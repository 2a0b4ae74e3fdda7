package agent

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
)

// configurationOf returns the text of a configuration with the given version and without routes.
func configurationOf(version uint64) []byte {
	return fmt.Appendf(nil, `{"configVersion":"r%d","routeTable":[]}`, version)
}

// The applied version never decreases, whatever the order in which configurations arrive, and the newest one that arrived is applied in the
// end. A text that names a version other than the one with which it was sent is never applied.
func TestVersionsOnlyRise(t *testing.T) {
	const newest = 50
	for seed := range uint64(20) {
		var applied []configuration.Version // not guarded by a lock, as configurations are applied one at a time
		agent := New(Config{
			Settings:        &settings.Settings{Service: "s"},
			Hub:             newTestHub(t, 1, "127.9.1.1:7401"),
			Role:            membership.RoleAccess,
			Log:             discardLog(),
			Seed:            seed,
			OnConfiguration: func(c *configuration.Config) { applied = append(applied, c.Version) },
		})
		var senders sync.WaitGroup
		for i := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, i))
			senders.Go(func() {
				for range 30 {
					version := 1 + rng.Uint64N(newest)
					agent.ApplyCommitted(version, configurationOf(version))
					agent.ApplyCommitted(100+version, configurationOf(version)) // rejected: the text names another version
				}
				agent.ApplyCommitted(newest, configurationOf(newest))
			})
		}
		senders.Wait()
		for i := range applied {
			qt.Assert(t, i == 0 || applied[i] > applied[i-1], qt.IsTrue, qt.Commentf("applied versions %v, want them in ascending order", applied))
		}
		qt.Assert(t, applied[len(applied)-1], qt.Equals, configuration.Version(newest))
		version, _ := agent.Configuration()
		qt.Assert(t, version, qt.Equals, uint64(newest))
	}
}

// A process that shuts down waits until the fetched configuration that it is applying has been applied, and applies no other one after it.
func TestStopWaitsForFetchedConfigurations(t *testing.T) {
	applying, finish := make(chan struct{}), make(chan struct{})
	agent := New(Config{
		Settings: &settings.Settings{Service: "s"},
		Hub:      newTestHub(t, 1, "127.9.1.3:7401"),
		Role:     membership.RoleAccess,
		Log:      discardLog(),
		OnConfiguration: func(*configuration.Config) {
			close(applying) // a second call would panic
			<-finish
		},
	})
	agent.configuration.applyFetched(&configurationText{Version: 1, Text: configurationOf(1)})
	<-applying
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		agent.configuration.stop()
	}()
	eventually(t, "the configuration updater is marked as stopped", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return agent.configuration.stopped
	})
	select {
	case <-stopped:
		t.Fatal("stop returned while a configuration was being applied")
	default:
	}
	agent.configuration.applyFetched(&configurationText{Version: 2, Text: configurationOf(2)})
	close(finish)
	<-stopped
	version, _ := agent.Configuration()
	qt.Assert(t, version, qt.Equals, uint64(1))
}
