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

// bodyBytes is the size of the variable part of a configuration.
const bodyBytes = 2 << 10

// change applies a change to the given version, on the version before it, at a server.
func (t *testNetwork) change(ctx context.Context, i int, version configuration.Version, body string) {
	outcome := t.server(i).Replace(ctx, version-1, config(version, body)).Outcome
	t.c.Assert(outcome, qt.Equals, Committed, qt.Commentf("outcome of the change to %v", version))
}

// traffic returns the numbers of messages and synced writes of all servers, and the number of bytes that one of them sent and received,
// since the start.
func (t *testNetwork) traffic(i int) (messages, bytes, syncs int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.messages, t.bytes[node(i)], t.syncs
}

// voteOnDisk returns the version in the vote on a server's disk, and the size of all records on that disk.
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

// clearNotifications discards the versions that a server was notified of.
func (t *testNetwork) clearNotifications(i int) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	t.notified[node(i)] = nil
}

// checkNotifications checks that a server was not notified of a version before oldest since clearNotifications.
func (t *testNetwork) checkNotifications(i int, oldest configuration.Version) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	for _, v := range t.notified[node(i)] {
		t.c.Assert(v >= oldest, qt.IsTrue, qt.Commentf("server %d was notified of %v after its restart, older than %v", i, v, oldest))
	}
}

// catchUp starts voter 2 again after a number of changes, and makes two more changes at it, the second while only one other voter is
// reachable. It returns the number of bytes that voter 2 sent and received.
func (t *testNetwork) catchUp(ctx context.Context, newest configuration.Version, body, label string) (bytes int) {
	time.Sleep(time.Second) // until no message is in flight
	t.clearNotifications(2)
	_, before, _ := t.traffic(2)
	began := time.Now()
	t.open(2, false)
	t.c.Assert(t.newest(ctx, 2), qt.Equals, newest)
	readTime := time.Since(began)
	for ready := false; !ready; _, ready = t.server(2).Accepted() {
		time.Sleep(time.Millisecond)
	}
	t.change(ctx, 2, newest+1, body)
	t.sever(0, 3, true, true, true)
	t.change(ctx, 2, newest+2, body)
	changeTime := time.Since(began)
	t.sever(0, 3, true, true, false)
	_, after, _ := t.traffic(2)
	version, diskBytes := t.voteOnDisk(2)
	t.c.Assert(version, qt.Equals, newest+2)
	synctest.Wait()
	t.checkNotifications(2, newest)
	t.c.Logf("%s: read after %v, two changes after %v, %d bytes sent and received, %d on disk",
		label, readTime.Round(time.Millisecond), changeTime.Round(time.Millisecond), after-before, diskBytes)
	t.c.Assert(changeTime < 2*time.Second, qt.IsTrue)
	t.c.Assert(diskBytes < bodyBytes+8<<10, qt.IsTrue)
	return after - before
}

// A voter starts again after it was stopped for 10, 300 or 1,000 changes, with its old folder or with an empty one. It reads the newest
// version and takes part in changes immediately, and is not notified of an older version. The amounts of data that it sends, receives and
// writes until then do not grow with the number of changes.
func TestCatchUpIsFlat(t *testing.T) {
	body := strings.Repeat("x", bodyBytes)
	runNetwork(t, 3, 1, func(ctx context.Context, network *testNetwork) {
		network.testCore.mu.Lock()
		network.maxDelay = float64(2 * time.Millisecond)
		network.testCore.mu.Unlock()
		newest := configuration.Version(1)
		network.change(ctx, 0, newest, body)
		// For each number of changes: the bytes with the old folder and with an empty folder.
		var byteCounts []int
		for _, changes := range []configuration.Version{10, 300, 1000} { // the history in a value is full after 256
			network.stop(2)
			for range changes {
				newest++
				network.change(ctx, int(newest)%2, newest, body)
			}
			byteCounts = append(byteCounts, network.catchUp(ctx, newest, body, fmt.Sprintf("%d changes, old folder", changes)))
			newest += 2
			network.stop(2)
			network.disks[node(2)] = nil
			byteCounts = append(byteCounts, network.catchUp(ctx, newest, body, fmt.Sprintf("%d changes, empty folder", changes)))
			newest += 2
		}
		for i := range 2 { // the number of messages is random, so the bytes for 300 and 1,000 changes differ
			network.c.Assert(byteCounts[4+i] < 2*byteCounts[2+i], qt.IsTrue,
				qt.Commentf("bytes sent and received in each catch-up: %v", byteCounts))
		}
	})
}

