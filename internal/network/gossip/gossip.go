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
	Name            string // of this sidecar, the same after a restart
	Application     string
	Version         string // of the program, for people
	ExpectedMembers int    // members that a file names
	Keys            [][]byte

	// SettledNames and Addresses are the group that an earlier life kept, and where its members were; nil for none.
	SettledNames, KnownAddresses []string

	Ready         func() bool                     // this sidecar serves by now; asked every tick until it does
	OnShare       func(peers.Share)               // a share that differs from the one before; called one at a time
	OnSettled     func(names, addresses []string) // a group that has settled, for a later life; nil for none
	FindAddresses func() ([]string, error)        // looks for addresses beside those of the file when some are to be tried; nil for none
	Log           *slog.Logger
	NewTransport  func() (memberlist.Transport, error) // in place of sockets, for tests; nil for those
}

const (
	ticksPerSettle      = 8 // looks at the view in each settle_after
	leaveTimeout        = 500 * time.Millisecond
	updateTimeout       = time.Second
	queryTimeout        = 2 * time.Second
	maxPendingQueries   = 8
	queryConcurrency    = 4 // connections for it
	dialTimeout         = 2 * time.Second
	maxJoinBackoff      = 20 * time.Second
	maxLearnedAddresses = 32
	warningInterval     = 10 * time.Second // at most so often one of memberlist's own complaints is logged
	suspicionMult       = 4                // paces, times the logarithm of the members, until a suspect that denies nothing is gone,
	suspicionMaxMult    = 2                // times that where nobody else suspects it too
	maxAwareness        = 3                // times as slow, at most, as one that thinks itself ill judges others: when most die at once, the rest think so
	exchangePaces       = 240              // paces between two full exchanges with one member: they grow with the members, and a difference is found by digests
)

// Group is this sidecar among the others. Its methods may be called by several goroutines.
type Group struct {
	config          Config
	process         uint64
	startedAt       time.Time
	list            *memberlist.Memberlist
	keyring         *memberlist.Keyring
	queue           memberlist.TransmitLimitedQueue
	nodes           atomic.Int64  // that memberlist knows
	queries         chan func()   // what must not be done from within memberlist
	metadataChanged chan struct{} // the metadata is to be told anew
	loopDone        chan struct{}
	stop            context.CancelFunc
	joining         atomic.Bool

	mu             sync.Mutex // never held while memberlist is called
	view           *peers.View
	joinSchedule   *peers.JoinSchedule
	addresses      map[uint64]string // addresses of those that are reached
	rejected       map[string]int    // by reason, of a fixed number
	lastWarning    time.Time         // last complaint of memberlist's that was passed on
	announced      peers.Record      // what was spread of this one
	reannounce     bool              // it is to be spread once more
	exchangeWith   string            // the address of a member whose view does
	lastDispute    time.Duration     // when members that are said to be gone, and are reached, were last told so
	share          peers.Share
	haveShare      bool
	lastSettled    []string
	pendingAnswers map[uint64]chan peers.Report // that are waited for
}

// Open joins the others, or waits to be found by them. It returns an error where its address cannot be had, and goes on trying
// where nobody answers.
func Open(c Config) (*Group, error) {
	if c.Log == nil {
		c.Log = slog.Default()
	}
	g := &Group{
		config: c, startedAt: time.Now(), queries: make(chan func(), maxPendingQueries), metadataChanged: make(chan struct{}, 1), loopDone: make(chan struct{}), addresses: map[uint64]string{},
		rejected: map[string]int{}, pendingAnswers: map[uint64]chan peers.Report{},
	}
	g.process = rand.Uint64() | 1
	self := peers.Record{Process: g.process, Name: c.Name, BornMillis: time.Now().UnixMilli(), Zone: c.Zone, Version: c.Version, State: peers.Joining}
	g.view = peers.New(self, c.options(c.ExpectedMembers), 0)
	g.view.Resume(0, c.SettledNames)
	g.announced = self
	g.joinSchedule = peers.NewJoinSchedule(2*c.ProbeInterval, maxJoinBackoff, maxLearnedAddresses, appfile.List(c.Join), c.KnownAddresses, g.process)
	g.queue = memberlist.TransmitLimitedQueue{RetransmitMult: suspicionMult, NumNodes: func() int { return max(1, int(g.nodes.Load())) }}
	if n := len(g.metadata()); n > memberlist.MetaMaxSize {
		return nil, fmt.Errorf("peers: the names of this sidecar, its application and zone take %d bytes, %d at most", n, memberlist.MetaMaxSize)
	}
	m, err := g.memberlistConfig()
	if err != nil {
		return nil, err
	}
	if g.list, err = memberlist.Create(m); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	go g.run(ctx)
	go g.announceMetadata(ctx)
	return g, nil
}

