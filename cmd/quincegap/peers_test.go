package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// peersRig is a proving ground: sidecar processes that find one another through relays, before the endpoints of one
// application, with callers.
type peersRig struct {
	t       testing.TB
	dir     string
	net     *relay.Network
	texts   []string
	members []*process // nil for one that is dead
	urls    []atomic.Pointer[string]
	ledger  *ledger
	began   time.Time
	events  []string
}

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

// quickSettings are settings by which a test has not to wait for long; with none a bench plays by the defaults.
const quickSettings = "peers_pace = \"200ms\"\nsettle_after = \"400ms\""

func freePortAt(tb testing.TB, ip string) string {
	tb.Helper()
	for range 100 {
		l, err := listen(ip + ":0")
		if err != nil {
			tb.Fatal(err)
		}
		at := l.Addr().String()
		closeNow(l)
		u, err := new(net.ListenConfig).ListenPacket(context.Background(), "udp", at) // a port that is free for TCP may be another test's for UDP
		if err == nil {
			closeNow(u)
			return at
		}
	}
	tb.Fatalf("no port of %s is free", ip)
	return ""
}

func newPeersRig(tb testing.TB, n int, seed uint64, pace string) *peersRig {
	tb.Helper()
	l := &ledger{seen: map[string]bool{}, runs: map[string]int{}}
	g := &peersRig{t: tb, dir: tb.TempDir(), net: relay.New(seed), ledger: l, members: make([]*process, n), urls: make([]atomic.Pointer[string], n), began: time.Now()}
	tb.Cleanup(g.net.Close)
	d := startDiscovery(tb, cells(tb, l, 3, 4)...)
	key := filepath.Join(g.dir, "key")
	if err := os.WriteFile(key, []byte(base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))), 0o600); err != nil {
		tb.Fatal(err)
	}
	var own, fronts []string
	for i := range n {
		own = append(own, freePortAt(tb, fmt.Sprintf("127.0.7.%d", i+1)))
		front, err := g.net.AddMember(memberName(i), fmt.Sprintf("127.0.8.%d:0", i+1), own[i])
		if err != nil {
			tb.Fatal(err)
		}
		fronts = append(fronts, front)
	}
	for i := range n {
		join := slices.DeleteFunc([]string{fronts[0], fronts[1]}, func(a string) bool { return a == fronts[i] })
		text := strings.Replace(fmt.Sprintf(goodFile, d.Address()), "[discovery]", fmt.Sprintf("instance = %q\ninstances = %d\nordinal = %d\n\n[discovery]", memberName(i), n, i), 1) + unsafeClass +
			fmt.Sprintf(peersFile, g.admin(i), filepath.Join(g.dir, fmt.Sprint("m", i)), own[i], fronts[i], strings.Join(join, ","), key, pace)
		g.texts = append(g.texts, text)
	}
	return g
}

func memberName(i int) string { return fmt.Sprintf("front-%02d", i) }

func (g *peersRig) admin(i int) string { return filepath.Join(g.dir, fmt.Sprint("s", i)) }

func (g *peersRig) say(format string, args ...any) {
	g.events = append(g.events, fmt.Sprintf("%6.2fs ", time.Since(g.began).Seconds())+fmt.Sprintf(format, args...))
}

func (g *peersRig) start(is ...int) {
	g.t.Helper()
	for _, i := range is {
		g.say("%s starts", memberName(i))
		g.members[i] = launch(g.t, g.texts[i])
		g.urls[i].Store(&g.members[i].url)
		go func(p *process) { // nobody reads on: a full log would hold the program up
			for range p.log {
			}
		}(g.members[i])
	}
}

func (g *peersRig) kill(is ...int) {
	for _, i := range is {
		g.say("%s is killed", memberName(i))
		g.urls[i].Store(nil)
		g.members[i].kill()
		g.members[i] = nil
	}
}

// view is a member's; false where it gives none.
func (g *peersRig) view(i int) (peers.Report, bool) {
	f, err := admin.AskPeers(g.t.Context(), "unix:"+g.admin(i), false)
	return f.Own, err == nil
}

