package main

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
	"quincegap/internal/standin/relay"
)

// peersRig is a group of sidecar processes, its members, which find one another through relays and send requests to the endpoints of one
// application.
type peersRig struct {
	tb            testing.TB
	dir           string                   // the directory of the members' stores and admin sockets
	net           *relay.Network           // the network between the members, which can lose datagrams
	settingsFiles []string                 // the texts of the members' settings files
	members       []*process               // the members' processes; nil for a member that does not run
	urls          []atomic.Pointer[string] // the members' URLs; nil for a member that does not run
	ledger        *ledger                  // the executions at the endpoints
	began         time.Time                // the time to which those of events are relative
	events        []string                 // the events so far, for the report of a failure
}

// peersFile is the part of a member's settings file that sidecars outside of a group do not need.
const peersFile = `
[admin]
admin_listen = "unix:%s"

[memory]
memory_dir = %q

[peers]
peers_listen = %q
peers_advertise = %q
peers_join = %q
peers_key_file = %q
%s
`

// quickSettings are settings of [peers] with short intervals, which shorten a test. Benchmarks use the defaults.
const quickSettings = "peers_pace = \"200ms\"\nsettle_after = \"400ms\""

// memberPort is the port of the first rig's members. Each further rig of the process uses the next port.
const memberPort = 7900

// peersRigs is the number of rigs that this test process has made.
var peersRigs atomic.Int64

// memberAddresses returns the gossip addresses of a rig's members. No other rig or test process uses them, so that no free port has to be
// found: another program could use a port that was found and closed before the member listens on it.
func memberAddresses(size int) []string {
	process := os.Getpid()
	port := memberPort + int(peersRigs.Add(1)) - 1
	var addresses []string
	for i := range size {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d:%d", 221+process%30, process/30%256, i+1, port))
	}
	return addresses
}

// newPeersRig prepares a group of size sidecars. Method start starts them. The seed is that of the random faults of the network; settings
// are further lines of [peers].
func newPeersRig(tb testing.TB, size int, seed uint64, settings string) *peersRig {
	tb.Helper()
	rig := &peersRig{
		tb:      tb,
		dir:     tb.TempDir(),
		net:     relay.New(seed),
		members: make([]*process, size),
		urls:    make([]atomic.Pointer[string], size),
		ledger:  newLedger(),
		began:   time.Now(),
	}
	tb.Cleanup(rig.net.Close)
	discovery := startDiscovery(tb, startCells(tb, rig.ledger, 3, 4)...)
	key := filepath.Join(rig.dir, "key")
	writeFile(tb, key, base64.StdEncoding.EncodeToString([]byte("0123456789abcdef")))
	own := memberAddresses(size)
	var fronts []string
	for i := range size {
		front, err := rig.net.AddMember(memberName(i), fmt.Sprintf("127.0.8.%d:0", i+1), own[i])
		if err != nil {
			tb.Fatal(err)
		}
		fronts = append(fronts, front)
	}
	for i := range size {
		join := slices.DeleteFunc([]string{fronts[0], fronts[1]}, func(a string) bool { return a == fronts[i] })
		identity := fmt.Sprintf("instance = %q\ninstances = %d\nordinal = %d\n\n[discovery]", memberName(i), size, i)
		text := strings.Replace(fmt.Sprintf(sidecarFile, discovery.Address()), "[discovery]", identity, 1) + unsafeClass
		memory := filepath.Join(rig.dir, fmt.Sprint("m", i))
		text += fmt.Sprintf(peersFile, rig.admin(i), memory, own[i], fronts[i], strings.Join(join, ","), key, settings)
		rig.settingsFiles = append(rig.settingsFiles, text)
	}
	return rig
}

// memberName returns the name of the member with an index.
func memberName(i int) string { return fmt.Sprintf("front-%02d", i) }

// admin returns the path of the admin socket of the member with an index.
func (p *peersRig) admin(i int) string { return filepath.Join(p.dir, fmt.Sprint("s", i)) }

// logEvent records an event with the time since the rig was made.
func (p *peersRig) logEvent(format string, args ...any) {
	p.events = append(p.events, fmt.Sprintf("%6.2fs ", time.Since(p.began).Seconds())+fmt.Sprintf(format, args...))
}

