// Package gossip spreads a sidecar's view of the others (internal/modules/peers) by memberlist: SWIM with Lifeguard finds who
// is reached, its broadcasts and full exchanges carry our records. What the records mean is the view's to say.
//
// Whoever is of another application, or speaks another format, is refused and counted; whoever has another key is not heard.
package gossip

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/config/appfile"
	"quincegap/internal/modules/peers"
)

// Config is what a Group is made of.
type Config struct {
	Settings
	Name        string // of this sidecar, the same after a restart
	Application string
	Version     string // of the program, for people
	Expected    int    // members that a file names
	Keys        [][]byte

	// Names and Addresses are the group that an earlier life kept, and where its members were; nil for none.
	Names, Addresses []string

	Ready   func() bool                     // this sidecar serves by now; asked every tick until it does
	Changed func(peers.Share)               // a share that differs from the one before; called one at a time
	Keep    func(names, addresses []string) // a group that has settled, for a later life; nil for none
	Find    func() ([]string, error)        // looks for addresses beside those of the file when some are to be tried; nil for none
	Log     *slog.Logger
	Network func() (memberlist.Transport, error) // in place of sockets, for tests; nil for those
}

const (
	ticksASettle  = 8 // looks at the view in each settle_after
	leaveWait     = 500 * time.Millisecond
	updateWait    = time.Second
	askWait       = 2 * time.Second
	asksWaiting   = 8
	asksAtOnce    = 4 // connections for it
	dialWait      = 2 * time.Second
	rejoinLongest = 20 * time.Second
	rejoinMost    = 32
	troubleEvery  = 10 * time.Second // at most so often one of memberlist's own complaints is logged
	suspicionMult = 4                // paces, times the logarithm of the members, until a suspect that denies nothing is gone,
	suspicionMax  = 2                // times that where nobody else suspects it too
	awarenessMost = 3                // times as slow, at most, as one that thinks itself ill judges others: when most die at once, the rest think so
	exchangeEvery = 240              // paces between two full exchanges with one member: they grow with the members, and a difference is found by digests
)

// Group is this sidecar among the others. Its methods may be called by several goroutines.
type Group struct {
	c       Config
	process uint64
	began   time.Time
	list    *memberlist.Memberlist
	keyring *memberlist.Keyring
	queue   memberlist.TransmitLimitedQueue
	nodes   atomic.Int64  // that memberlist knows
	work    chan func()   // what must not be done from within memberlist
	update  chan struct{} // the metadata is to be told anew
	ended   chan struct{}
	stop    context.CancelFunc
	joining atomic.Bool

	mu      sync.Mutex // never held while memberlist is called
	view    *peers.View
	rejoin  *peers.Rejoin
	at      map[uint64]string // addresses of those that are reached
	refused map[string]int    // by reason, of a fixed number
	logged  time.Time         // last complaint of memberlist's that was passed on
	told    peers.Record      // what was spread of this one
	again   bool              // it is to be spread once more
	differs string            // the address of a member whose view does
	argued  time.Duration     // when members that are said to be gone, and are reached, were last told so
	share   peers.Share
	shared  bool
	kept    []string
	answers map[uint64]chan peers.Report // that are waited for
}

// Open joins the others, or waits to be found by them. It returns an error where its address cannot be had, and goes on trying
// where nobody answers.
func Open(c Config) (*Group, error) {
	if c.Log == nil {
		c.Log = slog.Default()
	}
	g := &Group{
		c: c, began: time.Now(), work: make(chan func(), asksWaiting), update: make(chan struct{}, 1), ended: make(chan struct{}), at: map[uint64]string{},
		refused: map[string]int{}, answers: map[uint64]chan peers.Report{},
	}
	g.process = rand.Uint64() | 1
	self := peers.Record{Process: g.process, Name: c.Name, Born: time.Now().UnixMilli(), Zone: c.Zone, Version: c.Version, State: peers.Joining}
	g.view = peers.New(self, c.options(c.Expected), 0)
	g.view.Resume(0, c.Names)
	g.told = self
	g.rejoin = peers.NewRejoin(2*c.Pace, rejoinLongest, rejoinMost, appfile.List(c.Join), c.Addresses, g.process)
	g.queue = memberlist.TransmitLimitedQueue{RetransmitMult: suspicionMult, NumNodes: func() int { return max(1, int(g.nodes.Load())) }}
	if n := len(g.meta()); n > memberlist.MetaMaxSize {
		return nil, fmt.Errorf("peers: the names of this sidecar, its application and zone take %d bytes, %d at most", n, memberlist.MetaMaxSize)
	}
	m, err := g.config()
	if err != nil {
		return nil, err
	}
	if g.list, err = memberlist.Create(m); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	go g.run(ctx)
	go g.updates(ctx)
	return g, nil
}

