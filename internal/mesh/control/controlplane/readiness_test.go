package controlplane

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/storage"
)

// heartbeat is the time within which a process must know that its disk has changed: that between two heartbeats of a quiet process.
const heartbeat = time.Second

// reportsReady returns what a server says to probes, and checks that /mesh/state would have the same.
func (t *testCore) reportsReady(i int) bool {
	synctest.Wait() // else the server could become ready or unready between the two reads
	ready := t.server(i).responder.describe().Ready
	t.c.Assert(t.server(i).Ready(), qt.Equals, ready)
	return ready
}

// diskTrouble is a trouble of a voter's disk, which ends before the process does.
type diskTrouble struct {
	begin, end func(disk *memoryStore)
	recovers   time.Duration // time after the end within which the voter is ready
}

// diskTroubles returns the troubles by name. Their ends undo them as far as an operator can.
func diskTroubles() map[string]diskTrouble {
	unblock := make(chan struct{})
	works := func(disk *memoryStore) { disk.fault, disk.torn, disk.faulty = nil, false, "" }
	return map[string]diskTrouble{
		"fails":        {func(disk *memoryStore) { disk.fault = io.ErrUnexpectedEOF }, works, heartbeat},
		"full":         {func(disk *memoryStore) { disk.fault = io.ErrShortWrite }, works, heartbeat},
		"writes late":  {func(disk *memoryStore) { disk.fault, disk.torn = io.ErrShortWrite, true }, works, heartbeat},
		"hangs":        {func(disk *memoryStore) { disk.unblock = unblock }, func(disk *memoryStore) { disk.unblock = nil; close(unblock) }, heartbeat},
		"record lost":  {func(disk *memoryStore) { clear(disk.records); disk.fault = io.ErrShortWrite }, works, 5 * time.Second},
		"state lost":   {func(disk *memoryStore) { delete(disk.records, stateKey); disk.fault = io.ErrShortWrite }, works, 5 * time.Second},
		"other's disk": {func(disk *memoryStore) { disk.records[ownerKey] = []byte("10.9.9.9:1") }, func(disk *memoryStore) { disk.records[ownerKey] = []byte(node(2)) }, heartbeat},
	}
}

// A voter whose disk is in trouble says so within a heartbeat, to probes and in its state, while it is idle as while changes are made, and
// says that it is ready again once it is. It remains a voter, though there is another process that could take its place.
func TestReadinessFollowsTheDisk(t *testing.T) {
	const troubled = 2
	for _, idle := range []bool{true, false} {
		for name := range diskTroubles() {
			t.Run(name, func(t *testing.T) {
				runGrownWithChange(t, func(ctx context.Context, core *testCore) {
					trouble := diskTroubles()[name] // its channels must be of the test's bubble
					time.Sleep(2 * time.Second)
					voters := core.server(0).VoterSet()
					core.c.Assert(voters.Contains(node(troubled)), qt.IsTrue)
					core.c.Assert(core.reportsReady(troubled), qt.IsTrue)
					disk := core.disks[node(troubled)]
					disk.configure(func() { trouble.begin(disk) })
					end := sync.OnceFunc(func() { disk.configure(func() { trouble.end(disk) }) })
					defer end()
					if !idle {
						core.c.Assert(core.replace(ctx, 0, 1, 2), qt.Equals, Committed)
					}
					time.Sleep(heartbeat)
					for range 20 { // it stays unready until the trouble ends
						core.c.Assert(core.reportsReady(troubled), qt.IsFalse)
						time.Sleep(heartbeat / 4)
					}
					end()
					core.await(trouble.recovers+heartbeat, func() bool { return core.reportsReady(troubled) })
					core.c.Assert(core.server(0).VoterSet().Voters, qt.DeepEquals, voters.Voters)
				})
			})
		}
	}
}

