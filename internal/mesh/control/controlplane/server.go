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

// maxInitialVoters is how many of the seeds become the voters at the system's first start, at most.
const maxInitialVoters = 3

// Options configure a Server. Self, Transport and Log are required.
type Options struct {
	// Self is the name of this process: its control address "host:port", as in the seeds.
	Self string

	// Seeds are the names of the core processes in the operator's settings. At the first start of the whole system the first
	// three of them, sorted, become the voters; later they are asked for the current voters.
	Seeds []string

	// Tolerated is the number of machines that may be lost at once. It sets the number of voters (consensus.TargetVoters): more
	// voters tolerate more losses, and every change of the configuration waits for a larger majority.
	Tolerated int

	// Cores returns the names of the core processes that run, as membership reports them. If it is nil, the voter set only
	// changes by AddVoter and RetireVoter.
	Cores func() []string

	// InitialStart is true only if the whole system starts for the first time: a voter whose folder is empty may then vote at
	// once. At any other start an empty folder means that the disk was lost. A process that wrongly has it set may vote against
	// its own earlier promises.
	InitialStart bool

	// Folder is the path of the folder that holds the acceptor's record. It is made if it is missing.
	Folder string

	// Transport carries requests to the other core processes.
	Transport Transport

	Log *logrus.Logger

	// Seed is the seed of random waits and of the names in ballots; the time of the start is mixed in.
	Seed uint64

	// OnCommit is called with each newer committed value, by one goroutine; values in quick succession may be skipped. It may
	// be nil.
	OnCommit func(consensus.Value)

	openStore func(folder string) (recordStore, error) // nil for package storage; tests replace it
}

// Server is a core process's part in the agreement on the configuration. It connects the parts and has no state of its own.
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

// newServer connects the parts. It draws the proposer's name before any other random number.
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
	waits := &backoff{ctx: s.lifetime.ctx, random: random}
	s.proposer = &proposer{
		id:        fmt.Sprintf("%s#%x", options.Self, random.Uint64()),
		backoff:   waits,
		learner:   s.learner,
		directory: s.directory,
		client:    client,
		slot:      make(chan struct{}, 1),
	}
	s.acceptor = s.newAcceptor(options, client, waits)
	s.voters = s.newVoterManager(options, client, waits)
	s.responder = &responder{log: s.log, learner: s.learner, acceptor: s.acceptor, proposer: s.proposer, voters: s.voters}
	client.local = s.responder.answer
	s.register = &register{proposer: s.proposer, growth: s.newGrowth(options, startedAt, waits)}
	s.api = &operatorAPI{register: s.register, log: s.log}
	return s
}

// newAcceptor returns an acceptor with the recoverer that makes its record if it has none.
func (s *Server) newAcceptor(options *Options, client *peerClient, waits *backoff) *acceptor {
	a := &acceptor{
		log:           s.log,
		lifetime:      s.lifetime,
		backoff:       waits,
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
		backoff:   waits,
		learner:   s.learner,
		directory: s.directory,
		client:    client,
		install:   a.install,
	}
	a.startRecoverer = recovery.start
	return a
}

// newVoterManager returns the manager of the voters that this process proposes and votes for.
func (s *Server) newVoterManager(options *Options, client *peerClient, waits *backoff) *voterManager {
	return &voterManager{
		self:      options.Self,
		tolerated: options.Tolerated,
		lifetime:  s.lifetime,
		backoff:   waits,
		learner:   s.learner,
		directory: s.directory,
		client:    client,
		acceptor:  s.acceptor,
		proposer:  s.proposer,
	}
}

// newGrowth returns what delays acknowledgements after this process's start.
func (s *Server) newGrowth(options *Options, startedAt time.Time, waits *backoff) *growth {
	return &growth{
		startedAt:    startedAt,
		initialStart: options.InitialStart,
		tolerated:    options.Tolerated,
		backoff:      waits,
		learner:      s.learner,
		directory:    s.directory,
		proposer:     s.proposer,
	}
}

