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

// The next process finds the group that was saved last, and no group if none was saved.
func TestGroupIsSaved(t *testing.T) {
	dir := t.TempDir()
	open := func() *memory {
		s, err := store.Open(store.Dir(dir), store.Options{})
		if err != nil {
			t.Fatal(err)
		}
		return &memory{table: idempotency.NewTable(10), store: s, zones: nameIndex{}, diskTriedAt: time.Hour}
	}
	mem := open()
	if names, addresses := mem.savedGroup(); names != nil || addresses != nil {
		t.Errorf("first process: got saved group %v at %v, want none", names, addresses)
	}
	mem.saveGroup([]string{"front-0", "front-1"}, []string{"10.0.4.7:7946"})
	if err := mem.store.Close(); err != nil {
		t.Fatal(err)
	}
	mem = open()
	defer mem.close()
	names, addresses := mem.savedGroup()
	if !slices.Equal(names, []string{"front-0", "front-1"}) || !slices.Equal(addresses, []string{"10.0.4.7:7946"}) {
		t.Errorf("next process: got saved group %v at %v, want the one that the first process saved", names, addresses)
	}
}

// All members compute the same member numbers from their shares, regardless of their ordinals, and the Balancer accepts each group.
func TestMembersAgreeOnGroup(t *testing.T) {
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
			t.Errorf("group of member %d: got %+v, want the members of the first, %+v, and its own number as Self", i, g, first)
		}
		if err := lb.UpdateGroup(0, g); err != nil {
			t.Errorf("UpdateGroup of member %d: %v", i, err)
		}
	}
}
