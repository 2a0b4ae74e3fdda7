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

// consulRig is a stand-in Consul with endpoints, a sidecar that follows it, and callers who book without pause.
type consulRig struct {
	tb          testing.TB
	consul      *consul.Server
	endpoints   []*countedEndpoint
	sidecar     *process
	admin       string       // the address of the sidecar's admin socket
	served      atomic.Int64 // bookings
	stopCallers func()       // stops the callers; each booking has to be served until then
	stalls      *stalls
}

// consulFile is the settings file of a sidecar that follows Consul, without addresses and without the source of its endpoints.
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

// newInstance returns an instance of the service at an endpoint.
func newInstance(endpoint *booking.Endpoint, id string) consul.Instance {
	return consul.Instance{Node: "n", ID: id, PassingWeight: 1, WarningWeight: 1}.WithAddress(endpoint.Target().Address)
}

// startConsulRig starts Consul with n instances. The sidecar is started by startSidecar.
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

// config returns a settings file with the address of a discovery and the source of endpoints.
func (c *consulRig) config(discovery, source string) string {
	return fmt.Sprintf(consulFile, discovery, source, c.consul.Address(), c.admin)
}

// startSidecar starts the sidecar and three callers.
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

// await waits until a condition holds. It gives up when the test has failed elsewhere.
func (c *consulRig) await(what string, done func() bool) {
	c.tb.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(2 * time.Millisecond) {
		if c.tb.Failed() || time.Now().After(deadline) {
			c.tb.Fatalf("never: %s", what)
		}
	}
}

// awaitReady waits until just these endpoints are ready as the sidecar sees it, in the order of their ids.
func (c *consulRig) awaitReady(ids ...string) {
	c.tb.Helper()
	c.await(fmt.Sprint("ready ", ids), func() bool { return slices.Equal(c.ready(), ids) })
}

// ready returns the ids of the endpoints that are ready as the sidecar sees it; none if it does not answer.
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

// checkDrained checks that no booking arrived at an endpoint later than 250 ms after Consul's answer with an index.
func (c *consulRig) checkDrained(endpoint *countedEndpoint, index uint64) {
	c.tb.Helper()
	answered := c.awaitAnswer(index)
	// A booking that is sent too late arrives within this time.
	time.Sleep(time.Until(answered.Add(400 * time.Millisecond)))
	c.awaitServed(50)
	if delay := endpoint.lastArrival().Sub(answered); delay > 250*time.Millisecond+c.stalls.longest() {
		c.tb.Errorf("%s got a booking %v after Consul's answer (the machine stalled for %v)", endpoint.Name, delay, c.stalls.longest())
	}
}

// awaitAnswer waits until Consul has answered with an index, and returns when it did.
func (c *consulRig) awaitAnswer(index uint64) (answered time.Time) {
	c.tb.Helper()
	c.await("the answer with the index", func() (ok bool) {
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

// stalls measures for how long the machine delays a goroutine that only sleeps: such delays are no fault of the sidecar's.
type stalls struct {
	mu   sync.Mutex
	most time.Duration
}

// run measures until done is closed.
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
		s.most = max(s.most, time.Since(before)-interval)
		s.mu.Unlock()
	}
}

// longest returns the longest delay so far.
func (s *stalls) longest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}
