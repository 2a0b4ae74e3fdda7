package controlplane

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/transport/codec"
)

const bodyBytes = 2 << 10

// change puts the next version in force, at one server.
func (t *testNetwork) change(ctx context.Context, i int, version configuration.Version, body string) {
	outcome := t.server(i).Replace(ctx, version-1, config(version, body)).Outcome
	t.c.Assert(outcome, qt.Equals, Applied, qt.Commentf("%v", version))
}

// traffic is what was sent and synced since.
func (t *testNetwork) traffic(i int) (messages, bytes, syncs int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.messages, t.bytes[node(i)], t.syncs
}

// voteOnDisk is the version that a server's disk holds, and the length of its records.
func (t *testNetwork) voteOnDisk(i int) (version configuration.Version, bytes int) {
	t.testCore.mu.Lock()
	m := t.disks[node(i)]
	t.testCore.mu.Unlock()
	var vote consensus.Vote
	m.configure(func() {
		for _, record := range m.records {
			bytes += len(record)
		}
		t.c.Assert(codec.Unmarshal(m.records[voteKey], &vote), qt.IsNil)
	})
	return vote.Value.Version, bytes
}

// forget drops what came in force at a server so far.
func (t *testNetwork) forget(i int) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	t.notified[node(i)] = nil
}

// inForceSince checks that nothing older came in force at a server since.
func (t *testNetwork) inForceSince(i int, oldest configuration.Version) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	for _, v := range t.notified[node(i)] {
		t.c.Assert(v >= oldest, qt.IsTrue, qt.Commentf("%v came in force after the restart", v))
	}
}

// catchUp starts voter 2 again after a number of changes and has it take part in two more, the second with one other voter only.
// It gives the bytes that the voter sent and received.
func (t *testNetwork) catchUp(ctx context.Context, newest configuration.Version, body, label string) (bytes int) {
	time.Sleep(time.Second) // of the bubble's time: nothing is under way
	t.forget(2)
	_, before, _ := t.traffic(2)
	began := time.Now()
	t.open(2, false)
	t.c.Assert(t.newest(ctx, 2), qt.Equals, newest)
	read := time.Since(began)
	for ready := false; !ready; _, ready = t.server(2).Accepted() {
		time.Sleep(time.Millisecond) // of the bubble's time
	}
	t.change(ctx, 2, newest+1, body)
	t.sever(0, 3, true, true, true)
	t.change(ctx, 2, newest+2, body)
	changed := time.Since(began)
	t.sever(0, 3, true, true, false)
	_, after, _ := t.traffic(2)
	version, disk := t.voteOnDisk(2)
	t.c.Assert(version, qt.Equals, newest+2)
	synctest.Wait()
	t.inForceSince(2, newest)
	t.c.Logf("%s: read after %v, two changes after %v, %d bytes sent and received, %d on disk",
		label, read.Round(time.Millisecond), changed.Round(time.Millisecond), after-before, disk)
	t.c.Assert(changed < 2*time.Second, qt.IsTrue)
	t.c.Assert(disk < bodyBytes+8<<10, qt.IsTrue)
	return after - before
}

// A voter that was away while 1,000, 100 or 10 changes were made, with the folder that it had then or with an empty one: it
// answers reads with the newest version and takes part in changes at once, nothing older comes in force at it, and what it sends,
// receives and writes until then does not grow with the number of changes.
func TestCatchUpIsFlat(t *testing.T) {
	body := strings.Repeat("x", bodyBytes)
	runNetwork(t, 3, 1, func(ctx context.Context, network *testNetwork) {
		network.testCore.mu.Lock()
		network.maxDelay = float64(2 * time.Millisecond)
		network.testCore.mu.Unlock()
		newest := configuration.Version(1)
		network.change(ctx, 0, newest, body)
		var sums []int
		for _, changes := range []configuration.Version{10, 300, 1000} { // the history in a value is full after 256
			network.stop(2)
			for range changes {
				newest++
				network.change(ctx, int(newest)%2, newest, body)
			}
			sums = append(sums, network.catchUp(ctx, newest, body, fmt.Sprintf("%d changes, old folder", changes)))
			newest += 2
			network.stop(2)
			network.disks[node(2)] = nil
			sums = append(sums, network.catchUp(ctx, newest, body, fmt.Sprintf("%d changes, empty folder", changes)))
			newest += 2
		}
		for i := range 2 { // how many messages pass is a matter of chance
			network.c.Assert(sums[4+i] < 2*sums[2+i], qt.IsTrue, qt.Commentf("bytes: %v", sums))
		}
	})
}

