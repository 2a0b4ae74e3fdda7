package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/consul"
)

// Consul cannot be reached when the sidecar starts. The sidecar uses the last known list from the platform's configuration
// until Consul answers.
func TestConsulUnreachableFromTheStart(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	rig.consul.SetFault(consul.Fault{Refuse: true})
	target := rig.endpoints[0].Target()
	platform := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"a1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"rev":3,"all":true,"targets":[{"uid":"known","endpoint":%q,"az":"z","model":"m",
		"pod_group":1,"state":"Ready","capacity_hint":1}]},
		"settings":{"allowed":{"connectTimeout":2000000,"cancel":true,"sendCap":3},
		"discovery":"push","instances":1,"services":[{"name":"book-trip",
		"aim":1000000,"deadline":6000000,"effect":"idempotency_key","keyScope":"all","window":10000000,"gain":1}],"tiers":["front"],
		"zones":["z"],"models":["m"]}}`, target.Address)
	writeFile(t, platform, text)
	overlay := rig.settingsFile("127.0.0.1:1", "consul")
	_, sources, _ := strings.Cut(overlay, "[membership]")
	rig.startSidecar("[membership]"+sources, "BALANCER_CONFIG="+platform)
	rig.awaitServed(100)
	rig.awaitReady("known")
	rig.consul.SetFault(consul.Fault{})
	rig.awaitReady("box-0", "box-1", "box-2")
	rig.awaitServed(100)
	rig.stopCallers()
}

// With source "overlay" an endpoint is out of service if either Consul or the platform says so.
func TestConsulOverlay(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 4)
	var targets []booking.Target
	for _, endpoint := range rig.endpoints {
		targets = append(targets, endpoint.Target())
	}
	discovery := startDiscovery(t, targets...)
	rig.startSidecar(rig.settingsFile(discovery.Address(), "overlay"))
	rig.awaitReady("box-0", "box-1", "box-2", "box-3")
	rig.checkDrained(rig.endpoints[0], rig.consul.SetStatus("box-0", "critical"))
	targets[1].State = "Terminating" // while its check passes in Consul
	discovery.Set(targets[1])
	rig.awaitReady("box-2", "box-3")
	targets[2].State = "Gone"
	discovery.Set(targets[2])
	rig.awaitReady("box-3")
	rig.consul.Update(func([]consul.Instance) []consul.Instance { return nil }) // an empty list is ignored
	rig.consul.SetFault(consul.Fault{Refuse: true})
	rig.awaitServed(100)
	rig.stopCallers()
}

// With source "rehearsal" the sidecar uses the platform's list, and logs where Consul's list differs from it.
func TestConsulRehearsal(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	discovery := startDiscovery(t, rig.endpoints[0].Target(), rig.endpoints[1].Target())
	rig.startSidecar(rig.settingsFile(discovery.Address(), "rehearsal"))
	rig.awaitReady("box-0", "box-1")
	rig.sidecar.awaitLog("rehearsal: box-2: only consul lists it")
	rig.consul.SetStatus("box-0", "critical")
	rig.sidecar.awaitLog("rehearsal: box-0: the platform has it ready, consul draining")
	before := rig.endpoints[0].count()
	rig.await("box-0 gets more bookings", func() bool { return rig.endpoints[0].count() > before+20 })
	rig.stopCallers()
}

// SIGHUP changes the source, the service and the agents while callers book. No booking is lost.
func TestConsulReload(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	discovery := startDiscovery(t, rig.endpoints[0].Target(), rig.endpoints[1].Target())
	other, err := consul.Start("", newInstance(rig.endpoints[1].Endpoint, "other-1"), newInstance(rig.endpoints[2].Endpoint, "other-2"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	text := rig.settingsFile(discovery.Address(), "platform")
	rig.startSidecar(text)
	reload := func(before, after string) {
		t.Helper()
		text = strings.Replace(text, before, after, 1)
		rig.sidecar.writeFile(text)
		rig.sidecar.signal(syscall.SIGHUP)
		rig.sidecar.awaitLog("reload: discovery is")
	}
	rig.awaitReady("box-0", "box-1")
	reload(`"platform"`, `"consul"`)
	rig.awaitReady("box-0", "box-1", "box-2")
	rig.awaitServed(50)
	reload(rig.consul.Address(), other.Address())
	rig.awaitReady("other-1", "other-2")
	rig.awaitServed(50)
	third := startCountedEndpoint(t, "third")
	other.Update(func(all []consul.Instance) []consul.Instance {
		for i := range all {
			all[i].Service = "slot-keeper"
		}
		next := newInstance(third.Endpoint, "third")
		next.Service = "slot-keeper-v2"
		return append(all, next)
	})
	reload(`service = "slot-keeper"`, `service = "slot-keeper-v2"`)
	rig.awaitReady("third") // the old endpoints are removed at once: the catalogue does not list them either
	rig.awaitServed(50)
	reload(`"consul"`, `"overlay"`)
	rig.awaitReady("box-0", "box-1")
	reload(`"overlay"`, `"rehearsal"`)
	rig.awaitServed(50)
	reload(`"rehearsal"`, `"platform"`)
	rig.awaitReady("box-0", "box-1")
	health, _ := other.Queries()
	rig.awaitServed(50)
	time.Sleep(1500 * time.Millisecond) // longer than a query blocks (wait = "1s")
	if again, _ := other.Queries(); again > health+1 {
		t.Errorf("Consul got %d queries, %d before, though its answers are not used", again, health)
	}
	rig.stopCallers()
}
