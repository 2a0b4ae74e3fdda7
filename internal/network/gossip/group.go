package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/config/appfile"
	"quincegap/internal/modules/peers"
)

// Group is this sidecar among the others. Its methods may be called by several goroutines.
type Group struct {
	config    Config
	process   uint64
	startedAt time.Time
	list      *memberlist.Memberlist
	keyring   *memberlist.Keyring // nil without encryption
	queue     memberlist.TransmitLimitedQueue
	nodes     atomic.Int64 // that memberlist knows

	rejections      *rejections
	libraryLog      *libraryLog
	pendingAnswers  *pendingAnswers
	queries         chan func()   // answers that the loop is to give
	metadataChanged chan struct{} // memberlist is to announce new metadata
	joining         atomic.Bool   // an attempt to join is running
	stop            context.CancelFunc
	loopDone        chan struct{}

	mu           sync.Mutex // never held while memberlist is called
	view         *peers.View
	joinSchedule *peers.JoinSchedule
	addresses    map[uint64]string // of the processes that are reached
	announced    peers.Record      // this member's record, as it was broadcast last
	reannounce   bool              // it is to be broadcast once more
	exchangeWith string            // the address of a member whose view differs; empty for none
	lastDispute  time.Duration     // when members that are said to be gone, and are reached, were last told so
	share        peers.Share       // as OnShare has it
	haveShare    bool
	lastSettled  []string // as OnSettled has it
}

// Open joins the others, or waits to be found by them. It returns an error if it can't have its address, and goes on trying if
// nobody answers.
func Open(c Config) (*Group, error) {
	g := newGroup(c)
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

// newGroup makes a group that has no network yet.
func newGroup(c Config) *Group {
	if c.Log == nil {
		c.Log = slog.Default()
	}
	rejections := newRejections()
	g := &Group{
		config:          c,
		process:         rand.Uint64() | 1, // 0 is no process
		startedAt:       time.Now(),
		rejections:      rejections,
		libraryLog:      &libraryLog{rejections: rejections, log: c.Log},
		pendingAnswers:  newPendingAnswers(),
		queries:         make(chan func(), maxPendingQueries),
		metadataChanged: make(chan struct{}, 1),
		loopDone:        make(chan struct{}),
		addresses:       map[uint64]string{},
	}
	g.announced = peers.Record{
		Process: g.process, Name: c.Name, BornMillis: time.Now().UnixMilli(), Zone: c.Zone, Version: c.Version, State: peers.Joining,
	}
	g.view = peers.New(g.announced, c.options(c.ExpectedMembers), 0)
	g.view.Resume(0, c.SettledNames)
	g.joinSchedule = peers.NewJoinSchedule(2*c.ProbeInterval, maxJoinBackoff, maxLearnedAddresses, appfile.SplitList(c.Join), c.KnownAddresses, g.process)
	g.queue = memberlist.TransmitLimitedQueue{
		RetransmitMult: suspicionMult, NumNodes: func() int { return max(1, int(g.nodes.Load())) },
	}
	return g
}

// now is the time on the clock of the view.
func (g *Group) now() time.Duration { return time.Since(g.startedAt) }

// nodeName is this member's name in memberlist.
func (g *Group) nodeName() string { return formatNodeName(g.config.Name, g.process) }

// formatNodeName is the name of a process in memberlist, where each restart is another node.
func formatNodeName(name string, process uint64) string {
	return name + "/" + peers.FormatProcess(process)
}

// Leave announces that this member ends, though it goes on serving the callers that it has.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetState(g.now(), peers.Leaving)
}

// Close announces that this member ends, and ends it. It takes a little more than leaveTimeout at most.
func (g *Group) Close() {
	g.Leave()
	g.stop()
	<-g.loopDone
	g.tick()                       // has the announcement broadcast
	_ = g.list.Leave(leaveTimeout) // a timeout: nobody is left to hear it
	_ = g.list.Shutdown()          // never fails with either of our transports
}