// until waits until each of some members has a view of just those, of a confidence.
func (g *peersRig) until(what string, confidence peers.Confidence, of []int, ask ...int) {
	g.t.Helper()
	holds := func() bool {
		for _, i := range ask {
			r, ok := g.view(i)
			if !ok || r.Confidence != confidence.String() || r.Instances != len(of) || !r.OwnsName || of[r.Ordinal] != i {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(4 * patience); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			var views strings.Builder
			for _, i := range ask {
				r, ok := g.view(i)
				fmt.Fprintf(&views, "%s: %v %+v\n", memberName(i), ok, r)
			}
			g.t.Fatalf("%s: never\n%s\n%s", what, strings.Join(g.events, "\n"), views.String())
		}
	}
	g.say("%s", what)
}

// tally is what callers got.
type tally struct {
	served, refused, failed, broken atomic.Int64
}

// callers book through all that live, keyed and unsafe, until calm is called. A refusal promises that the call did not run;
// so an unsafe one that is refused is sent again, and must not have happened twice.
func (g *peersRig) callers(n int) (got *tally, calm func()) {
	got = &tally{}
	done := make(chan struct{})
	var all sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	for c := range n {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c), 1))
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				default:
				}
				class, key := "book-trip", fmt.Sprintf("g-%d-%d", c, k)
				if c%2 == 1 {
					class, key = "pay-trip", ""
				}
				g.insist(client, rng, got, class, fmt.Sprintf("t-%d-%d", c, k), key)
			}
		})
	}
	return got, func() {
		close(done)
		all.Wait()
	}
}