// A voter with an old folder does not answer calls from it while the other voters are stopped.
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
		network.clearNotifications(2)
		network.open(2, false)
		shortCtx, cancel := context.WithTimeout(ctx, 10*callTimeout)
		defer cancel()
		_, err := network.server(2).ReadLatest(shortCtx)
		network.c.Assert(err, qt.IsNotNil)
		network.c.Assert(network.server(2).Replace(shortCtx, 1, config(2, "another")).Outcome, qt.Equals, Unknown)
		network.open(0, false) // now a majority runs, in which one voter has an old folder
		network.c.Assert(network.newest(ctx, 2), qt.Equals, configuration.Version(100))
		network.c.Assert(network.server(2).Replace(ctx, 1, config(2, "another")).Outcome, qt.Equals, Conflict)
		network.change(ctx, 2, 101, "")
		synctest.Wait()
		network.checkNotifications(2, 100)
	})
}

// Without message loss, the cost of an acknowledged change in messages, bytes, synced writes and time does not grow with the number of
// changes before it. A change takes two phases: each phase is a round trip and a synced write at each of the three voters, one of which
// is the server that receives the change.
func TestCostOfAChange(t *testing.T) {
	const roundTrip, syncTime = 10 * time.Millisecond, 3 * time.Millisecond // average round trip, and duration of a synced write
	body := strings.Repeat("x", bodyBytes)
	for _, changes := range []configuration.Version{10, 300} {
		runNetwork(t, 3, 1, func(ctx context.Context, network *testNetwork) {
			for v := configuration.Version(1); v <= changes; v++ {
				network.change(ctx, 0, v, "")
			}
			time.Sleep(time.Second)
			for _, disk := range network.disks {
				disk.configure(func() { disk.latency = syncTime })
			}
			network.testCore.mu.Lock()
			network.maxDelay = float64(roundTrip)
			network.testCore.mu.Unlock()
			const counted = 20
			messages, bytes, syncs := network.traffic(0)
			began := time.Now()
			for v := changes + 1; v <= changes+counted; v++ {
				network.change(ctx, 0, v, body)
			}
			took := time.Since(began)
			time.Sleep(time.Second)
			messagesAfter, bytesAfter, syncsAfter := network.traffic(0)
			t.Logf("after %d changes: %v, %d messages, %d bytes at the server that receives it, %d syncs for each change", changes,
				(took / counted).Round(100*time.Microsecond), (messagesAfter-messages)/counted,
				(bytesAfter-bytes)/counted, (syncsAfter-syncs)/counted)
			network.c.Assert(took/counted < 2*(2*roundTrip+syncTime), qt.IsTrue)
			network.c.Assert((syncsAfter-syncs)/counted <= 6, qt.IsTrue)
			network.c.Assert((bytesAfter-bytes)/counted < 2*bodyBytes+24<<10, qt.IsTrue)
		})
	}
}

// The size of a voter's folder does not grow with the number of changes, because writes also remove obsolete records.
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
	maxBytes := int64(0)
	for i := range changes {
		state := consensus.ReplicaState{Promised: consensus.Ballot{Number: uint64(i)}}
		c.Assert(store.Put(stateKey, codec.MarshalAppend(nil, &state)), qt.IsNil)
		copy(body, fmt.Sprint(i))
		vote := consensus.Vote{Ballot: state.Promised, Value: consensus.Value{Version: configuration.Version(i), Body: body}}
		c.Assert(store.Put(voteKey, codec.MarshalAppend(nil, &vote)), qt.IsNil)
		maxBytes = max(maxBytes, folderBytes(c, folder))
	}
	t.Logf("%d changes of %d bytes: %d bytes on disk at most, %d at the end", changes, len(body), maxBytes, folderBytes(c, folder))
	c.Assert(maxBytes < 16<<20, qt.IsTrue)
}

// folderBytes returns the size of all files in a folder.
func folderBytes(c *qt.C, folder string) (sum int64) {
	files, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		info, err := os.Stat(filepath.Join(folder, file.Name()))
		if os.IsNotExist(err) {
			continue // the store has removed it since ReadDir
		}
		c.Assert(err, qt.IsNil)
		sum += info.Size()
	}
	return sum
}
