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

// change has a server apply the next version.
func (t *testNetwork) change(ctx context.Context, i int, version configuration.Version, body string) {
	outcome := t.server(i).Replace(ctx, version-1, config(version, body)).Outcome
	t.c.Assert(outcome, qt.Equals, Committed, qt.Commentf("%v", version))
}

// traffic returns the messages and syncs of all servers, and the bytes that one of them sent and received, since the start.
func (t *testNetwork) traffic(i int) (messages, bytes, syncs int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.messages, t.bytes[node(i)], t.syncs
}

// voteOnDisk returns the version in the vote on a server's disk, and the length of all its records.
func (t *testNetwork) voteOnDisk(i int) (version configuration.Version, bytes int) {
	t.testCore.mu.Lock()
	disk := t.disks[node(i)]
	t.testCore.mu.Unlock()
	var vote consensus.Vote
	disk.configure(func() {
		for _, record := range disk.records {
			bytes += len(record)
		}
		t.c.Assert(codec.Unmarshal(disk.records[voteKey], &vote), qt.IsNil)
	})
	return vote.Value.Version, bytes
}

// forget drops the versions that a server was notified of.
func (t *testNetwork) forget(i int) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	t.notified[node(i)] = nil
}

// inForceSince checks that a server was not notified of an older version since forget.
func (t *testNetwork) inForceSince(i int, oldest configuration.Version) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	for _, v := range t.notified[node(i)] {
		t.c.Assert(v >= oldest, qt.IsTrue, qt.Commentf("%v came in force after the restart", v))
	}
}

// catchUp starts voter 2 again after a number of changes, and makes two more changes at it, the second with only one other voter.
// It returns the bytes that voter 2 sent and received.
func (t *testNetwork) catchUp(ctx context.Context, newest configuration.Version, body, label string) (bytes int) {
	time.Sleep(time.Second) // of the bubble's time: nothing is in flight
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

// A voter starts again after it was down for 10, 300 or 1,000 changes, with its old folder or with an empty one. It reads the newest
// version and takes part in changes at once, and is not notified of an older version. What it sends, receives and writes until then
// does not grow with the number of changes.
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
		for i := range 2 { // the number of messages is random
			network.c.Assert(sums[4+i] < 2*sums[2+i], qt.IsTrue, qt.Commentf("bytes: %v", sums))
		}
	})
}

// A voter with an old folder does not answer from it while the other voters are down.
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
		network.open(0, false) // now there is a majority, of which one voter has an old folder
		network.c.Assert(network.newest(ctx, 2), qt.Equals, configuration.Version(100))
		network.c.Assert(network.server(2).Replace(ctx, 1, config(2, "another")).Outcome, qt.Equals, Conflict)
		network.change(ctx, 2, 101, "")
		synctest.Wait()
		network.inForceSince(2, 100)
	})
}

// The cost of one acknowledged change on links without losses, in messages, bytes, synced writes and time, does not grow with the number of
// changes before it. A change takes two phases: each is a round trip and a sync at each of three voters, one of which is the server
// itself.
func TestCostOfAChange(t *testing.T) {
	const trip, sync = 10 * time.Millisecond, 3 * time.Millisecond // of a round trip, on average, and of a synced write
	body := strings.Repeat("x", bodyBytes)
	for _, changes := range []configuration.Version{10, 300} {
		runNetwork(t, 3, 1, func(ctx context.Context, network *testNetwork) {
			for v := configuration.Version(1); v <= changes; v++ {
				network.change(ctx, 0, v, "")
			}
			time.Sleep(time.Second)
			for _, disk := range network.disks {
				disk.configure(func() { disk.slow = sync })
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

// A voter's folder does not grow with the number of changes: obsolete records are removed during the writes.
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
