package membership

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/transport/codec"
)

// frame holds a message, all of whose fields are set, to the bytes that other versions send, in both directions.
func frame[T any, P interface {
	*T
	codec.Message
}](t *testing.T, name string, value T,
) {
	t.Helper()
	golden.Hex(t, name, codec.MarshalAppend(nil, P(&value)))
	var read T
	qt.Assert(t, codec.Unmarshal(golden.Read(t, name), P(&read)), qt.IsNil)
	qt.Check(t, read, qt.DeepEquals, value)
}

func goldenMember() Member {
	return Member{
		Incarnation: 0x0123456789abcdef, Address: "10.1.2.3:7400", Zone: "zone-a", Region: "north", Role: RoleCore, Service: "checkout",
		AppAddress: "10.1.2.3:8080", Heartbeat: 4711, Seed: true, HeartbeatAge: 2345 * time.Millisecond,
	}
}

func goldenShuffle() Shuffle {
	other := Member{
		Incarnation: 0xfedcba9876543210, Address: "10.1.2.4:7400", Zone: "zone-b", Region: "south", Role: RoleAccess, Service: "basket",
		AppAddress: "10.1.2.4:8080", Heartbeat: 3, HeartbeatAge: time.Millisecond,
	}
	return Shuffle{
		From: goldenMember(), Members: []Member{other, goldenMember()},
		Tombstones: []Tombstone{{Incarnation: 5, Address: "10.1.2.5:7400", Heartbeat: 60}, {Incarnation: 6, Address: "10.1.2.6:7400", Heartbeat: 1 << 20}},
		Reply:      true, ConfigVersion: 1234567, ZoneDigest: 0x1122334455667788, SharedDigest: 0x8877665544332211, AgreementAges: []byte{0, 1, 254, 255},
		Unreachable: []Suspicion{{Incarnation: 7, Address: "10.1.2.7:7400", Heartbeat: 99}}, RaiseHeartbeat: true,
	}
}

func TestGoldenFrames(t *testing.T) {
	t.Run("member", func(t *testing.T) { frame(t, "member.hex", goldenMember()) })
	t.Run("gone", func(t *testing.T) { frame(t, "gone.hex", goldenShuffle().Tombstones[1]) })
	t.Run("shuffle", func(t *testing.T) { frame(t, "shuffle.hex", goldenShuffle()) })
	t.Run("empty shuffle", func(t *testing.T) { frame(t, "shuffle-empty.hex", Shuffle{}) })
}

// An age is sent in whole milliseconds, rounded up, and one of more than an hour is read as an hour.
func TestGoldenAges(t *testing.T) {
	var text strings.Builder
	for _, age := range []time.Duration{-time.Second, 0, 1, time.Millisecond, time.Millisecond + 1, time.Minute, time.Hour, 2 * time.Hour} {
		data, read := codec.MarshalAppend(nil, &Member{Incarnation: 1, HeartbeatAge: age}), Member{}
		qt.Assert(t, codec.Unmarshal(data, &read), qt.IsNil)
		fmt.Fprintf(&text, "%v %x %v\n", age, data, read.HeartbeatAge)
	}
	golden.Text(t, "ages.txt", []byte(text.String()))
}

func TestGoldenRoles(t *testing.T) {
	qt.Check(t, []Role{RoleAccess, RoleCore}, qt.DeepEquals, []Role{0, 1})
}

// fingerprint is a digest of all frames sent and of all that views say, in order.
type fingerprint struct {
	f    *fleet
	seed uint64
	sum  hash.Hash
	text strings.Builder
}

// step writes a line with the digest up to here: the first line that differs is where a run took another course.
func (p *fingerprint) step(what string) {
	for _, n := range p.f.order {
		p.add(n)
	}
	fmt.Fprintf(&p.text, "seed %d, %s: at %v, %d messages, %d bytes, %x\n", p.seed, what, p.f.now, p.f.traffic.messages,
		p.f.traffic.bytes, p.sum.Sum(nil)[:12])
}

// add takes all that a view says.
func (p *fingerprint) add(n *node) {
	zones := n.Zones()
	p.print(n.dead, n.ChangeCount(), n.NextTick(), zones)
	for _, m := range n.Members() {
		p.sum.Write(codec.MarshalAppend(nil, &m))
	}
	for _, zone := range append(zones, "unknown") {
		for _, service := range []string{"service-0", "service-1"} {
			for _, m := range n.RegistryOwners(service, zone, 3) {
				p.sum.Write(fmt.Append(nil, m.Incarnation, " "))
			}
		}
	}
}

func (p *fingerprint) print(values ...any) { p.sum.Write(fmt.Appendln(nil, values...)) }

// The same seed gives the same run: the same random draws, members, order of messages and bytes in them.
func TestGoldenFleet(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		text.WriteString(goldenFleet(t, seed, 20+35*int(seed)))
	}
	golden.Text(t, "fleet.txt", []byte(text.String()))
}

func goldenFleet(t *testing.T, seed uint64, members int) string {
	t.Helper()
	f := startFleet(t, seed, fleetSize{members: members, cores: 3, seeds: 2, zones: zoneNames(3)})
	p := &fingerprint{f: f, seed: seed, sum: sha256.New()}
	f.onSend = func(from *node, address string, data []byte) {
		p.print(f.now, from.self.Address, address, len(data))
		p.sum.Write(data)
	}
	f.run(6*time.Second, nil)
	p.step("joined")
	f.run(8*time.Second, nil)
	p.step("quiet")
	f.kill(f.order[members/2])
	f.freeze(f.order[members/3])
	f.run(6*time.Second, nil)
	p.step("one killed, one frozen")
	f.order[members/3].frozen = false
	f.start(f.order[members/4].self.Address, f.order[members/4].self.Zone, RoleAccess)
	f.run(4*time.Second, nil)
	p.step("one thawed, one restarted")
	f.partitionBy(zonePartition("zone-0"))
	f.run(12*time.Second, nil)
	p.step("a zone cut off")
	f.heal()
	f.run(6*time.Second, nil)
	p.step("healed")
	return p.text.String()
}
