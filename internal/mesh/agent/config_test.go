package agent

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// Whoever sends which version when, in a process the versions in force only rise, the newest one sent is in force in the end, and
// a text that is not of the version it is sent under never is.
func TestVersionsOnlyRise(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for seed := range uint64(20) {
		hub := transport.NewHub(transport.Hello{Incarnation: 1, Address: "127.9.1.1:7401"}, time.Now(), 1<<20, log)
		var inForce []configuration.Version
		a := New(Config{
			Settings: &settings.Settings{Service: "s"}, Hub: hub, Role: membership.RoleAccess, Log: log, Seed: seed,
			OnConfiguration: func(c *configuration.Config) { inForce = append(inForce, c.Version) },
		}) // one at a time
		var wg sync.WaitGroup
		for i := range 4 {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			wg.Go(func() {
				for range 30 {
					version := 1 + rng.Uint64N(50)
					text := func(v uint64) []byte { return []byte(fmt.Sprintf(`{"configVersion":"r%d","routeTable":[]}`, v)) }
					a.ApplyCommitted(version, text(version))
					a.ApplyCommitted(100+version, text(version)) // sent under another version
				}
				a.ApplyCommitted(50, []byte(`{"configVersion":"r50","routeTable":[]}`))
			})
		}
		wg.Wait()
		for i := range inForce {
			qt.Assert(t, i == 0 || inForce[i] > inForce[i-1], qt.IsTrue, qt.Commentf("%v", inForce))
		}
		qt.Assert(t, inForce[len(inForce)-1], qt.Equals, configuration.Version(50))
		held, _ := a.Configuration()
		qt.Assert(t, held, qt.Equals, uint64(50))
		hub.Close()
	}
}