// A process that is cut off, but whose disk works, stays ready; one that has no record yet, as nobody answers its recovery, is not.
func TestReadinessWhileCutOff(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
		core.isolate(1, true)
		time.Sleep(5 * heartbeat)
		core.c.Assert(core.reportsReady(1), qt.IsTrue)
		core.loseMachine(2)
		core.isolate(2, true)
		core.start(2, false)
		time.Sleep(5 * heartbeat)
		core.c.Assert(core.reportsReady(2), qt.IsFalse, qt.Commentf("not yet synchronised"))
		core.isolate(1, false)
		core.isolate(2, false)
		core.await(10*time.Second, func() bool { return core.reportsReady(2) })
	})
}

// The readiness of a needed voter flaps, as its disk fails again and again. It stays a voter, and changes are made while the disk works.
func TestFlappingVoterIsNotReplaced(t *testing.T) {
	const flapping = 2
	runGrownWithChange(t, func(ctx context.Context, core *testCore) {
		voters := core.server(0).VoterSet()
		core.c.Assert(voters.Contains(node(flapping)), qt.IsTrue)
		disk := core.disks[node(flapping)]
		for i := range 20 {
			disk.configure(func() { disk.fault = io.ErrShortWrite })
			time.Sleep(time.Duration(100+77*i) * time.Millisecond)
			disk.configure(func() { disk.fault = nil })
			time.Sleep(time.Duration(100+31*i) * time.Millisecond)
		}
		core.c.Assert(core.server(0).VoterSet().Voters, qt.DeepEquals, voters.Voters)
		core.isolate(1, true) // the flapping voter is needed now; within ReplaceDelay nobody takes the place of voter 1
		core.c.Assert(core.replace(ctx, 0, 1, 2), qt.Equals, Committed)
	})
}

// A check of a slow disk neither delays votes nor occupies the disk for more than a small share of time.
func TestChecksOfASlowDisk(t *testing.T) {
	c := qt.New(t)
	health := diskHealth{}
	now := time.Unix(1, 0)
	c.Assert(health.works(now), qt.IsTrue)
	health.checkSince = now
	c.Assert(health.works(now.Add(diskHangThreshold-1)), qt.IsTrue)
	c.Assert(health.works(now.Add(diskHangThreshold)), qt.IsFalse)
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.newest(ctx, 0)
		time.Sleep(time.Second)
		for _, disk := range core.disks {
			disk.configure(func() { disk.latency = 100 * time.Millisecond })
		}
		for version := range 20 {
			time.Sleep(137 * time.Millisecond)
			began := time.Now()
			base := configuration.Version(version)
			core.c.Assert(core.replace(ctx, 0, base, base+1), qt.Equals, Committed)
			core.c.Assert(time.Since(began) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("change %d took %v", version, time.Since(began)))
		}
	})
}

// The folder of a running voter with a real disk is removed, or another folder takes its place: it recovers its record there.
func TestFolderOfARunningVoterIsLost(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	store, err := storage.Open(folder)
	c.Assert(err, qt.IsNil)
	disk := &recordDisk{self: "a", folder: folder, log: nil, openStore: func(string) (recordStore, error) { return store, nil }}
	c.Assert(disk.open(), qt.IsNil)
	record := consensus.InitialRecord("a", []string{"a"})
	c.Assert(disk.save(&record, consensus.Unsynced{State: true, Vote: true}), qt.IsNil)
	c.Assert(disk.verify(), qt.IsNil)
	entries, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	for _, entry := range entries {
		c.Assert(os.Remove(filepath.Join(folder, entry.Name())), qt.IsNil)
	}
	c.Assert(disk.verify(), qt.IsNotNil)
	c.Assert(disk.open(), qt.IsNil)
	_, damage, err := disk.read()
	c.Assert(err, qt.IsNil)
	c.Assert(damage.blank(), qt.IsTrue)
	c.Assert(trace.IsNotFound(disk.verify()), qt.IsTrue)
	c.Assert(store.Close(), qt.IsNil)
}
