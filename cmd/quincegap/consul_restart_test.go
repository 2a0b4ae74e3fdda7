package main

import (
	"slices"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/consul"
)

// The sidecar is killed and starts again while Consul has a fault. It serves as soon as Consul recovers.
func TestConsulRestartDuringFault(t *testing.T) {
	for name, fault := range map[string]consul.Fault{
		"500":       {Status: 500},
		"empty":     {Empty: true},
		"hangs":     {Hang: true},
		"refuses":   {Refuse: true},
		"half":      {FirstHalf: true},
		"no leader": {NoLeader: true, Empty: true},
		"403":       {Status: 403},
		"truncated": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := startConsulRig(t, 4)
			rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
			rig.awaitServed(50)
			rig.stopCallers()
			rig.sidecar.kill()
			rig.consul.SetFault(fault)
			recovery := time.AfterFunc(300*time.Millisecond, func() { rig.consul.SetFault(consul.Fault{}) })
			defer recovery.Stop()
			rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul")) // returns when the sidecar is ready
			rig.awaitServed(50)
			rig.awaitReady("box-0", "box-1", "box-2", "box-3")
			rig.stopCallers()
		})
	}
}

// restartCase is a state of Consul and the platform in which a sidecar starts.
type restartCase struct {
	name, source string
	// change returns Consul's instances in this state, from those of the state in which each check passes.
	change   func(rig *consulRig, all []consul.Instance) []consul.Instance
	platform []string // the ids that the platform lists; nil for no discovery service
	want     []string // the ids of the endpoints that have to be ready
}

// restartCases are the cases of TestConsulRestartKeepsTheView.
var restartCases = []restartCase{
	{
		name:   "two at one address",
		source: "consul",
		change: func(rig *consulRig, all []consul.Instance) []consul.Instance {
			return append(all, newInstance(rig.endpoints[0].Endpoint, "again"))
		},
		want: []string{"again", "box-1", "box-2"},
	},
	{
		name:   "all critical",
		source: "consul",
		change: func(_ *consulRig, all []consul.Instance) []consul.Instance {
			return withStatus(all, "", "critical")
		},
		want: []string{"box-0", "box-1", "box-2"},
	},
	{
		name:   "all but one critical",
		source: "consul",
		change: func(_ *consulRig, all []consul.Instance) []consul.Instance {
			return withStatus(withStatus(all, "", "critical"), "box-1", "passing")
		},
		want: []string{"box-1"},
	},
	{
		name:     "overlay",
		source:   "overlay",
		change:   firstCritical,
		platform: []string{"box-0", "box-1"},
		want:     []string{"box-1"},
	},
	{
		name:     "overlay of nobody",
		source:   "overlay",
		change:   func(*consulRig, []consul.Instance) []consul.Instance { return nil },
		platform: []string{"box-0", "box-1"},
		want:     []string{"box-0", "box-1"},
	},
	{
		name:     "rehearsal",
		source:   "rehearsal",
		change:   firstCritical,
		platform: []string{"box-0", "box-1"},
		want:     []string{"box-0", "box-1"},
	},
}

// firstCritical makes the check of the first instance, box-0, fail.
func firstCritical(_ *consulRig, all []consul.Instance) []consul.Instance {
	return withStatus(all, "box-0", "critical")
}

// A sidecar that is killed and starts again has the same view of the endpoints as before, whatever Consul and the platform list.
func TestConsulRestartKeepsTheView(t *testing.T) {
	for _, testCase := range restartCases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			rig := startConsulRig(t, 3)
			discovery := testCase.discovery(t, rig)
			rig.startSidecar(rig.settingsFile(discovery, testCase.source))
			rig.awaitServed(30)
			rig.consul.Update(func(all []consul.Instance) []consul.Instance { return testCase.change(rig, all) })
			rig.awaitReady(testCase.want...)
			rig.awaitServed(30)
			for range 2 {
				rig.stopCallers()
				rig.sidecar.kill()
				rig.startSidecar(rig.settingsFile(discovery, testCase.source))
				rig.awaitReady(testCase.want...)
				rig.awaitServed(30)
			}
			testCase.checkUnreadyUnused(t, rig)
			rig.stopCallers()
		})
	}
}

// discovery returns the address of a discovery service that lists the endpoints of platform. If platform is nil it returns an address on
// which nothing listens.
func (c *restartCase) discovery(t *testing.T, rig *consulRig) (address string) {
	t.Helper()
	if c.platform == nil {
		return "127.0.0.1:1"
	}
	var targets []booking.Target
	for _, endpoint := range rig.endpoints {
		if slices.Contains(c.platform, endpoint.Name) {
			targets = append(targets, endpoint.Target())
		}
	}
	return startDiscovery(t, targets...).Address()
}

// checkUnreadyUnused checks that the sidecar, which has just started, sends no bookings to endpoints that are not ready.
func (c *restartCase) checkUnreadyUnused(t *testing.T, rig *consulRig) {
	t.Helper()
	var before []int
	for _, endpoint := range rig.endpoints {
		before = append(before, endpoint.count())
	}
	rig.awaitServed(50)
	for i, endpoint := range rig.endpoints {
		ready := slices.Contains(c.want, endpoint.Name) || i == 0 && slices.Contains(c.want, "again") // again is at the address of box-0
		if got := endpoint.count() - before[i]; got > 0 && !ready {
			t.Errorf("%s, which is not ready, got %d bookings, want 0", endpoint.Name, got)
		}
	}
}

// The sidecar is killed and starts again while a check flaps and two instances swap their addresses. It loses no booking, and follows
// Consul afterwards.
func TestConsulRestartDuringChanges(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 4)
	rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			rig.consul.SetStatus("box-0", []string{"critical", "passing"}[i%2])
			rig.consul.Update(func(all []consul.Instance) []consul.Instance {
				all[2].Port, all[3].Port = all[3].Port, all[2].Port
				return all
			})
		}
	}()
	for range 3 {
		rig.awaitServed(50)
		rig.stopCallers()
		rig.sidecar.kill()
		rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
	}
	rig.awaitServed(50)
	close(stop)
	<-ended
	rig.consul.SetStatus("box-0", "critical")
	rig.awaitReady("box-1", "box-2", "box-3")
	rig.stopCallers()
}
