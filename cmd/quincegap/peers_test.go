package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
	"quincegap/internal/rehearsal/rehearse"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/relay"
)

// Seven processes find one another while callers book through them. They notice a partition into three and four, a process whose messages
// nobody receives, a stopped process, and five processes that die at once and start again. No booking is executed twice, and all processes
// that run answer.
func TestSevenSidecarsUnderFaults(t *testing.T) {
	t.Parallel()
	const n = 7
	rig := newPeersRig(t, n, 1, quickSettings)
	all, names := firstMembers(n)
	rig.start(all...)
	rig.awaitViews("seven are settled", peers.Settled, all, all...)
	counts, stop := rig.startCallers(6)
	rig.net.Partition(names[:3], names[3:], true)
	rig.net.Partition(names[3:], names[:3], true)
	rig.logEvent("partition into three and four")
	rig.awaitViews("four are settled", peers.Settled, all[3:], all[3:]...)
	rig.awaitViews("three are partitioned", peers.Partitioned, all[:3], all[:3]...)
	rig.net.Heal()
	rig.logEvent("healed")
	rig.awaitViews("seven are settled after the partition", peers.Settled, all, all...)

	rig.logEvent("no member receives from front-04")
	rig.net.Partition(names[4:5], names, true)
	rest := slices.Delete(slices.Clone(all), 4, 5)
	rig.awaitViews("six are settled without front-04", peers.Settled, rest, rest...)
	rig.net.Heal()
	rig.awaitViews("seven are settled with front-04", peers.Settled, all, all...)

	rig.logEvent("front-02 is stopped")
	rig.members[2].signal(syscall.SIGSTOP)
	rest = slices.Delete(slices.Clone(all), 2, 3)
	rig.awaitViews("six are settled without front-02", peers.Settled, rest, rest...)
	rig.members[2].signal(syscall.SIGCONT)
	rig.awaitViews("seven are settled with front-02", peers.Settled, all, all...)

	rig.net.SetFault(relay.Fault{LossShare: 0.1, DuplicateShare: 0.1, MaxDelay: 30 * time.Millisecond})
	rig.logEvent("datagrams are lost, duplicated and delayed")
	rig.kill(0, 1, 3, 5, 6)
	rig.awaitViews("two are partitioned after the death of five", peers.Partitioned, []int{2, 4}, 2, 4)
	awaitMore(t, &counts.served, 100) // through the two members that still run
	rig.net.Heal()
	rig.start(0, 1, 3, 5, 6)
	rig.awaitViews("seven are settled after the restart of five", peers.Settled, all, all...)
	stop()
	members, err := admin.AskPeers(rig.tb.Context(), "unix:"+rig.admin(0), true)
	if err != nil || len(members.Others) != n-1 || len(members.Differences()) > 0 {
		t.Errorf("views of all members: got %d others, differences %v, error %v, want %d others without differences",
			len(members.Others), members.Differences(), err, n-1)
	}
	duplicates, executed := rig.ledger.duplicates()
	t.Logf("%d calls served, %d rejected, %d failed, %d broken; %d executed",
		counts.served.Load(), counts.rejected.Load(), counts.failed.Load(), counts.broken.Load(), executed)
	if duplicates > 0 || int64(executed) < counts.served.Load() {
		t.Errorf("%d of %d bookings were executed more than once and %d were served, want 0 and at most as many served as executed",
			duplicates, executed, counts.served.Load())
	}
	t.Log(strings.Join(rig.events, "\n"))
}

// Two processes run with the same name. All members notice that, and the second process gets no share of the load and the limits.
func TestTwoProcessesOfOneName(t *testing.T) {
	t.Parallel()
	rig := newPeersRig(t, 3, 1, quickSettings)
	second := strings.Replace(rig.settingsFiles[0], "front-00", "front-01", 1) // the name of member 1, with the address of member 0
	second = strings.Replace(second, "ordinal = 0", "ordinal = 1", 1)
	rig.settingsFiles[0] = second
	rig.start(1, 2)
	rig.start(0)
	seesDuplicate := func(i int) bool {
		report, ok := rig.view(i)
		return ok && slices.Equal(report.DuplicateNames, []string{"front-01"})
	}
	all := func() bool { return seesDuplicate(0) && seesDuplicate(1) && seesDuplicate(2) }
	for deadline := time.Now().Add(testTimeout); !all(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			r0, _ := rig.view(0)
			r1, _ := rig.view(1)
			t.Fatalf("not all members have noticed the duplicate name within %v; members 0 and 1 report:\n%+v\n%+v", testTimeout, r0, r1)
		}
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		r0, _ := rig.view(0)
		r1, _ := rig.view(1)
		if !r0.OwnsName && r1.OwnsName && r1.Instances == 2 && r0.Instances == 3 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %v members 0 and 1 report\n%+v\n%+v\nwant member 1 to own the name and count 2 instances, and member 0 to count 3",
				testTimeout, r0, r1)
		}
	}
}

// A rehearsal has sidecar processes that find one another, and random faults between them: partitions, a sidecar whose messages nobody
// receives, lost, delayed and duplicated messages, killed and stopped sidecars. No rule is broken, and all sidecars agree in the end.
func TestRandomFaultsBetweenSidecars(t *testing.T) {
	t.Parallel()
	seeds := 1
	if os.Getenv("SOAK") != "" {
		seeds = 12
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { rehearseFaults(t, seed+1) })
	}
}

// rehearseFaults runs a rehearsal with random faults of a seed, and checks its verdict.
func rehearseFaults(t *testing.T, seed uint64) {
	t.Helper()
	lines := scenario.RandomFaults(seed, 7, time.Second, 16*time.Second)
	script := fmt.Sprintf(faultScenario, strings.Join(lines, "\n"))
	var found finding.List
	plan := scenario.Read("faults", []byte(script), &found)
	if plan == nil {
		t.Fatalf("the script of the rehearsal is not valid: %v\n%s", found.Err(), script)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	options := rehearse.Options{Program: self, Env: []string{"BE_QUINCEGAP=1"}, Dir: t.TempDir()}
	result, err := rehearse.Run(t.Context(), plan.Plan(seed), options)
	if err != nil {
		t.Fatal(err)
	}
	if result.DivergentViews != "" {
		t.Errorf("the sidecars do not agree in the end; their views:\n%s\nscript:\n%s", result.DivergentViews, script)
	}
	if breaches := result.Verdict.Breaches; len(breaches) > 0 && result.Verdict.VoidReason == "" {
		t.Errorf("broken rules: got %v, want none\n%s", breaches, script)
	}
	if crashes := result.Verdict.Crashes; len(crashes) > 0 {
		t.Errorf("crashes: got %v, want none\n%s", crashes, script)
	}
	t.Logf("service %.3f, %d requests, highest memory %d MiB", result.Verdict.Service, result.Verdict.Requests, result.Memory>>20)
}

// faultScenario is the script of the rehearsal, without the faults.
const faultScenario = `
title "Faults between sidecars"
length 20s
tier slot-keeper boxes 16 cells 4 cores 2 slots 4 queue 6 conns 100
tier slot-keeper work 20ms shape lognormal cv 0.8 cold 0.4 warm 3s
class find-slot effect safe aim 2s deadline 5s share 2
class take-slot effect keyed scope cell window 20s aim 2s deadline 5s
sidecars count 7 memory 80MiB sockets 512 peers yes
callers rate 60/s shape steady retries 1 patience 0.8 backoff 300ms
%s
`