// insist sends a booking to one that lives, drawn each time, again while it is refused. Of a keyed one each has another id; of an
// unsafe one the same, for the ledger goes by it.
func (g *peersRig) insist(client *http.Client, rng *rand.Rand, got *tally, class, id, key string) {
	for try := range 50 {
		url := g.urls[rng.IntN(len(g.urls))].Load()
		if url == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		txn := id
		if key != "" {
			txn += fmt.Sprint("-", try)
		}
		status, err := post(client, *url, class, txn, key, "trip")
		got.count(status, err)
		if err != nil || status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// count counts what a caller got.
func (t *tally) count(status int, err error) {
	switch {
	case err != nil:
		t.broken.Add(1) // killed under it, or before: nothing is promised
	case status == http.StatusOK:
		t.served.Add(1)
	case status == http.StatusServiceUnavailable:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

func firstMembers(n int) (is []int, names []string) {
	for i := range n {
		is, names = append(is, i), append(names, memberName(i))
	}
	return is, names
}

// Seven processes find one another, know of a cut into three and four, of one that stands still, of five that die at once and
// come back, while callers book through them; nothing happens twice, and all that are alive answer.
func TestSevenSidecarsUnderFaults(t *testing.T) {
	t.Parallel()
	const n = 7
	g := newPeersRig(t, n, 1, quickSettings)
	all, names := firstMembers(n)
	g.start(all...)
	g.until("seven are settled", peers.Settled, all, all...)
	got, calm := g.callers(6)
	g.net.Partition(names[:3], names[3:], true)
	g.net.Partition(names[3:], names[:3], true)
	g.say("cut into three and four")
	g.until("four are settled", peers.Settled, all[3:], all[3:]...)
	g.until("three know that they are a part", peers.Partitioned, all[:3], all[:3]...)
	g.net.Heal()
	g.say("healed")
	g.until("seven are one again", peers.Settled, all, all...)

	g.say("front-4 is heard by none")
	g.net.Partition(names[4:5], names, true)
	rest := slices.Delete(slices.Clone(all), 4, 5)
	g.until("six without it", peers.Settled, rest, rest...)
	g.net.Heal()
	g.until("it is back", peers.Settled, all, all...)

	g.say("front-2 stands still")
	g.members[2].signal(syscall.SIGSTOP)
	rest = slices.Delete(slices.Clone(all), 2, 3)
	g.until("six without it", peers.Settled, rest, rest...)
	g.members[2].signal(syscall.SIGCONT)
	g.until("it is back", peers.Settled, all, all...)

	g.net.SetFault(relay.Fault{LossShare: 0.1, DuplicateShare: 0.1, MaxDelay: 30 * time.Millisecond})
	g.say("datagrams are lost, doubled and late")
	g.kill(0, 1, 3, 5, 6)
	g.until("two know that they are what is left", peers.Partitioned, []int{2, 4}, 2, 4)
	before := got.served.Load()
	for end := time.Now().Add(patience); got.served.Load() < before+100; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the two that are left served %d calls", got.served.Load()-before)
		}
	}
	g.net.Heal()
	g.start(0, 1, 3, 5, 6)
	g.until("all are back", peers.Settled, all, all...)
	calm()
	f, err := admin.AskPeers(g.t.Context(), "unix:"+g.admin(0), true)
	if err != nil || len(f.Others) != n-1 || len(f.Differences()) > 0 {
		t.Errorf("all asked: %d others, %v, %v", len(f.Others), f.Differences(), err)
	}
	twice, ran := g.ledger.twice()
	t.Logf("%d served, %d refused, %d failed, %d broken; %d effects", got.served.Load(), got.refused.Load(), got.failed.Load(), got.broken.Load(), ran)
	if twice > 0 || int64(ran) < got.served.Load() {
		t.Errorf("%d of %d happened twice; %d were served", twice, ran, got.served.Load())
	}
	t.Log(strings.Join(g.events, "\n"))
}

// Two processes started from one file: the second one is told apart, and gets nobody's share.
func TestTwoProcessesOfOneName(t *testing.T) {
	t.Parallel()
	g := newPeersRig(t, 3, 1, quickSettings)
	second := strings.Replace(g.texts[0], "front-00", "front-01", 1) // of the name of another, elsewhere
	second = strings.Replace(second, "ordinal = 0", "ordinal = 1", 1)
	g.texts[0] = second
	g.start(1, 2)
	g.start(0)
	twice := func(i int) bool {
		r, ok := g.view(i)
		return ok && slices.Equal(r.DuplicateNames, []string{"front-01"})
	}
	for end := time.Now().Add(patience); !twice(0) || !twice(1) || !twice(2); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r0, _ := g.view(0)
			r1, _ := g.view(1)
			t.Fatalf("not seen by all:\n%+v\n%+v", r0, r1)
		}
	}
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		r0, _ := g.view(0)
		r1, _ := g.view(1)
		if !r0.OwnsName && r1.OwnsName && r1.Instances == 2 && r0.Instances == 3 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("shares:\n%+v\n%+v", r0, r1)
		}
	}
}

// Sidecar processes that find one another before boxes and callers, with faults that a seed draws between them: cuts, one that
// is heard by none, messages lost, late and doubled, sidecars killed and stopped. No rule is broken, and all have one view in
// the end. What went wrong is told with the lines that were drawn, and the views.
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

// rehearseFaults plays faulty sidecars as a seed draws them.
func rehearseFaults(t *testing.T, seed uint64) {
	t.Helper()
	lines := scenario.RandomFaults(seed, 7, time.Second, 16*time.Second)
	script := fmt.Sprintf(faultyMorning, strings.Join(lines, "\n"))
	var found finding.List
	m := scenario.Read("faults", []byte(script), &found)
	if m == nil {
		t.Fatalf("%v\n%s", found.Err(), script)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rehearse.Run(t.Context(), m.Plan(seed), rehearse.Options{Program: self, Env: []string{"BE_QUINCEGAP=1"}, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if r.DivergentViews != "" {
		t.Errorf("they are not one in the end:\n%s%s", r.DivergentViews, script)
	}
	if b := r.Verdict.Breaches; len(b) > 0 && r.Verdict.VoidReason == "" {
		t.Errorf("%v\n%s", b, script)
	}
	if c := r.Verdict.Crashes; len(c) > 0 {
		t.Errorf("%v\n%s", c, script)
	}
	t.Logf("service %.3f, %d requests, worst memory %d MiB", r.Verdict.Service, r.Verdict.Requests, r.Memory>>20)
}

const faultyMorning = `
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