// start starts the members with some indexes one after the other, and waits until each is ready.
func (p *peersRig) start(indexes ...int) {
	p.tb.Helper()
	for _, i := range indexes {
		p.logEvent("%s starts", memberName(i))
		p.members[i] = launch(p.tb, p.settingsFiles[i])
		p.urls[i].Store(&p.members[i].url)
		go func(member *process) { // the program would block if nobody read its log
			for range member.log {
			}
		}(p.members[i])
	}
}

// kill kills the members with some indexes, one after the other.
func (p *peersRig) kill(indexes ...int) {
	for _, i := range indexes {
		p.logEvent("%s is killed", memberName(i))
		p.urls[i].Store(nil)
		p.members[i].kill()
		p.members[i] = nil
	}
}

// view returns the group as the member with an index sees it; false if the member does not answer.
func (p *peersRig) view(i int) (peers.Report, bool) {
	members, err := admin.AskPeers(p.tb.Context(), "unix:"+p.admin(i), false)
	return members.Own, err == nil
}

// awaitViews waits until each of the asked members has the given confidence and sees a group of just the given members. what is the name of
// the event for a report.
func (p *peersRig) awaitViews(what string, confidence peers.Confidence, group []int, asked ...int) {
	p.tb.Helper()
	agreed := func() bool {
		for _, i := range asked {
			report, ok := p.view(i)
			if !ok || report.Confidence != confidence.String() || report.Instances != len(group) || !report.OwnsName || group[report.Ordinal] != i {
				return false
			}
		}
		return true
	}
	for deadline := time.Now().Add(4 * testTimeout); !agreed(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			var views strings.Builder
			for _, i := range asked {
				report, ok := p.view(i)
				fmt.Fprintf(&views, "%s: %v %+v\n", memberName(i), ok, report)
			}
			p.tb.Fatalf("waiting in vain until: %s\nevents:\n%s\nviews:\n%s", what, strings.Join(p.events, "\n"), views.String())
		}
	}
	p.logEvent("%s", what)
}

// callCounts counts calls by their outcome.
type callCounts struct {
	served   atomic.Int64 // calls with status 200
	rejected atomic.Int64 // calls with status 503
	failed   atomic.Int64 // calls with another status
	broken   atomic.Int64 // calls without a complete response
}

// startCallers has n callers book through the members that run until stop is called. Every second caller sends unsafe calls. A rejection
// promises that the call was not executed. Unsafe calls are therefore sent again after one too, and must still be executed only once.
func (p *peersRig) startCallers(n int) (counts *callCounts, stop func()) {
	counts = &callCounts{}
	done := make(chan struct{})
	var callers sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	for caller := range n {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(caller), 1))
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				default:
				}
				class, key := "book-trip", fmt.Sprintf("g-%d-%d", caller, k)
				if caller%2 == 1 {
					class, key = "pay-trip", ""
				}
				p.bookUntilAnswered(client, rng, counts, class, fmt.Sprintf("t-%d-%d", caller, k), key)
			}
		})
	}
	return counts, func() {
		close(done)
		callers.Wait()
	}
}

// bookUntilAnswered sends a booking to a random member that runs, and repeats it while it is rejected. Attempts of a booking with a key
// have different ids. Those of an unsafe booking, which has no key, have the same id, by which the ledger recognizes them.
func (p *peersRig) bookUntilAnswered(client *http.Client, rng *rand.Rand, counts *callCounts, class, id, key string) {
	for attempt := range 50 {
		url := p.urls[rng.IntN(len(p.urls))].Load()
		if url == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		txn := id
		if key != "" {
			txn += fmt.Sprint("-", attempt)
		}
		status, err := post(client, *url, class, txn, key, "trip")
		counts.count(status, err)
		if err != nil || status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// count counts a call by its status and error.
func (c *callCounts) count(status int, err error) {
	switch {
	case err != nil:
		c.broken.Add(1) // the sidecar was killed; whether the call was executed is unknown
	case status == http.StatusOK:
		c.served.Add(1)
	case status == http.StatusServiceUnavailable:
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}

// firstMembers returns the indexes and the names of the first n members.
func firstMembers(n int) (indexes []int, names []string) {
	for i := range n {
		indexes = append(indexes, i)
		names = append(names, memberName(i))
	}
	return indexes, names
}