// A member that held an old version answers nothing from it, while the others are away: its folder is of no use alone.
func TestOldFolderAloneSaysNothing(t *testing.T) {
	runNetwork(t, 3, 1, func(ctx context.Context, network *testNetwork) {
		network.change(ctx, 0, 1, "")
		time.Sleep(time.Second)
		network.stop(2)
		for v := configuration.Version(2); v <= 100; v++ {
			network.change(ctx, 1, v, "")
		}
		network.stop(0)
		network.stop(1)
		network.forget(2)
		network.open(2, false)
		short, cancel := context.WithTimeout(ctx, 10*callTimeout)
		defer cancel()
		_, err := network.server(2).ReadLatest(short)
		network.c.Assert(err, qt.IsNotNil)
		network.c.Assert(network.server(2).Replace(short, 1, config(2, "another")).Outcome, qt.Equals, Unknown)
		network.open(0, false) // a majority, of which one member is old
		network.c.Assert(network.newest(ctx, 2), qt.Equals, configuration.Version(100))
		network.c.Assert(network.server(2).Replace(ctx, 1, config(2, "another")).Outcome, qt.Equals, Conflict)
		network.change(ctx, 2, 101, "")
		synctest.Wait()
		network.inForceSince(2, 100)
	})
}

// What one acknowledged change costs on calm links, whatever the number of changes before: messages and their round trips, bytes,
// and synced writes. Two phases, each a round trip and a sync on each of three voters, one of which is the server itself.
func TestCostOfAChange(t *testing.T) {
	const trip, sync = 10 * time.Millisecond, 3 * time.Millisecond // to and fro, on average; of a disk
	body := strings.Repeat("x", bodyBytes)
	for _, changes := range []configuration.Version{10, 300} {
		runNetwork(t, 3, 1, func(ctx context.Context, network *testNetwork) {
			for v := configuration.Version(1); v <= changes; v++ {
				network.change(ctx, 0, v, "")
			}
			time.Sleep(time.Second)
			for _, m := range network.disks {
				m.configure(func() { m.slow = sync })
			}
			network.testCore.mu.Lock()
			network.maxDelay = float64(trip)
			network.testCore.mu.Unlock()
			const counted = 20
			messages, bytes, syncs := network.traffic(0)
			began := time.Now()
			for v := changes + 1; v <= changes+counted; v++ {
				network.change(ctx, 0, v, body)
			}
			took := time.Since(began)
			time.Sleep(time.Second)
			messages2, bytes2, syncs2 := network.traffic(0)
			t.Logf("after %d changes: %v, %d messages, %d bytes at the server that takes it, %d syncs for each change", changes,
				(took / counted).Round(100*time.Microsecond), (messages2-messages)/counted, (bytes2-bytes)/counted, (syncs2-syncs)/counted)
			network.c.Assert(took/counted < 2*(2*trip+sync), qt.IsTrue)
			network.c.Assert((syncs2-syncs)/counted <= 6, qt.IsTrue)
			network.c.Assert((bytes2-bytes)/counted < 2*bodyBytes+24<<10, qt.IsTrue)
		})
	}
}

// A voter's folder doesn't grow with the number of changes: what is obsolete is removed as it is written.
func TestFolderStaysSmall(t *testing.T) {
	c := qt.New(t)
	changes := 100
	if os.Getenv("SOAK") != "" {
		changes = 1000
	}
	folder := t.TempDir()
	store, err := storage.Open(folder)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(store.Close(), qt.IsNil) }()
	body := []byte(strings.Repeat("x", 200<<10))
	most := int64(0)
	for i := range changes {
		state := consensus.ReplicaState{Promised: consensus.Ballot{Number: uint64(i)}}
		c.Assert(store.Put(stateKey, codec.MarshalAppend(nil, &state)), qt.IsNil)
		copy(body, fmt.Sprint(i))
		vote := consensus.Vote{Ballot: state.Promised, Value: consensus.Value{Version: configuration.Version(i), Body: body}}
		c.Assert(store.Put(voteKey, codec.MarshalAppend(nil, &vote)), qt.IsNil)
		most = max(most, folderBytes(c, folder))
	}
	t.Logf("%d changes of %d bytes: %d bytes on disk at most, %d at the end", changes, len(body), most, folderBytes(c, folder))
	c.Assert(most < 16<<20, qt.IsTrue)
}

func folderBytes(c *qt.C, folder string) (sum int64) {
	files, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		info, err := os.Stat(filepath.Join(folder, f.Name()))
		if os.IsNotExist(err) {
			continue // removed meanwhile
		}
		c.Assert(err, qt.IsNil)
		sum += info.Size()
	}
	return sum
}
