package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/network/admin"
	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/consul"
)

// consulRig is a stand-in for Consul, with the endpoints that it lists, a sidecar that follows it, and callers that book without pause.
type consulRig struct {
	tb          testing.TB
	consul      *consul.Server
	endpoints   []*countedEndpoint
	sidecar     *process
	admin       string       // the address of the sidecar's admin socket
	served      atomic.Int64 // the number of bookings that were served
	stopCallers func()       // stops the callers; a booking that is not served before fails the test
	stalls      *stalls      // the delays that the machine caused while callers were running
}

// consulFile is the settings file of a sidecar that follows Consul. The addresses and the source of its endpoints are filled in.
const consulFile = sidecarFile + `
[membership]
source = %q

[consul]
agents = %q
service = "slot-keeper"
pace = "20ms"
wait = "1s"

[admin]
admin_listen = %q
`

// newInstance returns an instance of the service with an id at the address of an endpoint.
func newInstance(endpoint *booking.Endpoint, id string) consul.Instance {
	return consul.Instance{Node: "n", ID: id, PassingWeight: 1, WarningWeight: 1}.WithAddress(endpoint.Target().Address)
}

// startConsulRig starts Consul with n instances, each at an endpoint of its own. startSidecar starts the sidecar.
func startConsulRig(tb testing.TB, n int) *consulRig {
	tb.Helper()
	rig := &consulRig{tb: tb, admin: "unix:" + filepath.Join(tb.TempDir(), "s"), stalls: &stalls{}}
	var instances []consul.Instance
	for i := range n {
		endpoint := startCountedEndpoint(tb, fmt.Sprintf("box-%d", i))
		rig.endpoints = append(rig.endpoints, endpoint)
		instances = append(instances, newInstance(endpoint.Endpoint, endpoint.Name))
	}
	var err error
	if rig.consul, err = consul.Start("", instances...); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(rig.consul.Close)
	return rig
}

// settingsFile returns the text of a settings file with the address of a discovery service and the source of endpoints.
func (c *consulRig) settingsFile(discovery, source string) string {
	return fmt.Sprintf(consulFile, discovery, source, c.consul.Address(), c.admin)
}

// startSidecar starts the sidecar with the text of a settings file and further environment variables, and then three callers.
func (c *consulRig) startSidecar(text string, env ...string) {
	c.tb.Helper()
	c.sidecar = launch(c.tb, text, env...)
	stop := c.sidecar.startCallers(3, &c.served)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c.stalls.run(done)
	}()
	c.stopCallers = sync.OnceFunc(func() {
		stop()
		close(done)
		<-ended
	})
	c.tb.Cleanup(c.stopCallers)
}

// awaitServed waits until n more bookings have been served.
func (c *consulRig) awaitServed(n int64) {
	c.tb.Helper()
	awaitMore(c.tb, &c.served, n)
}

// await waits until a condition holds. It stops the test after testTimeout, and at once if the test has failed already.
func (c *consulRig) await(what string, done func() bool) {
	c.tb.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(2 * time.Millisecond) {
		if c.tb.Failed() || time.Now().After(deadline) {
			c.tb.Fatalf("waiting in vain until: %s", what)
		}
	}
}

// awaitReady waits until the sidecar reports just these endpoints as ready. Their ids have to be in order.
func (c *consulRig) awaitReady(ids ...string) {
	c.tb.Helper()
	c.await(fmt.Sprint("the ready endpoints are ", ids), func() bool { return slices.Equal(c.ready(), ids) })
}

// ready returns the ids of the endpoints that the sidecar reports as ready; none if it does not answer.
func (c *consulRig) ready() (ready []string) {
	members, err := admin.AskMembers(c.tb.Context(), c.admin)
	if err != nil {
		return nil
	}
	for _, endpoint := range members.Endpoints {
		if endpoint.State == "ready" {
			ready = append(ready, strings.TrimSuffix(endpoint.UID, "@n"))
		}
	}
	return ready
}

// checkDrained checks that no booking arrived at an endpoint more than 250 ms after Consul's answer with an index, to which the longest
// stall of the machine is added.
func (c *consulRig) checkDrained(endpoint *countedEndpoint, index uint64) {
	c.tb.Helper()
	answered := c.awaitAnswer(index)
	// A booking that the sidecar sends too late arrives within this time.
	time.Sleep(time.Until(answered.Add(400 * time.Millisecond)))
	c.awaitServed(50)
	if delay := endpoint.lastArrival().Sub(answered); delay > 250*time.Millisecond+c.stalls.longest() {
		c.tb.Errorf("%s got a booking %v after Consul's answer, want at most 250ms plus the longest stall of the machine, %v",
			endpoint.Name, delay, c.stalls.longest())
	}
}

// awaitAnswer waits until Consul has answered with an index, and returns the time of the answer.
func (c *consulRig) awaitAnswer(index uint64) (answered time.Time) {
	c.tb.Helper()
	c.await("Consul answers with the index", func() (ok bool) {
		answered, ok = c.consul.AnsweredAt(index)
		return ok
	})
	return answered
}

// withStatus sets the status of the check of an instance, or of all instances if the id is "".
func withStatus(all []consul.Instance, id, status string) []consul.Instance {
	for i := range all {
		if all[i].ID == id || id == "" {
			all[i].Checks = []consul.Check{{CheckID: "c", Status: status}}
		}
	}
	return all
}

// stalls measures for how long the machine delays a goroutine that only sleeps. Such delays are not the sidecar's fault.
type stalls struct {
	mu           sync.Mutex
	longestSoFar time.Duration // the longest delay so far
}

// run measures delays until done is closed.
func (s *stalls) run(done <-chan struct{}) {
	const interval = 5 * time.Millisecond
	for {
		before := time.Now()
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		s.mu.Lock()
		s.longestSoFar = max(s.longestSoFar, time.Since(before)-interval)
		s.mu.Unlock()
	}
}

// longest returns the longest delay so far.
func (s *stalls) longest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestSoFar
}
