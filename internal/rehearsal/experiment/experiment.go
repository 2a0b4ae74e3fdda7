// Package experiment plays scenarios many times in virtual time, with several seeds and at several loads, and sums up their figures. It
// does no I/O; the result does not depend on how many runs are played at once.
package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/scenario"
)

// Design is the runs of an experiment: each scenario at each load with each seed.
type Design struct {
	Scenarios []*scenario.Scenario
	Loads     []float64 // multiples of each scenario's rate
	Seeds     int       // how many; the first is 1
	Workers   int       // runs at once; below 1 for one
}

// MaxRuns bounds the runs of one experiment.
const MaxRuns = 100_000

// Run is one run of a scenario.
type Run struct {
	Scenario        int // index into Design.Scenarios
	Load            float64
	Seed            uint64
	Requests        int
	Service         float64 // see audit.Verdict, as for the figures without a comment
	WorstService    float64
	Rejected        float64 // share of the requests
	Failed          float64 // share of the requests
	AttemptsPerCall float64
	WastedShare     float64
	P50, P99        time.Duration
	Breaches        int
}

// Point sums up the runs of one scenario at one load.
type Point struct {
	Scenario        int // index into Design.Scenarios
	Load            float64
	Runs            int
	Service         Figure
	WorstService    Figure
	Rejected        Figure // shares of the requests
	Failed          Figure // shares of the requests
	AttemptsPerCall Figure
	P99             Figure // seconds
	Breaches        int    // of all runs
}

// Figure is a mean over seeds.
type Figure struct {
	Mean, SD, Min, Max float64
	HalfInterval       float64 // half of the 95% confidence interval of the mean (Student's t); 0 for one run
}

// Validate returns why a design can't be played; nil if it can.
func (d *Design) Validate() error {
	runs := len(d.Scenarios) * len(d.Loads) * d.Seeds
	switch {
	case runs < 1:
		return errors.New("no morning, load or seed: nothing to play")
	case runs > MaxRuns:
		return fmt.Errorf("%d runs, %d at most", runs, MaxRuns)
	}
	for _, scenario := range d.Scenarios {
		for _, load := range d.Loads {
			if err := validateLoad(scenario, load); err != nil {
				return err
			}
		}
	}
	return nil
}

// validateLoad returns why a scenario can't be played at a load; nil if it can.
func validateLoad(played *scenario.Scenario, load float64) error {
	if !(load > 0) || math.IsInf(load, 0) {
		return fmt.Errorf("load %v: above 0 is wanted", load)
	}
	if requests := played.Callers.Rate * load * played.Length.Seconds(); requests > scenario.MaxRequests {
		return fmt.Errorf("%s at load %v: about %.0f requests, %d at most", played.Name, load, requests, scenario.MaxRequests)
	}
	return nil
}

// Play plays a design, and returns its runs in order of scenarios, loads and seeds. progress, if not nil, is called after each run with
// how many have ended, one call at a time. Play ends early with the context, or with the first run that can't be played.
func (d *Design) Play(ctx context.Context, progress func(done, of int)) ([]Run, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	q := &runQueue{runs: d.runs(), progress: progress}
	var workers sync.WaitGroup
	for range max(1, min(d.Workers, len(q.runs))) {
		workers.Go(func() {
			for run := q.take(ctx); run != nil; run = q.take(ctx) {
				q.finish(d.describe(run, d.playRun(run)))
			}
		})
	}
	workers.Wait()
	return q.runs, cmp.Or(q.failed, ctx.Err())
}

// runs returns the runs that are to be played.
func (d *Design) runs() (runs []Run) {
	for scenario := range d.Scenarios {
		for _, load := range d.Loads {
			for seed := range d.Seeds {
				runs = append(runs, Run{Scenario: scenario, Load: load, Seed: uint64(seed + 1)})
			}
		}
	}
	return runs
}

// describe adds the run to its error, if it has one.
func (d *Design) describe(run *Run, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s, load %v, seed %d: %w", d.Scenarios[run.Scenario].Name, run.Load, run.Seed, err)
}

// runQueue gives runs to workers.
type runQueue struct {
	mu       sync.Mutex
	runs     []Run
	next     int // the first run that no worker has
	done     int
	failed   error // the first error of a run
	progress func(done, of int)
}

// take returns the next run to be played; nil if there is none, a run has failed or the context has ended.
func (q *runQueue) take(ctx context.Context) *Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failed != nil || ctx.Err() != nil || q.next == len(q.runs) {
		return nil
	}
	run := &q.runs[q.next]
	q.next++
	return run
}

// finish records the end of a run.
func (q *runQueue) finish(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.done++
	if err != nil && q.failed == nil {
		q.failed = err
	}
	if q.progress != nil {
		q.progress(q.done, len(q.runs))
	}
}

// playRun plays one run, and sets its figures.
func (d *Design) playRun(run *Run) error {
	result, err := dryrun.Run(d.Scenarios[run.Scenario].AtLoad(run.Load).Plan(run.Seed))
	if err != nil {
		return err
	}
	v := result.Verdict
	share := func(n int) float64 { return float64(n) / float64(max(1, v.Requests)) }
	run.Requests = v.Requests
	run.Service = v.Service
	run.WorstService = v.WorstService
	run.AttemptsPerCall = v.AttemptsPerCall
	run.WastedShare = v.WastedShare
	run.Rejected = share(v.Rejected)
	run.Failed = share(v.Failed)
	run.P50 = v.P50
	run.P99 = v.P99
	run.Breaches = len(v.Breaches)
	return nil
}

// Summarize sums runs up by scenario and load, in their order.
func Summarize(runs []Run) (points []Point) {
	for from := 0; from < len(runs); {
		to := from
		for to < len(runs) && runs[to].Scenario == runs[from].Scenario && runs[to].Load == runs[from].Load {
			to++
		}
		points = append(points, pointOf(runs[from:to]))
		from = to
	}
	return points
}

// pointOf sums up the runs of one scenario at one load.
func pointOf(runs []Run) Point {
	figure := func(value func(r Run) float64) Figure {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = value(r)
		}
		return figureOf(values)
	}
	point := Point{
		Scenario: runs[0].Scenario, Load: runs[0].Load, Runs: len(runs),
		Service:         figure(func(r Run) float64 { return r.Service }),
		WorstService:    figure(func(r Run) float64 { return r.WorstService }),
		Rejected:        figure(func(r Run) float64 { return r.Rejected }),
		Failed:          figure(func(r Run) float64 { return r.Failed }),
		AttemptsPerCall: figure(func(r Run) float64 { return r.AttemptsPerCall }),
		P99:             figure(func(r Run) float64 { return r.P99.Seconds() }),
	}
	for _, r := range runs {
		point.Breaches += r.Breaches
	}
	return point
}

// figureOf returns the mean of values, one or more, with its interval.
func figureOf(values []float64) Figure {
	f := Figure{Min: slices.Min(values), Max: slices.Max(values)}
	if len(values) == 1 {
		f.Mean = values[0]
		return f
	}
	f.Mean, f.SD = stat.MeanStdDev(values, nil)
	n := float64(len(values))
	f.HalfInterval = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * f.SD / math.Sqrt(n)
	return f
}
