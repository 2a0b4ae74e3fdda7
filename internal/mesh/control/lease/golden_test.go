package lease

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/transport/codec"
)

// The encoding of each message equals its golden file, and decoding the golden file returns the message, so that different
// releases understand each other.
func TestGoldenMessages(t *testing.T) {
	request := Request{
		Holder: "10.0.0.1:7401", Incarnation: 0xfedcba9876543210, VoterSetEpoch: 4,
		Roles: []RoleRequest{{Role: "quota", FencingToken: 4_000_001, Release: true}, {Role: "config", FencingToken: 4_000_300}},
	}
	reply := Reply{VoterSetEpoch: 5, Grants: []RoleReply{
		{Role: "quota", Granted: true, FencingToken: 4_000_001},
		{Role: "config", FencingToken: 4_000_300, Holder: "10.0.0.2:7401", Remaining: 750 * time.Millisecond},
	}}
	grant := RoleReply{Role: "quota", Granted: true, FencingToken: 4_000_001, Holder: "10.0.0.2:7401", Remaining: time.Second}
	for _, message := range []struct {
		name         string
		value, empty codec.Message
	}{
		{"request", &request, &Request{}},
		{"duty", &request.Roles[0], &RoleRequest{}},
		{"reply", &reply, &Reply{}},
		{"grant", &grant, &RoleReply{}},
	} {
		t.Run(message.name, func(t *testing.T) {
			file := "message-" + message.name + ".hex"
			golden.Hex(t, file, codec.MarshalAppend(nil, message.value))
			qt.Assert(t, codec.Unmarshal(golden.Read(t, file), message.empty), qt.IsNil)
			qt.Assert(t, message.empty, qt.DeepEquals, message.value)
		})
	}
}

// Constants on which voters and candidates of different releases must agree.
func TestSharedValues(t *testing.T) {
	c := qt.New(t)
	c.Check([]time.Duration{
		Duration, holderDuration, voterChangeDelay, renewInterval, retryDelay, releaseStagger,
	}, qt.DeepEquals, []time.Duration{
		time.Second, 950 * time.Millisecond, 1050 * time.Millisecond, 250 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond,
	})
	c.Check([]int{tokensPerVoterSet, maxRoles}, qt.DeepEquals, []int{1_000_000, 4096})
	c.Check([]State{Idle, Requesting, Holding, Resigned}, qt.DeepEquals, []State{0, 1, 2, 3})
}

// Runs with the same seed are identical: the same candidates hold the lease at the same times under the same fencing tokens.
func TestGoldenRuns(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(12) {
		run := newExchangeRun(seed)
		digest := sha256.New()
		for run.now < 20*time.Second {
			run.step()
			digest.Write(fmt.Appendln(nil, run.now, run.holders(), len(run.messages)))
			for i, candidate := range run.candidates {
				now := localTime(run.now, candidate.clockRate)
				digest.Write(fmt.Appendln(nil, i, candidate.Holder(now), candidate.Remaining(now)))
			}
		}
		fmt.Fprintf(&text, "seed %d: holders %x, came %d times, held on %d times, %d lists, highest number %d, next draw %d\n", seed,
			digest.Sum(nil)[:8], run.obtained, run.renewedAcrossEpochs, len(run.voterSets), run.highestToken, run.rng.Uint64())
	}
	for seed := range uint64(12) {
		fmt.Fprintf(&text, "seed %d: nobody holds for %v after a cut, %v after a release\n", seed, takeover(seed, false), takeover(seed, true))
	}
	golden.Text(t, "runs.txt", []byte(text.String()))
}