// announceMetadata tells memberlist of new metadata, which waits until others have heard it: apart from the ticks, which a wait would
// let seem a standstill.
func (g *Group) announceMetadata(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.metadataChanged:
			g.list.UpdateNode(updateTimeout) // late where nobody hears it; the next exchange carries it too
		}
	}
}

// memberlistConfig is memberlist's.
func (g *Group) memberlistConfig() (*memberlist.Config, error) {
	m := memberlist.DefaultLANConfig()
	m.Name = g.nodeName()
	m.ProbeInterval, m.ProbeTimeout = g.config.ProbeInterval, g.config.ProbeInterval/2
	m.SuspicionMult, m.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxMult
	m.AwarenessMaxMultiplier = maxAwareness
	m.PushPullInterval = exchangePaces * g.config.ProbeInterval
	m.GossipInterval = max(g.config.ProbeInterval/5, 20*time.Millisecond)
	m.TCPTimeout = dialTimeout
	m.Delegate, m.Events, m.Alive, m.Merge, m.Ping = g, g, g, g, g
	m.Logger = log.New(libraryLog{g}, "", 0)
	m.DNSConfigPath = ""
	if len(g.config.Keys) > 0 {
		var err error
		if g.keyring, err = memberlist.NewKeyring(g.config.Keys, g.config.Keys[0]); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		m.Keyring = g.keyring
	}
	if g.config.NewTransport != nil {
		t, err := g.config.NewTransport()
		m.Transport = t
		return m, err
	}
	at, err := net.ResolveUDPAddr("udp", g.config.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	m.BindAddr, m.BindPort = at.IP.String(), at.Port
	m.AdvertisePort = at.Port
	if g.config.Advertise != "" {
		told, err := net.ResolveUDPAddr("udp", g.config.Advertise)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		m.AdvertiseAddr, m.AdvertisePort = told.IP.String(), told.Port
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{m.BindAddr}, BindPort: m.BindPort, Logger: m.Logger})
	if err != nil {
		return nil, fmt.Errorf("peers: %s: %w", g.config.Listen, err)
	}
	m.Transport = newBoundedTransport(t, at.IP)
	return m, nil
}

func (g *Group) now() time.Duration { return time.Since(g.startedAt) }

// run does what is due, until ctx ends.
func (g *Group) run(ctx context.Context) {
	defer close(g.loopDone)
	tick := time.NewTicker(max(g.config.SettleAfter/ticksPerSettle, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-g.queries:
			do()
		case <-tick.C:
			g.tick()
		}
	}
}

