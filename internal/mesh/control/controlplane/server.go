package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// maxInitialVoters is the maximum number of seeds that become voters at the system's first start.
const maxInitialVoters = 3

// Options configure a Server. Self, Transport and Log are required.
type Options struct {
	// Self is the name of this process: its control address "host:port", as in the seeds.
	Self string

	// Seeds are the names of the core processes in the operator's settings. At the first start of the whole system the first
	// three of them, sorted by name, become the voters; later this process asks the seeds for the current voters.
	Seeds []string

	// Tolerated is the number of machines that may be lost at once. It sets the number of voters (consensus.TargetVoters): with more
	// voters the system tolerates more losses, but every change of the configuration waits for a larger majority.
	Tolerated int

	// Cores returns the names of the running core processes, as the membership protocol reports them. If it is nil, only AddVoter and
	// RetireVoter change the voter set.
	Cores func() []string

	// InitialStart is true only if the whole system starts for the first time: a voter whose folder is empty may then vote
	// immediately. At any other start an empty folder means that the disk was lost. If InitialStart is wrongly true, the process may
	// break promises that it made before the loss.
	InitialStart bool

	// Folder is the path of the folder that holds the acceptor's record. It is created if it is missing.
	Folder string

	// Transport carries requests to the other core processes.
	Transport Transport

	// Log receives the log entries of this process.
	Log *logrus.Logger

	// Seed and the time of the start together seed the random number generator for backoff and for the proposer's ID in ballots.
	Seed uint64

	// OnCommit is called from one goroutine with committed values, each newer than the one before. Of several values that are
	// committed in quick succession, all but the newest may be skipped. OnCommit may be nil.
	OnCommit func(consensus.Value)

	// Memory bounds the memory of operators' changes. The zero value has no limits.
	Memory OrderMemory

	// openStore opens the store of the acceptor's record. If it is nil, package storage is used. Tests replace it.
	openStore func(folder string) (recordStore, error)
}

// Server is the part of a core process that agrees with the other core processes on the configuration. It connects the components
// and holds no other state.
type Server struct {
	lifetime  *lifetime
	learner   *learner
	directory *coreDirectory
	acceptor  *acceptor
	proposer  *proposer
	voters    *voterManager
	responder *responder
	register  *register
	api       *operatorAPI
	log       *logrus.Logger
}

// Open starts a Server. It does not wait for the disk, which is opened in the background. The error is a trace.BadParameter if a
// required option is missing. The caller closes the Server with Close.
func Open(options Options) (*Server, error) {
	if options.Self == "" || options.Transport == nil || options.Log == nil {
		return nil, trace.BadParameter("Options: Self, Transport and Log are required")
	}
	if options.openStore == nil {
		options.openStore = openStorage
	}
	s := newServer(&options)
	monitor := newVoterMonitor(s.voters, s.log)
	s.lifetime.start(s.acceptor.run)
	s.lifetime.start(s.learner.runNotifications)
	s.lifetime.start(s.logLatest)
	s.lifetime.start(monitor.run)
	return s, nil
}

// newServer creates and connects the components. The first random number that it draws is the one in the proposer's ID.
func newServer(options *Options) *Server {
	startedAt := time.Now()
	random := rand.New(rand.NewPCG(options.Seed, uint64(startedAt.UnixNano())))
	s := &Server{
		lifetime:  newLifetime(),
		learner:   newLearner(options.Log, options.OnCommit),
		directory: &coreDirectory{self: options.Self, running: options.Cores, seeds: options.Seeds},
		log:       options.Log,
	}
	client := &peerClient{
		self:      options.Self,
		transport: options.Transport,
		log:       s.log,
		lifetime:  s.lifetime,
		learner:   s.learner,
	}
	retryBackoff := &backoff{ctx: s.lifetime.ctx, random: random}
	s.proposer = &proposer{
		id:        fmt.Sprintf("%s#%x", options.Self, random.Uint64()),
		backoff:   retryBackoff,
		learner:   s.learner,
		directory: s.directory,
		client:    client,
		slot:      make(chan struct{}, 1),
	}
	s.acceptor = s.newAcceptor(options, client, retryBackoff)
	s.voters = s.newVoterManager(options, client, retryBackoff)
	s.responder = &responder{log: s.log, learner: s.learner, acceptor: s.acceptor, proposer: s.proposer, voters: s.voters}
	client.local = s.responder.answer
	s.register = &register{proposer: s.proposer, reads: make(chan struct{}, maxConcurrentReads), growth: s.newGrowthWaiter(options, startedAt, retryBackoff)}
	s.api = &operatorAPI{register: s.register, memory: options.Memory, log: s.log}
	return s
}

// newAcceptor returns an acceptor with a recoverer, which creates the acceptor's record if there is none.
func (s *Server) newAcceptor(options *Options, client *peerClient, retryBackoff *backoff) *acceptor {
	a := &acceptor{
		log:           s.log,
		lifetime:      s.lifetime,
		backoff:       retryBackoff,
		learner:       s.learner,
		observeBallot: s.proposer.observeBallot,
		self:          options.Self,
		initialStart:  options.InitialStart,
		initialVoters: initialVoters(options.Seeds),
		jobs:          make(chan *acceptorJob, maxQueuedJobs),
		disk: recordDisk{
			self:      options.Self,
			folder:    options.Folder,
			log:       s.log,
			openStore: options.openStore,
		},
	}
	recovery := &recoverer{
		self:      options.Self,
		log:       s.log,
		lifetime:  s.lifetime,
		backoff:   retryBackoff,
		learner:   s.learner,
		directory: s.directory,
		client:    client,
		install:   a.install,
	}
	a.startRecoverer = recovery.start
	return a
}