// initialVoters returns the voters of the system's first start: the first seeds in the order of their names.
func initialVoters(seeds []string) []string {
	voters := slices.Clone(seeds)
	slices.Sort(voters)
	voters = slices.Compact(voters)
	return voters[:min(len(voters), maxInitialVoters)]
}

// Close ends the server's goroutines and waits for them, the disk included.
func (s *Server) Close() { s.lifetime.close() }

// Handler serves the operators' calls, POST /configuration/replace and GET /configuration/retrieve.
func (s *Server) Handler() http.Handler { return s.api.handler() }

// Serve answers a request that another core process sent with its Transport.
func (s *Server) Serve(ctx context.Context, request []byte) ([]byte, error) {
	return s.responder.serve(ctx, request)
}

// ReadLatest is a linearizable read: it returns the newest value that was committed when it was called, or a newer one. A majority
// of the voters has to answer after the call began. If ctx ends before that, the error is that of ctx.
func (s *Server) ReadLatest(ctx context.Context) (consensus.Value, error) {
	return s.register.readLatest(ctx)
}

// Replace replaces version base of the configuration. It is idempotent: the same call may be repeated, at any process and any
// number of times. The outcome is Unknown if no majority answers before ctx ends, and for a repeat of a change that is older than
// the register's history.
func (s *Server) Replace(ctx context.Context, base configuration.Version, raw []byte) ReplaceResult {
	return s.register.replace(ctx, base, raw)
}

// Committed returns the newest value that this process knows to be committed; ok is false if it knows none. It does not ask other
// processes, so newer values may be committed already.
func (s *Server) Committed() (value consensus.Value, ok bool) { return s.learner.newestValue() }

// LearnCommitted adopts a value that another process reports as committed, if it is newer than the one known.
func (s *Server) LearnCommitted(value consensus.Value) {
	s.learner.learnVote(consensus.Vote{Value: value})
}

// VoterSet returns the newest voter set that this process knows to be decided. It has no voters while none is known.
func (s *Server) VoterSet() consensus.VoterSet { return s.learner.voterSet() }

// Voters returns the names of the voters; none while this process does not know them.
func (s *Server) Voters() []string { return s.VoterSet().Voters }

// Accepted returns the epoch of the voter set in this process's newest vote. ready is true from when the record was first complete on
// disk; it stays true while the disk fails, and while a record that was lost later is recovered.
func (s *Server) Accepted() (epoch uint64, ready bool) {
	status := s.acceptor.status()
	return status.acceptedEpoch, status.ready
}

// SetSeeds replaces the seeds, after a change of the operator's settings.
func (s *Server) SetSeeds(seeds []string) { s.directory.setSeeds(seeds) }

// AddVoter makes a core process a voter, also one that was retired. It retries until the change is committed or ctx ends. No program calls
// it yet.
func (s *Server) AddVoter(ctx context.Context, node string) error { return s.voters.add(ctx, node) }

// RetireVoter removes a voter, which is not made a voter again except by AddVoter. A standby takes its place in the same step, or,
// if there is none yet, as soon as there is one. It retries until the change is committed or ctx ends. No program calls it yet.
func (s *Server) RetireVoter(ctx context.Context, node string) error {
	return s.voters.retire(ctx, node)
}

// HandOver gives this process's place among the voters to a standby, before the process shuts down. If there is no standby that is
// ready, or will be soon, the process stays a voter; that is not an error.
func (s *Server) HandOver(ctx context.Context) error { return s.voters.handOver(ctx) }

// logLatest reads and logs the newest version when the process starts.
func (s *Server) logLatest(ctx context.Context) {
	value, err := s.ReadLatest(ctx)
	if err == nil {
		s.log.WithField("version", value.Version).Info("newest configuration known")
	}
}