func (g *Group) tick() {
	ready := g.config.Ready == nil || g.config.Ready()
	g.mu.Lock()
	now := g.now()
	if ready && g.view.Self().State == peers.Joining {
		g.view.SetState(now, peers.Serving)
	}
	g.broadcast(g.view.Tick(now)...)
	self := g.view.Self()
	fresh := self != g.announced
	if fresh || g.reannounce {
		g.announced, g.reannounce = self, false
		g.broadcast(self)
	}
	var disputed []peers.Record
	if now-g.lastDispute >= g.config.ProbeInterval {
		disputed, g.lastDispute = g.view.Disputed(), now
	}
	share, ok := g.view.Share(now)
	moved := ok && (!g.haveShare || !share.Equal(&g.share) || share.Confidence != g.share.Confidence)
	if moved {
		g.share, g.haveShare = share, true
	}
	var keep, addresses []string
	if moved && g.config.OnSettled != nil {
		if names := g.view.SettledGroup(); names != nil && !slices.Equal(names, g.lastSettled) {
			keep, addresses, g.lastSettled = names, g.joinSchedule.Learned(), names
		}
	}
	missing := !ok || share.Confidence == peers.Partitioned
	due := g.joinSchedule.Due(now, missing)
	differs := g.exchangeWith
	g.exchangeWith = ""
	changes := g.view.TakeChanges()
	g.mu.Unlock()
	g.logChanges(changes)
	if moved {
		g.config.Log.Info("peers", "confidence", share.Confidence, "instances", share.Instances, "ordinal", share.Ordinal, "sharing", share.MaxInstances, "placed", share.OwnsName)
		g.config.OnShare(share)
	}
	if keep != nil {
		g.config.OnSettled(keep, addresses)
	}
	g.sendDisputed(disputed)
	if fresh {
		select {
		case g.metadataChanged <- struct{}{}:
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
	if g.config.FindAddresses != nil && missing {
		if found, err = g.config.FindAddresses(); err != nil {
			g.config.Log.Warn("peers", "trouble", "no addresses were found: "+err.Error())
		}
	}
	g.mu.Lock()
	if err == nil && found != nil {
		g.joinSchedule.SetDiscovered(found)
	}
	try := g.joinSchedule.NextAddresses(g.reachable)
	g.mu.Unlock()
	if len(try) == 0 {
		return
	}
	if n, _ := g.list.Join(try); n > 0 {
		g.mu.Lock()
		g.joinSchedule.ResetBackoff()
		g.mu.Unlock()
	}
}

// reachable tells whether an address is a member's that is reached, or the own one. g.mu is held.
func (g *Group) reachable(address string) bool {
	if address == g.config.Listen || address == g.config.Advertise {
		return true
	}
	for _, a := range g.addresses {
		if a == address {
			return true
		}
	}
	return false
}

// sendDisputed tells members what is said of them.
func (g *Group) sendDisputed(disputed []peers.Record) {
	if len(disputed) == 0 {
		return
	}
	nodes := map[string]*memberlist.Node{}
	for _, n := range g.list.Members() {
		nodes[n.Name] = n
	}
	for _, r := range disputed {
		if n := nodes[formatNodeName(r.Name, r.Process)]; n != nil {
			g.list.SendBestEffort(n, g.encodeRecords(r)) // one that is lost is told again
		}
	}
}

func formatNodeName(name string, process uint64) string {
	return name + "/" + peers.FormatProcess(process)
}

func (g *Group) logChanges(changes []peers.Change) {
	for _, c := range changes {
		from := c.From.String()
		if c.From == 0 {
			from = "new"
		}
		g.config.Log.Info("peer", "name", c.Name, "process", peers.FormatProcess(c.Process), "from", from, "to", c.To.String(), "cause", c.Cause, "witness", c.Witness)
	}
}

// broadcast tells the others records; g.mu is held, or nobody else knows of g.
func (g *Group) broadcast(records ...peers.Record) {
	for _, r := range records {
		g.queue.QueueBroadcast(recordBroadcast{r.Process, g.encodeRecords(r)})
	}
}

func (g *Group) encodeRecords(records ...peers.Record) []byte {
	e := envelope{application: g.config.Application, records: records, witness: g.config.Name}
	return e.encode()
}

// recordBroadcast is a record on its way; a later one of the same process takes its place.
type recordBroadcast struct {
	process uint64
	message []byte
}

func (t recordBroadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(recordBroadcast)
	return ok && other.process == t.process
}
func (t recordBroadcast) Name() string    { return peers.FormatProcess(t.process) }
func (t recordBroadcast) Message() []byte { return t.message }
func (t recordBroadcast) Finished()       {}

func (g *Group) metadata() []byte { return g.encodeRecords(g.announced) }

// reject counts what is not let in. Reasons are few, and none of the peer's words.
func (g *Group) reject(reason string) {
	g.mu.Lock()
	g.rejected[reason]++
	g.mu.Unlock()
}

// decodeOwn reads an envelope of this application; reason says why it is none.
func (g *Group) decodeOwn(b []byte) (e *envelope, reason string) {
	e, err := decode(b)
	switch {
	case err != nil:
		return nil, "spoilt"
	case e.format != format:
		return nil, "other format"
	case e.application != g.config.Application:
		return nil, "other application"
	}
	return e, ""
}

// merge takes records in. g.mu is held.
func (g *Group) merge(e *envelope) {
	for _, r := range e.records {
		switch news := g.view.Merge(g.now(), r, e.witness); {
		case news && r.Process == g.process:
			g.reannounce = true // with the next tick, however much is heard until then
		case news:
			g.broadcast(r)
		}
	}
}

// The methods below are memberlist's delegates. They are called with its locks held: they neither wait nor call it.

// NodeMeta is what memberlist tells of this one with its name.
func (g *Group) NodeMeta(limit int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.metadata(); len(m) <= limit {
		return m
	}
	return nil
}

// NotifyMsg takes a message of a member.
func (g *Group) NotifyMsg(b []byte) {
	e := g.receive(b)
	if e == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.query != 0 {
		select {
		case g.queries <- func() { g.answer(e.witness, e.query) }:
		default: // asked more often than anybody looks
			g.rejected["asked too often"]++
		}
	}
	if waits := g.pendingAnswers[e.answer]; waits != nil {
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
	return g.encodeRecords(g.view.Records()...)
}

// MergeRemoteState takes all that another knows.
func (g *Group) MergeRemoteState(b []byte, join bool) { g.receive(b) }

// acceptStreams takes the records of a message in; nil for one that is refused.
func (g *Group) receive(b []byte) *envelope {
	e, reason := g.decodeOwn(b)
	if reason != "" {
		g.reject(reason)
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(e)
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
	if g.view.ShouldExchange(g.now(), binary.LittleEndian.Uint64(payload)) {
		g.exchangeWith = n.Address()
	}
}

// NotifyAlive refuses whoever is not of this application, or beyond what may be known.
func (g *Group) NotifyAlive(n *memberlist.Node) error {
	_, reason := g.decodeOwn(n.Meta)
	if reason == "" && int(g.nodes.Load()) >= g.config.MaxMembers {
		reason = "beyond peers_most"
	}
	if reason == "" {
		return nil
	}
	g.reject(reason)
	return fmt.Errorf("%s: %s", n.Address(), reason)
}

// NotifyMerge refuses a whole list in which somebody is of another application: its members would be told of ours.
func (g *Group) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if _, reason := g.decodeOwn(n.Meta); reason != "" {
			g.reject(reason)
			return fmt.Errorf("%s: %s", n.Address(), reason)
		}
	}
	return nil
}

// NotifyJoin takes a member that memberlist reaches by now.
func (g *Group) NotifyJoin(n *memberlist.Node) {
	g.nodes.Add(1)
	g.memberReachable(n)
}

// NotifyUpdate takes a member's new metadata.
func (g *Group) NotifyUpdate(n *memberlist.Node) { g.memberReachable(n) }

func (g *Group) memberReachable(n *memberlist.Node) {
	e := g.decodeMetadata(n)
	if e == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	process := e.records[0].Process
	g.merge(e)
	g.addresses[process] = n.Address()
	g.joinSchedule.Learn(n.Address())
	g.view.MarkReachable(g.now(), process)
}

// NotifyLeave takes a member that memberlist gave up, or that left.
func (g *Group) NotifyLeave(n *memberlist.Node) {
	g.nodes.Add(-1)
	e := g.decodeMetadata(n)
	if e == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	process := e.records[0].Process
	delete(g.addresses, process)
	if r, ok := g.view.MarkUnreachable(g.now(), process); ok {
		g.broadcast(r)
	}
}

// decodeMetadata reads the one record in a node's metadata; nil for this member itself, and for one that says nothing of itself.
func (g *Group) decodeMetadata(n *memberlist.Node) *envelope {
	e, reason := g.decodeOwn(n.Meta)
	if reason != "" || len(e.records) != 1 || n.Name == g.nodeName() {
		return nil
	}
	return e
}

// ReplaceKeys takes the keys of a file that was read again.
func (g *Group) ReplaceKeys(keys [][]byte) error {
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
	g.view.SetState(g.now(), peers.Leaving)
}

// Close ends it, and says so to the others.
func (g *Group) Close() {
	g.Leave()
	g.stop()
	<-g.loopDone
	g.tick()
	g.list.Leave(leaveTimeout)
	g.list.Shutdown()
}

// Report is this member's view.
func (g *Group) Report() peers.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.view.Report(g.now(), func(process uint64) string { return g.addresses[process] })
	for reason, n := range g.rejected {
		r.Rejected[reason] = n
	}
	return r
}

// Fleet asks all others that are reached for theirs.
func (g *Group) Fleet() peers.FleetReport {
	f := peers.FleetReport{Own: g.Report()}
	token := rand.Uint64() | 1
	nodes := g.list.Members()
	got := make(chan peers.Report, len(nodes))
	g.mu.Lock()
	g.pendingAnswers[token] = got
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.pendingAnswers, token)
		g.mu.Unlock()
	}()
	e := envelope{application: g.config.Application, witness: g.nodeName(), query: token}
	ask, waits := e.encode(), map[string]bool{}
	next := make(chan *memberlist.Node, len(nodes))
	for _, n := range nodes {
		if n.Name != g.nodeName() {
			waits[n.Name] = true
			next <- n
		}
	}
	close(next)
	for range queryConcurrency {
		go func() {
			for n := range next {
				g.list.SendReliable(n, ask) // who does not take it gives no answer
			}
		}()
	}
	late := time.NewTimer(queryTimeout)
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
		f.Unresponsive = append(f.Unresponsive, name)
	}
	slices.Sort(f.Unresponsive)
	slices.SortFunc(f.Others, func(a, b peers.Report) int { return strings.Compare(a.Name+a.Process, b.Name+b.Process) })
	return f
}