// updates tells memberlist of new metadata, which waits until others have heard it: apart from the ticks, which a wait would
// let seem a standstill.
func (g *Group) updates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.update:
			g.list.UpdateNode(updateWait) // late where nobody hears it; the next exchange carries it too
		}
	}
}

// config is memberlist's.
func (g *Group) config() (*memberlist.Config, error) {
	m := memberlist.DefaultLANConfig()
	m.Name = g.node()
	m.ProbeInterval, m.ProbeTimeout = g.c.Pace, g.c.Pace/2
	m.SuspicionMult, m.SuspicionMaxTimeoutMult = suspicionMult, suspicionMax
	m.AwarenessMaxMultiplier = awarenessMost
	m.PushPullInterval = exchangeEvery * g.c.Pace
	m.GossipInterval = max(g.c.Pace/5, 20*time.Millisecond)
	m.TCPTimeout = dialWait
	m.Delegate, m.Events, m.Alive, m.Merge, m.Ping = g, g, g, g, g
	m.Logger = log.New(complaints{g}, "", 0)
	m.DNSConfigPath = ""
	if len(g.c.Keys) > 0 {
		var err error
		if g.keyring, err = memberlist.NewKeyring(g.c.Keys, g.c.Keys[0]); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		m.Keyring = g.keyring
	}
	if g.c.Network != nil {
		t, err := g.c.Network()
		m.Transport = t
		return m, err
	}
	at, err := net.ResolveUDPAddr("udp", g.c.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	m.BindAddr, m.BindPort = at.IP.String(), at.Port
	m.AdvertisePort = at.Port
	if g.c.Advertise != "" {
		told, err := net.ResolveUDPAddr("udp", g.c.Advertise)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		m.AdvertiseAddr, m.AdvertisePort = told.IP.String(), told.Port
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{m.BindAddr}, BindPort: m.BindPort, Logger: m.Logger})
	if err != nil {
		return nil, fmt.Errorf("peers: %s: %w", g.c.Listen, err)
	}
	m.Transport = newBound(t, at.IP)
	return m, nil
}

func (g *Group) now() time.Duration { return time.Since(g.began) }

// run does what is due, until ctx ends.
func (g *Group) run(ctx context.Context) {
	defer close(g.ended)
	tick := time.NewTicker(max(g.c.SettleAfter/ticksASettle, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-g.work:
			do()
		case <-tick.C:
			g.tick()
		}
	}
}

func (g *Group) tick() {
	ready := g.c.Ready == nil || g.c.Ready()
	g.mu.Lock()
	now := g.now()
	if ready && g.view.Self().State == peers.Joining {
		g.view.Become(now, peers.Serving)
	}
	g.spread(g.view.Tick(now)...)
	self := g.view.Self()
	fresh := self != g.told
	if fresh || g.again {
		g.told, g.again = self, false
		g.spread(self)
	}
	var disputed []peers.Record
	if now-g.argued >= g.c.Pace {
		disputed, g.argued = g.view.Disputed(), now
	}
	share, ok := g.view.Share(now)
	moved := ok && (!g.shared || !share.Equal(&g.share) || share.Confidence != g.share.Confidence)
	if moved {
		g.share, g.shared = share, true
	}
	var keep, addresses []string
	if moved && g.c.Keep != nil {
		if names := g.view.Group(); names != nil && !slices.Equal(names, g.kept) {
			keep, addresses, g.kept = names, g.rejoin.Learnt(), names
		}
	}
	missing := !ok || share.Confidence == peers.Part
	due := g.rejoin.Due(now, missing)
	differs := g.differs
	g.differs = ""
	changes := g.view.Changes()
	g.mu.Unlock()
	g.log(changes)
	if moved {
		g.c.Log.Info("peers", "confidence", share.Confidence, "instances", share.Instances, "ordinal", share.Ordinal, "sharing", share.Sharing, "placed", share.Placed)
		g.c.Changed(share)
	}
	if keep != nil {
		g.c.Keep(keep, addresses)
	}
	g.argue(disputed)
	if fresh {
		select {
		case g.update <- struct{}{}:
		default: // the one that waits takes this one's news along
		}
	}
	if (due || differs != "") && !g.joining.Swap(true) {
		go func() {
			defer g.joining.Store(false)
			if differs != "" {
				g.list.Join([]string{differs}) // a full exchange; with one that is gone by now it fails
			}
			if due {
				g.join(missing)
			}
		}()
	}
}

