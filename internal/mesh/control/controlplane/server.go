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

// maxInitialVoters is how many of the seeds are the voters of the system's first start.
const maxInitialVoters = 3

// Options are what a Server is opened with. Self, Transport and Log are required.
type Options struct {
	Self         string          // name (control address) of this process, as in the seeds
	Seeds        []string        // of the settings: at the first start of the whole system they become the voters
	Tolerated    int             // machines that may be lost at once, which sets how many voters there should be
	Cores        func() []string // names of the core processes that run; nil: the voter set never changes
	InitialStart bool            // the whole system starts for the first time
	Folder       string          // for the acceptor's record
	Transport    Transport       // to other core processes
	Log          *logrus.Logger
	Seed         uint64                // of random waits and of ballots
	OnCommit     func(consensus.Value) // called by one goroutine, with newer values only; may be nil

	openStore func(folder string) (recordStore, error) // a storage, except in tests
}

// Server is a core process's part in the agreement on the configuration. It puts the parts together and has no state of its own.
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

// Open starts a Server. The disk is opened in the background, however long it takes. Options that lack something that is required
// are a trace.BadParameter.
func Open(options Options) (*Server, error) {
	if options.Self == "" || options.Transport == nil || options.Log == nil {
		return nil, trace.BadParameter("a server needs its own name, a transport and a log")
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
	server := &Server{log: options.Log, lifetime: newLifetime(), learner: newLearner(options.Log, options.OnCommit)}
	server.directory = &coreDirectory{self: options.Self, running: options.Cores, seeds: options.Seeds}
	client := &peerClient{self: options.Self, transport: options.Transport, log: server.log, lifetime: server.lifetime, learner: server.learner}
	waits := &backoff{ctx: server.lifetime.ctx, random: random}
	server.proposer = &proposer{
		id: fmt.Sprintf("%s#%x", options.Self, random.Uint64()), backoff: waits, learner: server.learner,
		directory: server.directory, client: client, slot: make(chan struct{}, 1),
	}
	server.acceptor = &acceptor{
		log: server.log, lifetime: server.lifetime, backoff: waits, learner: server.learner, observeBallot: server.proposer.observeBallot,
		self: options.Self, initialStart: options.InitialStart, initialVoters: initialVoters(options.Seeds),
		jobs: make(chan *acceptorJob, maxQueuedJobs),
		disk: recordDisk{self: options.Self, folder: options.Folder, log: server.log, openStore: options.openStore},
	}
	recovery := &recoverer{
		self: options.Self, log: server.log, lifetime: server.lifetime, backoff: waits, learner: server.learner, directory: server.directory,
		client: client, install: server.acceptor.install,
	}
	server.acceptor.makeRecord = recovery.start
	server.voters = &voterManager{
		self: options.Self, tolerated: options.Tolerated, lifetime: server.lifetime, backoff: waits, learner: server.learner,
		directory: server.directory, client: client, acceptor: server.acceptor, proposer: server.proposer,
	}
	server.responder = &responder{log: server.log, learner: server.learner, acceptor: server.acceptor, proposer: server.proposer, voters: server.voters}
	client.local = server.responder.answer
	server.register = &register{proposer: server.proposer, growth: &growth{
		startedAt: startedAt, initialStart: options.InitialStart, tolerated: options.Tolerated, backoff: waits, learner: server.learner,
		directory: server.directory, proposer: server.proposer,
	}}
	server.api = &operatorAPI{register: server.register, log: server.log}
	return server
}

// initialVoters are the voters at the first start of the whole system.
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

// ReadLatest is a linearizable read: the newest value that was committed when it was called, or a newer one. It is in contact with
// a majority of the voters after the call began, and fails when ctx ends before that.
func (s *Server) ReadLatest(ctx context.Context) (consensus.Value, error) {
	return s.register.readLatest(ctx)
}

// Replace puts a configuration in place of version base. The same call may be made again, at any process and any number of times.
// The outcome is Unknown if there is no contact with a majority before ctx ends, and for a repeat that is older than what the
// register remembers.
func (s *Server) Replace(ctx context.Context, base configuration.Version, raw []byte) ReplaceResult {
	return s.register.replace(ctx, base, raw)
}

// Committed is the newest value that this process knows is committed, if there is any. Newer ones may be committed already.
func (s *Server) Committed() (consensus.Value, bool) { return s.learner.newestValue() }

// LearnCommitted notes that a value is committed, as another process says.
func (s *Server) LearnCommitted(value consensus.Value) {
	s.learner.learnVote(consensus.Vote{Value: value})
}

// VoterSet is the newest voter set that this process knows as decided; without voters while it knows none.
func (s *Server) VoterSet() consensus.VoterSet { return s.learner.voterSet() }

// Voters are the names of the processes that vote; none while this process does not know.
func (s *Server) Voters() []string { return s.VoterSet().Voters }

// Accepted is the epoch of the voter set in the newest vote of this process; ready is false while its record isn't read from disk,
// or is lost.
func (s *Server) Accepted() (epoch uint64, ready bool) {
	status := s.acceptor.status()
	return status.acceptedEpoch, status.ready
}

// SetSeeds notes that the operator's settings name other seeds now.
func (s *Server) SetSeeds(seeds []string) { s.directory.setSeeds(seeds) }

// AddVoter makes a core process a voter.
func (s *Server) AddVoter(ctx context.Context, node string) error { return s.voters.add(ctx, node) }

// RetireVoter removes a voter for good, unless AddVoter adds it again. Another takes its place in the same step if there is one,
// and else as soon as there is.
func (s *Server) RetireVoter(ctx context.Context, node string) error {
	return s.voters.retire(ctx, node)
}

// HandOver gives this process's place among the voters to another one before it ends. Without one that is ready, or will be soon,
// it stays a voter, as one that is only restarted does.
func (s *Server) HandOver(ctx context.Context) error { return s.voters.handOver(ctx) }

// logLatest logs which value is committed when the process starts.
func (s *Server) logLatest(ctx context.Context) {
	value, err := s.ReadLatest(ctx)
	if err == nil {
		s.log.WithField("version", value.Version).Info("newest configuration known")
	}
}
