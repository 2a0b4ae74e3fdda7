package consensus

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/transport/codec"
)

// goldenMessage is a message and the name of the golden file that holds its encoding.
type goldenMessage struct {
	name  string
	value codec.Message
	empty codec.Message // a zero message of the same type, to decode into
}

func goldenMessages() []goldenMessage {
	ballot := Ballot{Number: 300, Proposer: "core-1#7"}
	older := Ballot{Number: 299, Proposer: "core-2#1"}
	voters := VoterSet{
		Epoch: 5, Voters: []string{"core-1", "core-2", "core-4"}, Previous: []string{"core-1", "core-2", "core-3"},
		Retired: []string{"core-3", "core-0"},
	}
	first := VersionDigest{Version: 6, Digest: Digest{1, 2, 3, 4, 5, 6, 7, 8}}
	second := VersionDigest{Version: 700, Digest: Digest{0xff, 0xfe, 0xfd, 0, 0, 0, 0, 1}}
	refused := VersionDigest{Version: 900, Digest: Digest{9, 9, 9, 9, 9, 9, 9, 9}}
	value := Value{
		Version: 700, Body: []byte("body of 700\n"), History: []VersionDigest{first, second}, TruncatedVersion: 5,
		Refused: []VersionDigest{refused}, VoterSet: voters,
	}
	vote := Vote{Ballot: ballot, Value: value, Learned: true}
	incarnations := DiskIncarnations{"core-1": 2, "core-2": 1700000000000, "core-4": 1}
	system := NewSystemID([]string{"core-1", "core-2", "core-3"})
	request := Request{
		Kind: Accept, Ballot: ballot, KnownBallot: older, Value: value, Node: "core-4", DiskIncarnation: 1700000000001, Epoch: 5,
		VoterSet: voters, System: system, Sender: "core-2",
	}
	reply := Reply{
		Kind: ForeignSystem, Ballot: ballot, DiskIncarnation: 3, DiskIncarnations: incarnations, Promised: older, Vote: vote,
		VoterSet: voters, Ready: true, BlankDisk: true, System: system, Unresponsive: []string{"core-1", "core-4"},
	}
	state := ReplicaState{VoterSet: voters, Ready: true, DiskIncarnation: 3, DiskIncarnations: incarnations, Promised: ballot, System: system}
	return []goldenMessage{
		{"ballot", &ballot, &Ballot{}},
		{"membership", &voters, &VoterSet{}},
		{"version-digest", &second, &VersionDigest{}},
		{"value", &value, &Value{}},
		{"vote", &vote, &Vote{}},
		{"request", &request, &Request{}},
		{"reply", &reply, &Reply{}},
		{"replica-state", &state, &ReplicaState{}},
		{"incarnation", &diskIncarnation{node: "core-2", number: 1700000000000}, &diskIncarnation{}},
	}
}

// The encoding of each message equals its golden file, and decoding the golden file returns the message, so that different
// releases understand each other.
func TestGoldenMessages(t *testing.T) {
	for _, m := range goldenMessages() {
		t.Run(m.name, func(t *testing.T) {
			file := "message-" + m.name + ".hex"
			golden.Hex(t, file, codec.MarshalAppend(nil, m.value))
			qt.Assert(t, codec.Unmarshal(golden.Read(t, file), m.empty), qt.IsNil)
			qt.Assert(t, fmt.Sprintf("%+v", m.empty), qt.Equals, fmt.Sprintf("%+v", m.value))
			qt.Assert(t, codec.MarshalAppend(nil, m.empty), qt.DeepEquals, codec.MarshalAppend(nil, m.value))
		})
	}
}