// join looks for addresses where somebody is missing, and tries some.
func (g *Group) join(missing bool) {
	var found []string
	var err error
	if g.c.Find != nil && missing {
		if found, err = g.c.Find(); err != nil {
			g.c.Log.Warn("peers", "trouble", "no addresses were found: "+err.Error())
		}
	}
	g.mu.Lock()
	if err == nil && found != nil {
		g.rejoin.Found(found)
	}
	try := g.rejoin.Try(g.inReach)
	g.mu.Unlock()
	if len(try) == 0 {
		return
	}
	if n, _ := g.list.Join(try); n > 0 {
		g.mu.Lock()
		g.rejoin.Met()
		g.mu.Unlock()
	}
}

// inReach tells whether an address is a member's that is reached, or the own one. g.mu is held.
func (g *Group) inReach(address string) bool {
	if address == g.c.Listen || address == g.c.Advertise {
		return true
	}
	for _, a := range g.at {
		if a == address {
			return true
		}
	}
	return false
}

// argue tells members what is said of them.
func (g *Group) argue(disputed []peers.Record) {
	if len(disputed) == 0 {
		return
	}
	nodes := map[string]*memberlist.Node{}
	for _, n := range g.list.Members() {
		nodes[n.Name] = n
	}
	for _, r := range disputed {
		if n := nodes[nodeName(r.Name, r.Process)]; n != nil {
			g.list.SendBestEffort(n, g.envelope(r)) // one that is lost is told again
		}
	}
}

func nodeName(name string, process uint64) string { return name + "/" + peers.Hex(process) }

func (g *Group) log(changes []peers.Change) {
	for _, c := range changes {
		from := c.From.String()
		if c.From == 0 {
			from = "new"
		}
		g.c.Log.Info("peer", "name", c.Name, "process", peers.Hex(c.Process), "from", from, "to", c.To.String(), "cause", c.Cause, "witness", c.Witness)
	}
}

// spread tells the others records; g.mu is held, or nobody else knows of g.
func (g *Group) spread(records ...peers.Record) {
	for _, r := range records {
		g.queue.QueueBroadcast(told{r.Process, g.envelope(r)})
	}
}

func (g *Group) envelope(records ...peers.Record) []byte {
	e := envelope{application: g.c.Application, records: records, witness: g.c.Name}
	return e.encode()
}

// told is a record on its way; a later one of the same process takes its place.
type told struct {
	process uint64
	text    []byte
}

func (t told) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(told)
	return ok && other.process == t.process
}
func (t told) Name() string    { return peers.Hex(t.process) }
func (t told) Message() []byte { return t.text }
func (t told) Finished()       {}

func (g *Group) meta() []byte { return g.envelope(g.told) }

// refuse counts what is not let in. Reasons are few, and none of the peer's words.
func (g *Group) refuse(reason string) {
	g.mu.Lock()
	g.refused[reason]++
	g.mu.Unlock()
}

// own reads an envelope of this application; reason says why it is none.
func (g *Group) own(b []byte) (e *envelope, reason string) {
	e, err := decode(b)
	switch {
	case err != nil:
		return nil, "spoilt"
	case e.format != format:
		return nil, "other format"
	case e.application != g.c.Application:
		return nil, "other application"
	}
	return e, ""
}

