package standalone

import (
	"slices"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/idempotency"
	"quincegap/internal/modules/peers"
)

// The group that was settled last is found by the next process, and none where none was saved.
func TestGroupIsSaved(t *testing.T) {
	dir := t.TempDir()
	open := func() *memory {
		s, err := store.Open(store.Dir(dir), store.Options{})
		if err != nil {
			t.Fatal(err)
		}
		return &memory{table: idempotency.NewTable(10), store: s, zones: nameIndex{}, diskTriedAt: time.Hour}
	}
	m := open()
	if names, addresses := m.savedGroup(); names != nil || addresses != nil {
		t.Errorf("the first process has %v at %v", names, addresses)
	}
	m.saveGroup([]string{"front-0", "front-1"}, []string{"10.0.4.7:7946"})
	if err := m.store.Close(); err != nil {
		t.Fatal(err)
	}
	m = open()
	defer m.close()
	names, addresses := m.savedGroup()
	if !slices.Equal(names, []string{"front-0", "front-1"}) || !slices.Equal(addresses, []string{"10.0.4.7:7946"}) {
		t.Errorf("the next process has %v at %v", names, addresses)
	}
}

// All members compute the same member numbers from a share, whatever their ordinal, and the Balancer accepts each group.
func TestShareIsAGroup(t *testing.T) {
	names := []string{"front-0", "front-1", "front-2"}
	lb, err := balancer.New(balancer.Settings{Instances: 9, Classes: []balancer.Class{{Idempotency: balancer.Idempotent}}}, 1, &loop{})
	if err != nil {
		t.Fatal(err)
	}
	var first balancer.InstanceGroup
	for i := range names {
		g := groupOf(&peers.Share{Instances: 3, Ordinal: i, MaxInstances: 5, Names: names, OwnsName: true})
		if i == 0 {
			first = g
		}
		if !slices.Equal(g.Members, first.Members) || g.Self != g.Members[i] || g.MaxInstances != 5 || g.Instances != 3 {
			t.Errorf("member %d has %+v, the first %+v", i, g, first)
		}
		if err := lb.UpdateGroup(0, g); err != nil {
			t.Error(err)
		}
	}
}
