package dryrun

import (
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// Result is the result of a simulated run.
type Result struct {
	Verdict   *audit.Verdict
	Events    []audit.Event
	Decisions int // number of calls of the decision modules
	plan      *scenario.Plan
}

// Plan returns the plan that was run.
func (r *Result) Plan() *scenario.Plan { return r.plan }

// Run simulates a plan. It returns an error if a sidecar cannot be started or if the run has more than maxEvents events.
func Run(plan *scenario.Plan) (*Result, error) {
	sim, err := newSim(plan)
	if err != nil {
		return nil, err
	}
	for _, step := range plan.Steps {
		if step.At <= plan.Length {
			sim.schedule(step.At, func() { sim.playStep(step) })
		}
	}
	for n, arrival := range plan.Arrivals {
		sim.schedule(arrival.At, func() { sim.playArrival(n) })
	}
	if err := sim.run(); err != nil {
		return nil, err
	}
	events, lost := sim.log.Events()
	rules := plan.AuditRules()
	for _, i := range sim.instances {
		rules.Sidecars = append(rules.Sidecars, i.Name)
	}
	return &Result{Verdict: audit.Judge(rules, events, lost), Events: events, Decisions: sim.decisions, plan: plan}, nil
}