// hear takes records in. g.mu is held.
func (g *Group) hear(e *envelope) {
	for _, r := range e.records {
		switch news := g.view.Hear(g.now(), r, e.witness); {
		case news && r.Process == g.process:
			g.again = true // with the next tick, however much is heard until then
		case news:
			g.spread(r)
		}
	}
}

// The methods below are memberlist's delegates. They are called with its locks held: they neither wait nor call it.

// NodeMeta is what memberlist tells of this one with its name.
func (g *Group) NodeMeta(limit int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.meta(); len(m) <= limit {
		return m
	}
	return nil
}

// NotifyMsg takes a message of a member.
func (g *Group) NotifyMsg(b []byte) {
	e := g.take(b)
	if e == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.ask != 0 {
		select {
		case g.work <- func() { g.answer(e.witness, e.ask) }:
		default: // asked more often than anybody looks
			g.refused["asked too often"]++
		}
	}
	if waits := g.answers[e.answer]; waits != nil {
		var r peers.Report
		if json.Unmarshal(e.report, &r) == nil {
			select {
			case waits <- r:
			default:
			}
		}
	}
}

// GetBroadcasts is what is to be told.
func (g *Group) GetBroadcasts(overhead, limit int) [][]byte {
	return g.queue.GetBroadcasts(overhead, limit)
}

// LocalState is all that this one knows.
func (g *Group) LocalState(join bool) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.envelope(g.view.Records()...)
}

// MergeRemoteState takes all that another knows.
func (g *Group) MergeRemoteState(b []byte, join bool) { g.take(b) }

// take takes the records of a message in; nil for one that is refused.
func (g *Group) take(b []byte) *envelope {
	e, reason := g.own(b)
	if reason != "" {
		g.refuse(reason)
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hear(e)
	return e
}

// AckPayload goes with each answer to a probe: the digest of the own view.
func (g *Group) AckPayload() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return binary.LittleEndian.AppendUint64(nil, g.view.Digest(g.now()))
}

// NotifyPingComplete takes the digest of one that was probed. After a cut one may reach all others and be dead for them, which
// none of them finds out by asking for it.
func (g *Group) NotifyPingComplete(n *memberlist.Node, _ time.Duration, payload []byte) {
	if len(payload) != 8 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Differs(g.now(), binary.LittleEndian.Uint64(payload)) {
		g.differs = n.Address()
	}
}

// NotifyAlive refuses whoever is not of this application, or beyond what may be known.
func (g *Group) NotifyAlive(n *memberlist.Node) error {
	_, reason := g.own(n.Meta)
	if reason == "" && int(g.nodes.Load()) >= g.c.Most {
		reason = "beyond peers_most"
	}
	if reason == "" {
		return nil
	}
	g.refuse(reason)
	return fmt.Errorf("%s: %s", n.Address(), reason)
}

// NotifyMerge refuses a whole list in which somebody is of another application: its members would be told of ours.
func (g *Group) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if _, reason := g.own(n.Meta); reason != "" {
			g.refuse(reason)
			return fmt.Errorf("%s: %s", n.Address(), reason)
		}
	}
	return nil
}

// NotifyJoin takes a member that memberlist reaches by now.
func (g *Group) NotifyJoin(n *memberlist.Node) {
	g.nodes.Add(1)
	g.alive(n)
}

// NotifyUpdate takes a member's new metadata.
func (g *Group) NotifyUpdate(n *memberlist.Node) { g.alive(n) }

func (g *Group) alive(n *memberlist.Node) {
	e := g.who(n)
	if e == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	process := e.records[0].Process
	g.hear(e)
	g.at[process] = n.Address()
	g.rejoin.Learn(n.Address())
	g.view.Reached(g.now(), process)
}

// NotifyLeave takes a member that memberlist gave up, or that left.
func (g *Group) NotifyLeave(n *memberlist.Node) {
	g.nodes.Add(-1)
	e := g.who(n)
	if e == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	process := e.records[0].Process
	delete(g.at, process)
	if r, ok := g.view.Lost(g.now(), process); ok {
		g.spread(r)
	}
}