// newVoterManager returns the component through which this process proposes changes of the voter set.
func (s *Server) newVoterManager(options *Options, client *peerClient, retryBackoff *backoff) *voterManager {
	return &voterManager{
		self:      options.Self,
		tolerated: options.Tolerated,
		lifetime:  s.lifetime,
		backoff:   retryBackoff,
		learner:   s.learner,
		directory: s.directory,
		client:    client,
		acceptor:  s.acceptor,
		proposer:  s.proposer,
	}
}

// newGrowthWaiter returns the component that delays acknowledgements after this process's start.
func (s *Server) newGrowthWaiter(options *Options, startedAt time.Time, retryBackoff *backoff) *growthWaiter {
	return &growthWaiter{
		startedAt:    startedAt,
		initialStart: options.InitialStart,
		tolerated:    options.Tolerated,
		backoff:      retryBackoff,
		learner:      s.learner,
		directory:    s.directory,
		proposer:     s.proposer,
	}
}

// initialVoters returns the voters of the system's first start: the first maxInitialVoters seeds, sorted by name.
func initialVoters(seeds []string) []string {
	voters := slices.Clone(seeds)
	slices.Sort(voters)
	voters = slices.Compact(voters)
	return voters[:min(len(voters), maxInitialVoters)]
}

// Close ends the server's goroutines, waits until they have returned, and closes the disk.
func (s *Server) Close() { s.lifetime.close() }

// Handler returns the HTTP handler of the operators' calls, POST /configuration/replace and GET /configuration/retrieve.
func (s *Server) Handler() http.Handler { return s.api.handler() }

// Serve answers an encoded request that another core process sent with its Transport. The error is a trace.BadParameter if the
// request cannot be decoded.
func (s *Server) Serve(ctx context.Context, request []byte) ([]byte, error) {
	return s.responder.serve(ctx, request)
}

// ReadLatest returns the newest value that was committed when ReadLatest was called, or a newer one; the read is linearizable. A
// majority of the voters has to answer after the call began. If ctx ends or the Server is closed before that, ReadLatest returns the
// error of the context that ended.
func (s *Server) ReadLatest(ctx context.Context) (consensus.Value, error) {
	return s.register.readLatest(ctx)
}

// Replace replaces version base of the configuration by raw. It is idempotent: the same call may be repeated at any process, any
// number of times. The outcome is Unknown if no majority answers before ctx ends, or if the call repeats a change that is older than
// the history that is stored with the value.
func (s *Server) Replace(ctx context.Context, base configuration.Version, raw []byte) ReplaceResult {
	return s.register.replace(ctx, base, raw)
}

// Committed returns the newest value that this process knows to be committed; ok is false if it knows none. It does not ask other
// processes, so newer values may already be committed.
func (s *Server) Committed() (value consensus.Value, ok bool) { return s.learner.newestValue() }

// LearnCommitted adopts a value that another process reports as committed, if it is newer than the newest known one.
func (s *Server) LearnCommitted(value consensus.Value) {
	s.learner.learnVote(consensus.Vote{Value: value})
}

// VoterSet returns the newest voter set that this process knows to be decided, or a set without voters while none is known.
func (s *Server) VoterSet() consensus.VoterSet { return s.learner.voterSet() }

// Voters returns the names of the voters, or none while this process does not know them.
func (s *Server) Voters() []string { return s.VoterSet().Voters }

// Accepted returns the epoch of the voter set in this process's newest vote. complete becomes true once the acceptor's record is complete
// on disk; it stays true while the disk fails, and while a record that was lost later is recovered. See also Ready.
func (s *Server) Accepted() (epoch uint64, complete bool) {
	status := s.acceptor.status()
	return status.acceptedEpoch, status.complete
}

// Ready reports whether this process can vote: its record is complete on disk, and the disk took the last write and answers. The disk is
// checked every diskCheckInterval while nothing else is written.
func (s *Server) Ready() bool { return s.acceptor.status().ready }

// SetSeeds replaces the seeds after a change of the operator's settings.
func (s *Server) SetSeeds(seeds []string) { s.directory.setSeeds(seeds) }

// AddVoter makes a core process a voter, even one that was retired. It retries until the change is committed or ctx ends. No program
// calls it yet.
func (s *Server) AddVoter(ctx context.Context, node string) error { return s.voters.add(ctx, node) }

// RetireVoter removes a voter; only AddVoter can make it a voter again. A standby (a ready process that is not a voter) takes its place
// in the same change, or, if there is none yet, as soon as there is one. It retries until the change is committed or ctx ends. No
// program calls it yet.
func (s *Server) RetireVoter(ctx context.Context, node string) error {
	return s.voters.retire(ctx, node)
}

// HandOver replaces this process by a standby in the voter set, before the process shuts down. If no standby is ready or becomes ready
// within maxStandbyWait, the process stays a voter, and HandOver returns no error.
func (s *Server) HandOver(ctx context.Context) error { return s.voters.handOver(ctx) }

// logLatest reads the newest value once, when the process starts, and logs its version.
func (s *Server) logLatest(ctx context.Context) {
	value, err := s.ReadLatest(ctx)
	if err == nil {
		s.log.WithField("version", value.Version).Info("read the newest configuration")
	}
}
