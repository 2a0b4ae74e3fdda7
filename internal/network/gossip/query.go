package gossip

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

const (
	queryTimeout      = 2 * time.Second
	queryConcurrency  = 4 // number of concurrent connections of one call of Fleet
	maxPendingQueries = 8 // limit on the queries of other members that wait for this member's answer
)

// pendingAnswers holds this member's queries that wait for answers, by token. It is safe for concurrent use.
type pendingAnswers struct {
	mu      sync.Mutex
	reports map[uint64]chan peers.Report
}

func newPendingAnswers() *pendingAnswers {
	return &pendingAnswers{reports: map[uint64]chan peers.Report{}}
}

// register registers a token and returns the channel that receives the reports sent in answer to it, at most as many as answers.
func (p *pendingAnswers) register(token uint64, answers int) <-chan peers.Report {
	reports := make(chan peers.Report, answers)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[token] = reports
	return reports
}

// unregister removes a token. Answers that arrive later are dropped.
func (p *pendingAnswers) unregister(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reports, token)
}

// deliver passes the report in an answer to the query that waits for it. It ignores other messages and does not block.
func (p *pendingAnswers) deliver(e *envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := p.reports[e.answer]
	if reports == nil {
		return
	}
	var r peers.Report
	if json.Unmarshal(e.report, &r) != nil {
		return // Fleet lists the member as unresponsive
	}
	select {
	case reports <- r:
	default: // there are more answers than queried members
	}
}

// Report returns a report of this member's view.
func (g *Group) Report() peers.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.view.Report(g.now(), func(process uint64) string { return g.addresses[process] })
	g.rejections.copyTo(r.Rejected)
	return r
}

// Fleet returns the reports of this member and of the members that it reaches. It waits at most queryTimeout for their answers, and lists
// the members that have not answered by then as unresponsive.
func (g *Group) Fleet() peers.FleetReport {
	fleet := peers.FleetReport{Own: g.Report()}
	token := rand.Uint64() | 1 // never 0, which stands for no token
	nodes := g.list.Members()
	answers := g.pendingAnswers.register(token, len(nodes))
	defer g.pendingAnswers.unregister(token)

	asked := g.sendQueries(nodes, token)
	timeout := time.NewTimer(queryTimeout)
	defer timeout.Stop()
	for n, late := len(asked), false; n > 0 && !late; n-- {
		select {
		case r := <-answers:
			fleet.Others = append(fleet.Others, r)
			delete(asked, r.Name+"/"+r.Process)
		case <-timeout.C:
			late = true
		}
	}
	for name := range asked {
		fleet.Unresponsive = append(fleet.Unresponsive, name)
	}
	slices.Sort(fleet.Unresponsive)
	slices.SortFunc(fleet.Others, func(a, b peers.Report) int { return strings.Compare(a.Name+a.Process, b.Name+b.Process) })
	return fleet
}

// sendQueries asks all nodes but this one for their reports, and returns the names of those nodes. It does not wait for its goroutines,
// which end at the latest when the timeouts of their connections expire.
func (g *Group) sendQueries(nodes []*memberlist.Node, token uint64) map[string]bool {
	e := envelope{application: g.config.Application, witness: g.nodeName(), query: token}
	query := e.encode()
	asked := map[string]bool{}
	next := make(chan *memberlist.Node, len(nodes))
	for _, n := range nodes {
		if n.Name != g.nodeName() {
			asked[n.Name] = true
			next <- n
		}
	}
	close(next)
	for range queryConcurrency {
		go func() {
			for n := range next {
				_ = g.list.SendReliable(n, query) // a node that can't be reached is listed as unresponsive by Fleet
			}
		}()
	}
	return asked
}

// enqueueAnswer queues the answer to a query, which the loop sends: memberlist is the caller, and must not be called back. If the queue
// is full, the query is counted as rejected.
func (g *Group) enqueueAnswer(e *envelope) {
	select {
	case g.queries <- func() { g.answer(e.witness, e.query) }:
	default:
		g.rejections.add(rejectedQuery)
	}
}

// answer sends the report of this member to the node that queried it, with the token of the query.
func (g *Group) answer(node string, token uint64) {
	report, err := json.Marshal(g.Report())
	if err != nil {
		return // the node lists this member as unresponsive
	}
	e := envelope{application: g.config.Application, witness: g.config.Name, answer: token, report: report}
	for _, n := range g.list.Members() {
		if n.Name == node {
			// SendReliable may block until the connection's timeout. On an error, the node lists this member as unresponsive.
			go func() { _ = g.list.SendReliable(n, e.encode()) }()
			return
		}
	}
}