// who reads the one record in a node's metadata; nil for this member itself, and for one that says nothing of itself.
func (g *Group) who(n *memberlist.Node) *envelope {
	e, reason := g.own(n.Meta)
	if reason != "" || len(e.records) != 1 || n.Name == g.node() {
		return nil
	}
	return e
}

// Keys takes the keys of a file that was read again.
func (g *Group) Keys(keys [][]byte) error {
	if g.keyring == nil || len(keys) == 0 {
		return errors.New("peers: keys come and go with a start only")
	}
	for _, k := range keys {
		if err := g.keyring.AddKey(k); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	if err := g.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for _, k := range g.keyring.GetKeys() {
		if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
			if err := g.keyring.RemoveKey(k); err != nil {
				return fmt.Errorf("peers: %w", err)
			}
		}
	}
	return nil
}

// Leave tells the others that this one ends, though it goes on serving whom it has.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Become(g.now(), peers.Leaving)
}

// Close ends it, and says so to the others.
func (g *Group) Close() {
	g.Leave()
	g.stop()
	<-g.ended
	g.tick()
	g.list.Leave(leaveWait)
	g.list.Shutdown()
}

// Report is this member's view.
func (g *Group) Report() peers.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.view.Report(g.now(), func(process uint64) string { return g.at[process] })
	for reason, n := range g.refused {
		r.Refused[reason] = n
	}
	return r
}

// Fleet asks all others that are reached for theirs.
func (g *Group) Fleet() peers.Fleet {
	f := peers.Fleet{Own: g.Report()}
	token := rand.Uint64() | 1
	nodes := g.list.Members()
	got := make(chan peers.Report, len(nodes))
	g.mu.Lock()
	g.answers[token] = got
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.answers, token)
		g.mu.Unlock()
	}()
	e := envelope{application: g.c.Application, witness: g.node(), ask: token}
	ask, waits := e.encode(), map[string]bool{}
	next := make(chan *memberlist.Node, len(nodes))
	for _, n := range nodes {
		if n.Name != g.node() {
			waits[n.Name] = true
			next <- n
		}
	}
	close(next)
	for range asksAtOnce {
		go func() {
			for n := range next {
				g.list.SendReliable(n, ask) // who does not take it gives no answer
			}
		}()
	}
	late := time.NewTimer(askWait)
	defer late.Stop()
	for n := len(waits); n > 0; n-- {
		select {
		case r := <-got:
			f.Others = append(f.Others, r)
			delete(waits, r.Name+"/"+r.Process)
		case <-late.C:
			n = 0
		}
	}
	for name := range waits {
		f.Silent = append(f.Silent, name)
	}
	slices.Sort(f.Silent)
	slices.SortFunc(f.Others, func(a, b peers.Report) int { return strings.Compare(a.Name+a.Process, b.Name+b.Process) })
	return f
}

func (g *Group) node() string { return nodeName(g.c.Name, g.process) }

// answer gives whoever asks this member's view.
func (g *Group) answer(name string, token uint64) {
	text, err := json.Marshal(g.Report())
	if err != nil {
		return
	}
	e := envelope{application: g.c.Application, witness: g.c.Name, answer: token, report: text}
	for _, n := range g.list.Members() {
		if n.Name == name {
			go g.list.SendReliable(n, e.encode())
			return
		}
	}
}

// complaints takes memberlist's own log. Of what it complains of, one line in a while is passed on.
type complaints struct{ g *Group }

func (c complaints) Write(line []byte) (int, error) {
	text := string(line)
	if !strings.HasPrefix(text, "[ERR]") && !strings.HasPrefix(text, "[WARN]") || strings.Contains(text, "alive message") {
		return len(line), nil
	}
	c.g.mu.Lock()
	reason := "network"
	if strings.Contains(text, "crypt") {
		reason = "other key" // it has no delegate for that
	}
	c.g.refused[reason]++
	say := time.Since(c.g.logged) >= troubleEvery
	if say {
		c.g.logged = time.Now()
	}
	c.g.mu.Unlock()
	if say {
		c.g.c.Log.Warn("peers", "trouble", strings.TrimSpace(text[:min(len(text), 300)]))
	}
	return len(line), nil
}
