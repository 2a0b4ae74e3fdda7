package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// boundedConfig has limits that random records exceed soon.
var boundedConfig = Config{MaxLocalMembers: 4, MaxMembersPerRemoteZone: 3, MaxCoreMembers: 3, MaxTombstones: 5, MaxMembersPerShuffle: 4, MaxTombstonesPerShuffle: 2}

// checkBounds checks that a view holds no more than its limits allow, and that its indexes have exactly its members.
func checkBounds(t *testing.T, v *View, when string) {
	t.Helper()
	checkIndexes(t, v, when)
	checkMemberLimits(t, v, when)
	if n, m := len(v.tombstones.entries), len(v.tombstones.order); n != m || n > v.config.MaxTombstones {
		t.Fatalf("%s: %d tombstones, %d in their order, want %d at most", when, n, m, v.config.MaxTombstones)
	}
	if n := len(v.departed.members); n > v.config.MaxTombstones {
		t.Fatalf("%s: %d departed members, want %d at most", when, n, v.config.MaxTombstones)
	}
	if n := len(v.reappearedTombstones); n > v.config.MaxTombstonesPerShuffle {
		t.Fatalf("%s: %d tombstones for the next shuffle, want %d at most", when, n, v.config.MaxTombstonesPerShuffle)
	}
}

func checkIndexes(t *testing.T, v *View, when string) {
	t.Helper()
	for _, e := range v.table.entries {
		if e.Incarnation == v.self.Incarnation || e.Address == v.self.Address {
			t.Fatalf("%s: %+v has the identity of this process", when, e.Member)
		}
		if v.table.byIncarnation[e.Incarnation] != e || v.table.byAddress[e.Address] != e || !slices.Contains(v.table.hashOrder, e) {
			t.Fatalf("%s: %+v is missing in an index", when, e.Member)
		}
	}
	if n := len(v.table.entries); len(v.table.byIncarnation) != n || len(v.table.byAddress) != n || len(v.table.hashOrder) != n+1 {
		t.Fatalf("%s: indexes of %d, %d and %d members, want %d", when, len(v.table.byIncarnation), len(v.table.byAddress), len(v.table.hashOrder)-1, n)
	}
}

func checkMemberLimits(t *testing.T, v *View, when string) {
	t.Helper()
	cores, byZone := 0, map[string]int{}
	for _, e := range v.table.entries {
		if e.Role == RoleCore {
			cores++
		} else {
			byZone[e.Zone]++
		}
	}
	if cores > v.config.MaxCoreMembers {
		t.Fatalf("%s: %d core members, want %d at most", when, cores, v.config.MaxCoreMembers)
	}
	if len(byZone) > maxZones || len(v.regions) > maxZones {
		t.Fatalf("%s: members of %d zones, regions of %d, want %d at most", when, len(byZone), len(v.regions), maxZones)
	}
	for zone, n := range byZone {
		limit := v.config.MaxMembersPerRemoteZone
		if zone == v.self.Zone {
			limit = v.config.MaxLocalMembers
		}
		if n > limit {
			t.Fatalf("%s: %d members of zone %s, want %d at most", when, n, zone, limit)
		}
	}
}

// randomMember returns a record of one of few members, whose addresses, zones and roles change.
func randomMember(random *rand.Rand) Member {
	return Member{
		Incarnation:  uint64(random.IntN(40)),
		Address:      fmt.Sprintf("10.0.0.%d:1", random.IntN(25)),
		Zone:         fmt.Sprintf("z%d", random.IntN(4)),
		Region:       "r",
		Role:         Role(random.IntN(3)),
		Heartbeat:    uint64(random.IntN(200)),
		HeartbeatAge: time.Duration(random.IntN(12)) * time.Second,
	}
}

// A member that changed its zone or role, or replaced one in another zone, was added above the limit of its new zone.
func TestViewStaysWithinItsBounds(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 58))
		self := Member{Incarnation: 1, Address: "10.0.0.1:1", Zone: "z1", Region: "r"}
		view := New(self, boundedConfig, random)
		now := time.Duration(0)
		for step := range 200 {
			when := fmt.Sprintf("seed %d, step %d", seed, step)
			shuffle := &Shuffle{From: randomMember(random), Reply: random.IntN(2) == 0, RaiseHeartbeat: random.IntN(8) == 0}
			for range random.IntN(4) {
				shuffle.Members = append(shuffle.Members, randomMember(random))
			}
			for range random.IntN(3) {
				member := randomMember(random)
				shuffle.Tombstones = append(shuffle.Tombstones, Tombstone{member.Incarnation, member.Address, member.Heartbeat})
				shuffle.Unreachable = append(shuffle.Unreachable, Suspicion{member.Incarnation, member.Address, member.Heartbeat})
			}
			view.Receive(now, shuffle)
			checkBounds(t, view, when+", after a shuffle")
			now += time.Duration(random.IntN(2000)) * time.Millisecond
			view.Tick(now)
			checkBounds(t, view, when+", after a tick")
		}
	}
}

// Names of zones come from messages, and so do all texts of a record; neither was bounded.
func TestRecordsOfManyZonesAndLongTextsAreBounded(t *testing.T) {
	view := New(Member{Incarnation: 1, Address: "10.0.0.1:1", Zone: "z"}, boundedConfig, rand.New(rand.NewPCG(1, 1)))
	for i := range uint64(2 * maxZones) {
		record := Member{Incarnation: i + 2, Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Zone: fmt.Sprint("zone ", i), Region: "r", Heartbeat: 1}
		view.Receive(0, &Shuffle{From: record})
	}
	checkBounds(t, view, "many zones")
	if n := len(view.table.entries); n < maxZones/2 {
		t.Fatalf("%d members are known, want at least %d", n, maxZones/2)
	}
	for _, change := range []func(m *Member, text string){
		func(m *Member, text string) { m.Address = text },
		func(m *Member, text string) { m.Zone = text },
		func(m *Member, text string) { m.Region = text },
		func(m *Member, text string) { m.Service = text },
		func(m *Member, text string) { m.AppAddress = text },
	} {
		record := Member{Incarnation: 1 << 40, Address: "10.9.9.9:1", Zone: "z", Region: "r", Heartbeat: 1}
		change(&record, strings.Repeat("a", maxTextBytes+1))
		view.Receive(0, &Shuffle{From: record})
		if view.table.byIncarnation[record.Incarnation] != nil {
			t.Fatalf("the record of %s, zone %s, is in the view", record.Address[:4], record.Zone[:1])
		}
	}
}