// Records of earlier releases can be decoded: a state from before voters could change, and a value whose history had at most
// 64 versions with complete SHA-256 digests.
func TestGoldenOldRecords(t *testing.T) {
	c := qt.New(t)
	oldState := legacyReplicaState{[]string{"core-1", "core-2"}, true, 2, DiskIncarnations{"core-2": 1}, Ballot{3, "core-1#1"}}
	golden.Hex(t, "old-replica-state.hex", codec.MarshalAppend(nil, &oldState))
	var state ReplicaState
	c.Assert(codec.Unmarshal(golden.Read(t, "old-replica-state.hex"), &state), qt.IsNil)
	c.Assert(state, qt.DeepEquals, ReplicaState{
		VoterSet: VoterSet{Voters: []string{"core-1", "core-2"}}, Ready: true, DiskIncarnation: 2,
		DiskIncarnations: DiskIncarnations{"core-2": 1}, Promised: Ballot{3, "core-1#1"},
	})

	old := legacyValue{version: 9, body: []byte("body 9")}
	for n := 8; n <= 9; n++ {
		old.history = append(old.history, legacyDigest{uint64(n), sha256.Sum256(nthChange(n).Body)})
	}
	refused := NewChange(20, 21, []byte("ahead"))
	old.refused = []legacyDigest{{21, sha256.Sum256(refused.Body)}}
	golden.Hex(t, "old-value.hex", codec.MarshalAppend(nil, &old))
	var value Value
	c.Assert(codec.Unmarshal(golden.Read(t, "old-value.hex"), &value), qt.IsNil)
	c.Assert(value, qt.DeepEquals, Value{
		Version: 9, Body: []byte("body 9"), History: []VersionDigest{nthChange(8).entry(), nthChange(9).entry()},
		TruncatedVersion: 7, Refused: []VersionDigest{refused.entry()},
	})
}

// The numbers of request and reply kinds are part of the wire format. Those of verdicts and states, and the texts of verdicts,
// are part of other packages' output.
func TestNumbersOfKinds(t *testing.T) {
	qt.Check(t, numbers([]RequestKind{ReadVote, Prepare, Accept, Recover, Describe, Commit}), qt.Equals, "1 2 3 4 5 6")
	qt.Check(t, numbers([]ReplyKind{NotReady, Reported, Promise, Accepted, Rejected, StaleEpoch, ConflictingVoters, ForeignSystem}),
		qt.Equals, "0 1 2 3 4 5 6 7")
	qt.Check(t, numbers([]Verdict{Unknown, Committed, Conflict}), qt.Equals, "0 1 2")
	qt.Check(t, []string{Unknown.String(), Committed.String(), Conflict.String()}, qt.DeepEquals, []string{"unknown", "applied", "conflict"})
	qt.Check(t, numbers([]RoundState{Reading, Inconclusive, Preparing, Accepting, Done, Preempted, Stale}), qt.Equals, "0 1 2 3 4 5 6")
}

func numbers[T ~uint8](list []T) string {
	var texts []string
	for _, n := range list {
		texts = append(texts, fmt.Sprint(uint8(n)))
	}
	return strings.Join(texts, " ")
}

// Constants and functions on which two releases must agree, besides the format of messages.
func TestSharedValues(t *testing.T) {
	c := qt.New(t)
	c.Check(uint64(NewSystemID([]string{"core-1", "core-2", "core-3"})), qt.Equals, uint64(0x69e7195655d432f9))
	c.Check(NewChange(1, 2, []byte("body")).entry(), qt.Equals,
		VersionDigest{Version: 2, Digest: Digest{0x23, 0x0d, 0x83, 0x58, 0xdc, 0x8e, 0x88, 0x90}})
	c.Check([]int{maxHistory, maxRefused, maxRetired, maxDiskIncarnations, minVoters, maxVoters}, qt.DeepEquals, []int{256, 64, 64, 128, 3, 9})
	c.Check([]time.Duration{joinDelay, ReplaceDelay}, qt.DeepEquals, []time.Duration{500 * time.Millisecond, 2 * time.Second})
	c.Check([]int{TargetVoters(0), TargetVoters(1), TargetVoters(2), TargetVoters(7)}, qt.DeepEquals, []int{3, 3, 5, 9})
}

