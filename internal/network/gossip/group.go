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

// Group is this sidecar's membership in the group of its peers. Its methods are safe for concurrent use.
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
	queries         chan func()   // answers for the loop to send
	metadataChanged chan struct{} // signals that memberlist has new metadata to announce
	joining         atomic.Bool   // an attempt to join is running
	stop            context.CancelFunc
	loopDone        chan struct{}

	mu           sync.Mutex // never held while memberlist is called
	view         *peers.View
	joinSchedule *peers.JoinSchedule
	addresses    map[uint64]string // of the processes that are reached
	announced    peers.Record      // this member's record as of the last broadcast
	reannounce   bool              // announced is to be broadcast once more
	exchangeWith string            // the address of a member whose view differs; empty for none
	lastDispute  time.Duration     // when disputed records were last sent, on the view's clock
	share        peers.Share       // as of the last call of OnShare
	haveShare    bool              // OnShare has been called
	lastSettled  []string          // as of the last call of OnSettled
}

// Open joins the others, or waits to be found by them. It returns an error if it can't listen on its address; if no peer answers, the
// group keeps trying to join. Close ends the group.
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

// newGroup returns a group without a network.
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
		Process:    g.process,
		Name:       c.Name,
		BornMillis: time.Now().UnixMilli(),
		Zone:       c.Zone,
		Version:    c.Version,
		State:      peers.Joining,
	}
	g.view = peers.New(g.announced, c.options(c.ExpectedMembers), 0)
	g.view.Resume(0, c.SettledNames)
	g.joinSchedule = peers.NewJoinSchedule(2*c.ProbeInterval, maxJoinBackoff, maxLearnedAddresses,
		appfile.SplitList(c.Join), c.KnownAddresses, g.process)
	g.queue = memberlist.TransmitLimitedQueue{
		RetransmitMult: suspicionMult,
		NumNodes:       func() int { return max(1, int(g.nodes.Load())) },
	}
	return g
}

// now returns the time on the view's clock, which starts with the group.
func (g *Group) now() time.Duration { return time.Since(g.startedAt) }

// nodeName returns this member's name in memberlist.
func (g *Group) nodeName() string { return formatNodeName(g.config.Name, g.process) }

// formatNodeName returns the name of a process in memberlist, where each restart is another node.
func formatNodeName(name string, process uint64) string {
	return name + "/" + peers.FormatProcess(process)
}

// Leave announces that this member is draining: it still serves the callers that it has.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetState(g.now(), peers.Leaving)
}

// Close announces that this member leaves, and ends the group. It takes a little more than leaveTimeout at most.
func (g *Group) Close() {
	g.Leave()
	g.stop()
	<-g.loopDone
	g.tick()                       // has the announcement broadcast
	_ = g.list.Leave(leaveTimeout) // fails by a timeout only, if no peer receives it
	_ = g.list.Shutdown()          // never fails with either of our transports
}
