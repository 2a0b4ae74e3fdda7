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

// Group is this sidecar's membership in the group of its peers. Its exported methods are safe for concurrent use.
type Group struct {
	config    Config
	process   uint64
	startedAt time.Time
	list      *memberlist.Memberlist
	keyring   *memberlist.Keyring // nil without encryption
	queue     memberlist.TransmitLimitedQueue
	nodes     atomic.Int64 // number of nodes that memberlist considers alive

	rejections      *rejections
	libraryLog      *libraryLog
	pendingAnswers  *pendingAnswers
	queries         chan func()   // pending answers to queries, which the loop sends
	metadataChanged chan struct{} // signal that this node has new metadata to announce
	joining         atomic.Bool   // an attempt to join is running
	stop            context.CancelFunc
	loopDone        chan struct{}

	mu           sync.Mutex // never held while memberlist is called
	view         *peers.View
	joinSchedule *peers.JoinSchedule
	addresses    map[uint64]string // addresses of the reachable processes, by process
	announced    peers.Record      // this member's record as of its last broadcast
	reannounce   bool              // whether the next tick broadcasts announced again
	exchangeWith string            // address of a member whose view differs; empty for none
	lastDispute  time.Duration     // when disputed records were last sent, on the view's clock
	share        peers.Share       // the share that was last passed to OnShare
	haveShare    bool              // whether OnShare has been called
	lastSettled  []string          // the names that were last passed to OnSettled
}

// Open starts the group, which joins its peers in the background or waits until they join it. It returns an error if the configuration
// is invalid or it can't listen on its address. If no peer answers, the group keeps trying to join. The caller must call Close.
func Open(config Config) (*Group, error) {
	g := newGroup(config)
	if n := len(g.metadata()); n > memberlist.MetaMaxSize {
		return nil, fmt.Errorf("peers: metadata of %d bytes (name, application, zone and version) exceeds the limit of %d bytes",
			n, memberlist.MetaMaxSize)
	}
	m, err := g.memberlistConfig()
	if err != nil {
		return nil, err
	}
	if g.list, err = memberlist.Create(m); err != nil {
		return nil, fmt.Errorf("peers: create memberlist: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	go g.run(ctx)
	go g.announceMetadata(ctx)
	return g, nil
}

// newGroup returns a group that is not connected to a network.
func newGroup(config Config) *Group {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	rejections := newRejections()
	g := &Group{
		config:          config,
		process:         rand.Uint64() | 1, // never 0, which stands for no process
		startedAt:       time.Now(),
		rejections:      rejections,
		libraryLog:      &libraryLog{rejections: rejections, log: config.Log},
		pendingAnswers:  newPendingAnswers(),
		queries:         make(chan func(), maxPendingQueries),
		metadataChanged: make(chan struct{}, 1),
		loopDone:        make(chan struct{}),
		addresses:       map[uint64]string{},
	}
	g.announced = peers.Record{
		Process:    g.process,
		Name:       config.Name,
		BornMillis: time.Now().UnixMilli(),
		Zone:       config.Zone,
		Version:    config.Version,
		State:      peers.Joining,
	}
	g.view = peers.New(g.announced, config.options(config.ExpectedMembers), 0)
	g.view.Resume(0, config.SettledNames)
	g.joinSchedule = peers.NewJoinSchedule(2*config.ProbeInterval, maxJoinBackoff, maxLearnedAddresses,
		appfile.SplitList(config.Join), config.KnownAddresses, g.process)
	g.queue = memberlist.TransmitLimitedQueue{
		RetransmitMult: suspicionMult,
		NumNodes:       func() int { return max(1, int(g.nodes.Load())) },
	}
	return g
}

// now returns the time on the view's clock, which is 0 when the group is created.
func (g *Group) now() time.Duration { return time.Since(g.startedAt) }

// nodeName returns this member's name in memberlist.
func (g *Group) nodeName() string { return formatNodeName(g.config.Name, g.process) }

// formatNodeName returns the memberlist node name of a process. It is unique per process, so a restarted sidecar is a new node.
func formatNodeName(name string, process uint64) string {
	return name + "/" + peers.FormatProcess(process)
}

// Leave announces that this member is draining. It still serves its existing callers.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetState(g.now(), peers.Leaving)
}

// Close announces that this member leaves, and stops the group. It takes at most a little longer than leaveTimeout.
func (g *Group) Close() {
	g.Leave()
	g.stop()
	<-g.loopDone
	g.tick()                       // queues the broadcast of the announcement
	_ = g.list.Leave(leaveTimeout) // fails only by a timeout, if no peer receives the announcement
	_ = g.list.Shutdown()          // never fails with the socket transport or with the tests' transport
}
