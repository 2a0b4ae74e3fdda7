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

// checkFrame checks that a message is marshaled to the bytes in a golden file, which other releases send, and that these bytes are
// unmarshaled to the message.
func checkFrame[T any, P interface {
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

// goldenMember returns a member with a non-zero value in each field.
func goldenMember() Member {
	return Member{
		Incarnation:  0x0123456789abcdef,
		Address:      "10.1.2.3:7400",
		Zone:         "zone-a",
		Region:       "north",
		Role:         RoleCore,
		Service:      "checkout",
		AppAddress:   "10.1.2.3:8080",
		Heartbeat:    4711,
		Seed:         true,
		HeartbeatAge: 2345 * time.Millisecond,
	}
}

// goldenShuffle returns a shuffle with a non-zero value in each field.
func goldenShuffle() Shuffle {
	other := Member{
		Incarnation:  0xfedcba9876543210,
		Address:      "10.1.2.4:7400",
		Zone:         "zone-b",
		Region:       "south",
		Role:         RoleAccess,
		Service:      "basket",
		AppAddress:   "10.1.2.4:8080",
		Heartbeat:    3,
		HeartbeatAge: time.Millisecond,
	}
	return Shuffle{
		From:    goldenMember(),
		Members: []Member{other, goldenMember()},
		Tombstones: []Tombstone{{
			Incarnation: 5,
			Address:     "10.1.2.5:7400",
			Heartbeat:   60,
		}, {Incarnation: 6, Address: "10.1.2.6:7400", Heartbeat: 1 << 20}},
		Reply:          true,
		ConfigVersion:  1234567,
		ZoneDigest:     0x1122334455667788,
		SharedDigest:   0x8877665544332211,
		AgreementAges:  []byte{0, 1, 254, 255},
		Unreachable:    []Suspicion{{Incarnation: 7, Address: "10.1.2.7:7400", Heartbeat: 99}},
		RaiseHeartbeat: true,
	}
}

func TestGoldenFrames(t *testing.T) {
	t.Run("member", func(t *testing.T) { checkFrame(t, "member.hex", goldenMember()) })
	t.Run("tombstone", func(t *testing.T) { checkFrame(t, "gone.hex", goldenShuffle().Tombstones[1]) })
	t.Run("shuffle", func(t *testing.T) { checkFrame(t, "shuffle.hex", goldenShuffle()) })
	t.Run("empty shuffle", func(t *testing.T) { checkFrame(t, "shuffle-empty.hex", Shuffle{}) })
}

// Ages are sent in whole milliseconds, rounded up. An age above one hour is read as one hour.
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

// fingerprint computes a digest of all messages that a fleet sends and of the values that its views return, in order.
type fingerprint struct {
	fleet *fleet
	seed  uint64
	sum   hash.Hash
	text  strings.Builder
}

// step writes a line with the digest so far. The first line that differs from the golden file shows the step at which the runs diverge.
func (f *fingerprint) step(what string) {
	for _, n := range f.fleet.order {
		f.addView(n)
	}
	fmt.Fprintf(&f.text, "seed %d, %s: at %v, %d messages, %d bytes, %x\n",
		f.seed, what, f.fleet.now, f.fleet.traffic.messages, f.fleet.traffic.bytes, f.sum.Sum(nil)[:12])
}

// addView adds the values that a view returns to the digest.
func (f *fingerprint) addView(n *node) {
	zones := n.Zones()
	f.addValues(n.dead, n.ChangeCount(), n.NextTick(), zones)
	for _, m := range n.Members() {
		f.sum.Write(codec.MarshalAppend(nil, &m))
	}
	for _, zone := range append(zones, "unknown") {
		for _, service := range []string{"service-0", "service-1"} {
			for _, m := range n.RegistryOwners(service, zone, 3) {
				f.sum.Write(fmt.Append(nil, m.Incarnation, " "))
			}
		}
	}
}

// addValues adds values to the digest.
func (f *fingerprint) addValues(values ...any) { f.sum.Write(fmt.Appendln(nil, values...)) }

// A run depends only on its seed: the random draws, the members, and the order and bytes of the messages must equal those in the golden
// file.
func TestGoldenFleet(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(3) {
		text.WriteString(fleetFingerprint(t, seed, 20+35*int(seed)))
	}
	golden.Text(t, "fleet.txt", []byte(text.String()))
}

// fleetFingerprint runs a fleet through a scenario, and returns the text of its fingerprint.
func fleetFingerprint(t *testing.T, seed uint64, members int) string {
	t.Helper()
	fleet := startFleet(t, seed, fleetSize{members: members, cores: 3, seeds: 2, zones: zoneNames(3)})
	digest := &fingerprint{fleet: fleet, seed: seed, sum: sha256.New()}
	fleet.onSend = func(from *node, address string, data []byte) {
		digest.addValues(fleet.now, from.self.Address, address, len(data))
		digest.sum.Write(data)
	}
	fleet.run(6*time.Second, nil)
	digest.step("joined")
	fleet.run(8*time.Second, nil)
	digest.step("quiet")
	fleet.kill(fleet.order[members/2])
	fleet.freeze(fleet.order[members/3])
	fleet.run(6*time.Second, nil)
	digest.step("one killed, one frozen")
	fleet.order[members/3].frozen = false
	fleet.start(fleet.order[members/4].self.Address, fleet.order[members/4].self.Zone, RoleAccess)
	fleet.run(4*time.Second, nil)
	digest.step("one thawed, one restarted")
	fleet.partitionBy(zonePartition("zone-0"))
	fleet.run(12*time.Second, nil)
	digest.step("a zone cut off")
	fleet.heal()
	fleet.run(6*time.Second, nil)
	digest.step("healed")
	return digest.text.String()
}
