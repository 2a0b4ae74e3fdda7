package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/network/admin"
	"quincegap/internal/standin/consul"
)

// A check fails, one instance goes into maintenance and another is deregistered: each endpoint is drained. It is used again when its check
// passes.
func TestConsulCheckFails(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 4)
	rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
	rig.awaitReady("box-0", "box-1", "box-2", "box-3")
	rig.awaitServed(100)
	index := rig.consul.SetStatus("box-1", "critical")
	rig.checkDrained(rig.endpoints[1], index)
	rig.awaitReady("box-0", "box-2", "box-3")
	index = rig.consul.Update(func(all []consul.Instance) []consul.Instance {
		all[2].Checks = []consul.Check{{CheckID: "_service_maintenance:box-2", Status: "critical"}}
		return all
	})
	rig.checkDrained(rig.endpoints[2], index)
	index = rig.consul.Update(func(all []consul.Instance) []consul.Instance { return all[:3] }) // deregistered
	rig.checkDrained(rig.endpoints[3], index)
	rig.awaitReady("box-0")
	rig.consul.SetStatus("box-1", "passing")
	rig.awaitReady("box-0", "box-1")
	before := rig.endpoints[1].count()
	rig.await("box-1 is used again", func() bool { return rig.endpoints[1].count() > before })
	rig.stopCallers()
}

// Consul has a fault of each kind for a while. The sidecar continues with the last valid list, and follows Consul again afterwards.
func TestConsulFaults(t *testing.T) {
	for name, fault := range map[string]consul.Fault{
		"refuses":               {Refuse: true},
		"hangs":                 {Hang: true},
		"resets":                {Reset: true},
		"cuts answers short":    {Truncate: true},
		"answers 429":           {Status: 429},
		"answers 500":           {Status: 500},
		"revokes the token":     {Status: 403},
		"loses its leader":      {NoLeader: true, Empty: true},
		"answers an empty list": {Empty: true, CatalogUnaffected: true},
		"has lost all data":     {Empty: true},
		"answers half a list":   {FirstHalf: true, CatalogUnaffected: true},
		"answers junk":          {Body: "<html>no</html>"},
		"jumps its index back":  {IndexBack: 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := startConsulRig(t, 6)
			rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
			all := []string{"box-0", "box-1", "box-2", "box-3", "box-4", "box-5"}
			rig.awaitReady(all...)
			rig.awaitServed(50)
			rig.consul.SetFault(fault)
			began := time.Now()
			for time.Since(began) < 1500*time.Millisecond {
				rig.awaitServed(20)
			}
			if got := rig.ready(); !slices.Equal(got, all) {
				t.Errorf("during the fault the ready endpoints are %v, want %v", got, all)
			}
			rig.consul.SetFault(consul.Fault{})
			rig.awaitReady(all...)
			rig.checkDrained(rig.endpoints[0], rig.consul.SetStatus("box-0", "critical"))
			rig.awaitReady(all[1:]...)
			rig.stopCallers()
		})
	}
}

// The checks of all instances fail at once. The sidecar does not accept this as valid until one of them passes.
func TestConsulAllCritical(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
	rig.awaitReady("box-0", "box-1", "box-2")
	rig.consul.Update(func(all []consul.Instance) []consul.Instance { return withStatus(all, "", "critical") })
	rig.await("the admin view gives the reason for the endpoint's state", func() bool {
		members, err := admin.AskMembers(t.Context(), rig.admin)
		return err == nil && len(members.Endpoints) == 3 && strings.Contains(members.Endpoints[0].Why, "not believed")
	})
	rig.awaitServed(200)
	rig.checkDrained(rig.endpoints[0], rig.consul.SetStatus("box-1", "passing"))
	rig.awaitReady("box-1")
	rig.stopCallers()
}

// A check flaps. Its endpoint stays out of service for a while after the check passes.
func TestConsulFlaps(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
	rig.awaitReady("box-0", "box-1", "box-2")
	var index uint64
	for i := range 15 {
		index = rig.consul.SetStatus("box-1", []string{"critical", "passing"}[i%2])
		time.Sleep(200 * time.Millisecond)
	}
	rig.checkDrained(rig.endpoints[1], index)
	rig.consul.SetStatus("box-1", "passing")
	rig.awaitServed(50)
	if got := rig.ready(); len(got) != 2 {
		t.Errorf("right after a flapping check passes the ready endpoints are %v, want two", got)
	}
	rig.stopCallers()
}

// All instances restart: each becomes critical, and then passes with its own id at the address of another one. The endpoints themselves
// never stop, so that each booking has to be served.
func TestConsulWholeFleetRestarts(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 6)
	rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
	rig.awaitReady("box-0", "box-1", "box-2", "box-3", "box-4", "box-5")
	for i := range 6 {
		rig.consul.SetStatus(fmt.Sprintf("box-%d", i), "critical")
		time.Sleep(30 * time.Millisecond)
	}
	for i := range 6 {
		rig.consul.Update(func(all []consul.Instance) []consul.Instance {
			index := slices.IndexFunc(all, func(instance consul.Instance) bool { return instance.ID == fmt.Sprintf("box-%d", i) })
			all[index] = newInstance(rig.endpoints[(i+1)%6].Endpoint, all[index].ID)
			return all
		})
		time.Sleep(30 * time.Millisecond)
	}
	rig.awaitReady("box-0", "box-1", "box-2", "box-3", "box-4", "box-5")
	members, err := admin.AskMembers(t.Context(), rig.admin)
	if err != nil {
		t.Fatal(err)
	}
	for i, endpoint := range members.Endpoints {
		if endpoint.Address != rig.endpoints[(i+1)%6].Target().Address {
			t.Errorf("%s is at %s, want %s", endpoint.UID, endpoint.Address, rig.endpoints[(i+1)%6].Target().Address)
		}
	}
	rig.awaitServed(100)
	rig.stopCallers()
}

// Two instances have the same address. Another instance moves to a new address, and its old address is drained.
func TestConsulOneAddressTwice(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 2)
	rig.startSidecar(rig.settingsFile("127.0.0.1:1", "consul"))
	rig.awaitReady("box-0", "box-1")
	rig.consul.Update(func(all []consul.Instance) []consul.Instance {
		return append(all, newInstance(rig.endpoints[0].Endpoint, "again"))
	})
	rig.awaitReady("again", "box-1")
	third := startCountedEndpoint(t, "third")
	before := rig.endpoints[1].count()
	index := rig.consul.Update(func(all []consul.Instance) []consul.Instance { // box-1 moves to a new address
		all[1] = newInstance(third.Endpoint, "box-1")
		return all
	})
	rig.checkDrained(rig.endpoints[1], index)
	rig.await("the new address is used", func() bool { return third.count() > 0 })
	if before == 0 {
		t.Error("box-1 got no booking before it moved")
	}
	rig.stopCallers()
}
