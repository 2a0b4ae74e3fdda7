package controlplane

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"
)

// responder answers the requests of core processes, including this one. It is stateless.
type responder struct {
	log      *logrus.Logger
	learner  *learner
	acceptor *acceptor
	proposer *proposer
	voters   *voterManager
}

// serve answers an encoded request with an encoded reply. The error is a trace.BadParameter if the request cannot be decoded.
func (r *responder) serve(ctx context.Context, raw []byte) ([]byte, error) {
	var request consensus.Request
	if err := codec.Unmarshal(raw, &request); err != nil {
		return nil, trace.BadParameter("request: %v", err)
	}
	reply, err := r.answer(ctx, &request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return codec.MarshalAppend(nil, reply), nil
}

// answer answers a request. It first learns the request's ballot and voter set, unless the sender belongs to another system.
func (r *responder) answer(ctx context.Context, request *consensus.Request) (*consensus.Reply, error) {
	if own := r.learner.system(); !own.Matches(request.System) {
		r.log.WithField("peer", request.Sender).
			Error("rejected a request from another system; a folder or an address may be in use twice")
		return &consensus.Reply{Kind: consensus.ForeignSystem, Ballot: request.Ballot, System: own}, nil
	}
	r.proposer.observeBallot(request.Ballot)
	r.learner.learnVoterSet(request.VoterSet)
	if request.Kind == consensus.Describe {
		return r.describe(), nil
	}
	reply, err := r.acceptor.handle(ctx, request)
	if err == nil && reply.Kind == consensus.ConflictingVoters {
		r.log.WithField("peer", request.Sender).WithField("epoch", request.VoterSet.Epoch).WithField("voters", request.VoterSet.Voters).
			WithField("own", reply.VoterSet.Voters).Error("rejected a request with other voters for the same epoch")
	}
	return reply, trace.Wrap(err)
}

// describe returns the reply to a Describe request, without waiting for the disk.
func (r *responder) describe() *consensus.Reply {
	return &consensus.Reply{
		Kind:         consensus.Reported,
		VoterSet:     r.learner.voterSet(),
		Ready:        r.acceptor.status().ready,
		Unresponsive: r.voters.unresponsiveVoters(),
		System:       r.learner.system(),
	}
}
