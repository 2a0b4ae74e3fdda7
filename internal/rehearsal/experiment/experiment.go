// Package experiment runs scenarios many times in virtual time, with several seeds and at several loads, and summarizes their figures.
// It does no I/O, and the result does not depend on the number of concurrent runs.
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

// Design specifies the runs of an experiment: each scenario at each load with each seed.
type Design struct {
	Scenarios []*scenario.Scenario
	Loads     []float64 // load factors: multiples of each scenario's request rate
	Seeds     int       // number of seeds, which are numbered from 1
	Workers   int       // number of concurrent runs; values below 1 count as 1
}

// MaxRuns is the maximum number of runs in one experiment.
const MaxRuns = 100_000

// Run is one run of a scenario with its figures. Figures without a comment are defined in audit.Verdict.
type Run struct {
	Scenario        int     // index into Design.Scenarios
	Load            float64 // load factor, one of Design.Loads
	Seed            uint64
	Requests        int
	Service         float64 // as defined in audit.Verdict
	WorstService    float64
	Rejected        float64 // share of requests rejected, from 0 to 1
	Failed          float64 // share of requests failed, from 0 to 1
	AttemptsPerCall float64
	WastedShare     float64
	P50, P99        time.Duration
	Breaches        int
}

// Point summarizes the runs of one scenario at one load.
type Point struct {
	Scenario        int     // index into Design.Scenarios
	Load            float64 // load factor, one of Design.Loads
	Runs            int
	Service         Figure
	WorstService    Figure
	Rejected        Figure // share of requests rejected, from 0 to 1
	Failed          Figure // share of requests failed, from 0 to 1
	AttemptsPerCall Figure
	P99             Figure // 99th percentile of the latency, in seconds
	Breaches        int    // total of all runs
}

// Figure summarizes the values of one figure over the seeds: mean, standard deviation, minimum and maximum.
type Figure struct {
	Mean, SD, Min, Max float64
	HalfInterval       float64 // half of the 95% confidence interval of the mean (Student's t); 0 for one run
}

// Validate returns an error that tells why a design cannot be played, or nil if it can.
func (d *Design) Validate() error {
	runs := len(d.Scenarios) * len(d.Loads) * d.Seeds
	switch {
	case runs < 1:
		return errors.New("no morning, load or seed: nothing to play")
	case runs > MaxRuns:
		return fmt.Errorf("experiment has %d runs, %d at most", runs, MaxRuns)
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

// validateLoad returns an error if a load is not above 0 and finite, or gives too many requests for the scenario.
func validateLoad(played *scenario.Scenario, load float64) error {
	if !(load > 0) || math.IsInf(load, 0) {
		return fmt.Errorf("load %v is not above 0 and finite", load)
	}
	if requests := played.Callers.Rate * load * played.Length.Seconds(); requests > scenario.MaxRequests {
		return fmt.Errorf("%s at load %v: about %.0f requests, %d at most", played.Name, load, requests, scenario.MaxRequests)
	}
	return nil
}

// Play plays a design and returns its runs in order of scenario, load and seed. If progress is not nil, it is called after each run with
// the number of completed runs; the calls do not overlap. Play fails if the design is invalid. It also stops early and fails if the
// context ends or a run cannot be played.
func (d *Design) Play(ctx context.Context, progress func(done, of int)) ([]Run, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	queue := &runQueue{runs: d.runs(), progress: progress}
	var workers sync.WaitGroup
	for range max(1, min(d.Workers, len(queue.runs))) {
		workers.Go(func() {
			for run := queue.take(ctx); run != nil; run = queue.take(ctx) {
				queue.finish(d.wrapError(run, d.playRun(run)))
			}
		})
	}
	workers.Wait()
	return queue.runs, cmp.Or(queue.err, ctx.Err())
}

// runs returns the design's runs, without their figures.
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

// wrapError adds the scenario, load and seed of a run to its error. It returns nil if err is nil.
func (d *Design) wrapError(run *Run, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s, load %v, seed %d: %w", d.Scenarios[run.Scenario].Name, run.Load, run.Seed, err)
}

// runQueue hands out runs to workers and collects their results.
type runQueue struct {
	mu       sync.Mutex
	runs     []Run
	next     int   // index of the first run that no worker has taken
	done     int   // number of completed runs, including failed ones
	err      error // first error of a run
	progress func(done, of int)
}

// take returns the next run to play, or nil if none is left, a run has failed or the context has ended.
func (q *runQueue) take(ctx context.Context) *Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil || ctx.Err() != nil || q.next == len(q.runs) {
		return nil
	}
	run := &q.runs[q.next]
	q.next++
	return run
}

// finish counts a completed run, keeps the first error and reports the progress.
func (q *runQueue) finish(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.done++
	if err != nil && q.err == nil {
		q.err = err
	}
	if q.progress != nil {
		q.progress(q.done, len(q.runs))
	}
}

// playRun plays one run in virtual time and sets its figures. It fails if the run cannot be played.
func (d *Design) playRun(run *Run) error {
	result, err := dryrun.Run(d.Scenarios[run.Scenario].AtLoad(run.Load).Plan(run.Seed))
	if err != nil {
		return err
	}
	verdict := result.Verdict
	share := func(n int) float64 { return float64(n) / float64(max(1, verdict.Requests)) }
	run.Requests = verdict.Requests
	run.Service = verdict.Service
	run.WorstService = verdict.WorstService
	run.AttemptsPerCall = verdict.AttemptsPerCall
	run.WastedShare = verdict.WastedShare
	run.Rejected = share(verdict.Rejected)
	run.Failed = share(verdict.Failed)
	run.P50 = verdict.P50
	run.P99 = verdict.P99
	run.Breaches = len(verdict.Breaches)
	return nil
}

// Summarize returns one point for each series of consecutive runs with the same scenario and load, in the order of the runs.
func Summarize(runs []Run) (points []Point) {
	for from := 0; from < len(runs); {
		to := from
		for to < len(runs) && runs[to].Scenario == runs[from].Scenario && runs[to].Load == runs[from].Load {
			to++
		}
		points = append(points, summarizePoint(runs[from:to]))
		from = to
	}
	return points
}

// summarizePoint summarizes the runs of one scenario at one load.
func summarizePoint(runs []Run) Point {
	figure := func(value func(r Run) float64) Figure {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = value(r)
		}
		return summarizeValues(values)
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

// summarizeValues returns the figure of one or more values. One value has no standard deviation and no interval.
func summarizeValues(values []float64) Figure {
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