func (g *Group) nodeName() string { return formatNodeName(g.config.Name, g.process) }

// answer gives whoever asks this member's view.
func (g *Group) answer(name string, token uint64) {
	text, err := json.Marshal(g.Report())
	if err != nil {
		return
	}
	e := envelope{application: g.config.Application, witness: g.config.Name, answer: token, report: text}
	for _, n := range g.list.Members() {
		if n.Name == name {
			go g.list.SendReliable(n, e.encode())
			return
		}
	}
}

// libraryLog takes memberlist's own log. Of what it complains of, one line in a while is passed on.
type libraryLog struct{ group *Group }

func (c libraryLog) Write(line []byte) (int, error) {
	text := string(line)
	if !strings.HasPrefix(text, "[ERR]") && !strings.HasPrefix(text, "[WARN]") || strings.Contains(text, "alive message") {
		return len(line), nil
	}
	c.group.mu.Lock()
	reason := "network"
	if strings.Contains(text, "crypt") {
		reason = "other key" // it has no delegate for that
	}
	c.group.rejected[reason]++
	say := time.Since(c.group.lastWarning) >= warningInterval
	if say {
		c.group.lastWarning = time.Now()
	}
	c.group.mu.Unlock()
	if say {
		c.group.config.Log.Warn("peers", "trouble", strings.TrimSpace(text[:min(len(text), 300)]))
	}
	return len(line), nil
}