// digestOf returns the first 8 bytes of a SHA-256 over the encodings of messages, in hexadecimal.
func digestOf(messages ...codec.Message) string {
	h := sha256.New()
	for _, m := range messages {
		data := codec.MarshalAppend(nil, m)
		h.Write(fmt.Appendf(nil, "%d:", len(data)))
		h.Write(data)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Runs of the model with the same seed are identical: they have the same messages, records, counts and history, and would draw
// the same random number next.
func TestGoldenModelRuns(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(24) {
		m := newModel(seed, []int{3, 3, 3, 4, 5}[seed%5], 1+int(seed/5%2), seed%4 == 3)
		m.digest = sha256.New()
		for step := 0; step < modelSteps && m.spec.violation == ""; step++ {
			m.step()
		}
		m.endFaults()
		qt.Assert(t, m.spec.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		fmt.Fprintf(&text, "seed %d: messages %x, %d steps, %d versions, epoch %d, next draw %d\n", seed, m.digest.Sum(nil)[:8], m.steps,
			len(m.spec.chain), m.spec.epoch, m.rng.Uint64())
		for _, event := range slices.Sorted(maps.Keys(m.counts)) {
			fmt.Fprintf(&text, "  %s: %d\n", event, m.counts[event])
		}
		for _, process := range m.replicas {
			fmt.Fprintf(&text, "  %s: record %s, known %s, highest ballot %d, started %d times\n", process.name,
				digestOf(&process.disk.State, &process.disk.Vote), digestOf(&process.knownVote), process.highestBallot, process.starts)
		}
	}
	golden.Text(t, "model-runs.txt", []byte(text.String()))
}

// Random steps with a given seed always lead from each start to the same conclusions and records.
func TestGoldenSchedules(t *testing.T) {
	clusters := map[string]*cluster{
		"two changes on a base": newCluster(3, 0, []int{2, 2}, change0to1, change0to2),
		"a lost disk":           newCluster(3, 2, []int{3, 3, 3}, change0to1, change0to2, nil),
		"three become five": newClusterWithStandbys(3, 5, 0, []int{4, 4, 4, 4, 4},
			change0to1, addV3, addV4, change0to2, change1to3),
		"voters are exchanged, a disk": newClusterWithStandbys(3, 4, 0, []int{4, 4, 4, 4, 4},
			change0to1, addV3, addV3dropV0, change0to2, change1to3).withDiskLosses(1, 2),
		"exchanged in one step": newClusterWithStandbys(3, 4, 0, []int{4, 4, 4, 4, 4},
			change0to1, swapV0, swapV1, change0to2, change1to3),
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(clusters)) {
		for seed := range uint64(8) {
			rng := rand.New(rand.NewPCG(seed, 6))
			cluster := clusters[name].clone()
			cluster.randomSteps(rng, 150)
			qt.Assert(t, cluster.violation(), qt.Equals, "")
			fmt.Fprintf(&text, "%s, seed %d: %d in flight, next draw %d\n", name, seed, len(cluster.inFlight), rng.Uint64())
			for _, end := range cluster.conclusions {
				fmt.Fprintf(&text, "  proposer %d: %v %s\n", end.proposer, end.verdict, digestOf(&end.value))
			}
			for i := range cluster.records {
				record := &cluster.records[i]
				fmt.Fprintf(&text, "  %s: %s\n", cluster.voters[i], digestOf(&record.State, &record.Vote))
			}
		}
	}
	golden.Text(t, "schedules.txt", []byte(text.String()))
}

// The number of different states that can be reached from each start within a few steps.
func TestGoldenStates(t *testing.T) {
	var text strings.Builder
	for _, test := range []struct {
		name  string
		start *cluster
		depth int
	}{
		{"two changes on a base", newCluster(3, 0, []int{1, 1}, change0to1, change0to2), 6},
		{"a lost disk", newCluster(3, 1, []int{1, 1}, change0to1, change0to2).startRound(0, 0, 1), 5},
		{"a voter is added", newClusterWithStandbys(3, 4, 0, []int{1, 1}, change0to1, addV3), 5},
		{"a voter is exchanged", newClusterWithStandbys(3, 4, 0, []int{1, 1}, change0to1, swapV0), 5},
		{"a rival list that one has", rivalVoterSet(), 4},
	} {
		fmt.Fprintf(&text, "%s, %d steps: %d states\n", test.name, test.depth, explore(t, test.start, test.depth))
	}
	golden.Text(t, "states.txt", []byte(text.String()))
}
