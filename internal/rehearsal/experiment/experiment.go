// Package experiment plays mornings many times in virtual time, with several seeds
// and at several loads, and sums up how they end. It does no I/O; the result does
// not depend on how many run at once.
package experiment

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/morning"
)

// Design is what is to be played: each morning at each load with each seed.
type Design struct {
	Scenarios []*morning.Scenario
	Loads     []float64 // multiples of each morning's rate
	Seeds     int       // the first is 1
	Workers   int       // at once
}

// MaxRuns bounds the runs of one experiment.
const MaxRuns = 100_000

// Run is one playing.
type Run struct {
	Scenario        int // index
	Load            float64
	Seed            uint64
	Requests        int
	Service         float64
	WorstService    float64
	Rejected        float64 // shares of the requests
	Failed          float64
	AttemptsPerCall float64
	WastedShare     float64
	P50, P99        time.Duration
	Breaches        int
}

// Point sums up the runs of one morning at one load.
type Point struct {
	Scenario        int
	Load            float64
	Runs            int
	Service         Figure
	WorstService    Figure
	Rejected        Figure
	Failed          Figure
	AttemptsPerCall Figure
	P99             Figure // seconds
	Breaches        int
}

// Figure is a mean over seeds.
type Figure struct {
	Mean, SD, Min, Max float64
	HalfInterval       float64 // of the interval that holds the mean with 95% (Student's t); 0 for one run
}

// Validate tells why a design cannot be played.
func (d *Design) Validate() error {
	n := len(d.Scenarios) * len(d.Loads) * d.Seeds
	switch {
	case n < 1:
		return fmt.Errorf("no morning, load or seed: nothing to play")
	case n > MaxRuns:
		return fmt.Errorf("%d runs, %d at most", n, MaxRuns)
	}
	for _, m := range d.Scenarios {
		for _, l := range d.Loads {
			if !(l > 0) || math.IsInf(l, 0) {
				return fmt.Errorf("load %v: above 0 is wanted", l)
			}
			if r := m.Callers.Rate * l * m.Length.Seconds(); r > morning.MaxRequests {
				return fmt.Errorf("%s at load %v: about %.0f requests, %d at most", m.Name, l, r, morning.MaxRequests)
			}
		}
	}
	return nil
}

// Play plays a design. progress is told how many runs have ended, one call at a time; nil for none.
func (d *Design) Play(ctx context.Context, progress func(done, of int)) ([]Run, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	var runs []Run
	for i := range d.Scenarios {
		for _, l := range d.Loads {
			for seed := range d.Seeds {
				runs = append(runs, Run{Scenario: i, Load: l, Seed: uint64(seed + 1)})
			}
		}
	}
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		next  int
		done  int
		first error
	)
	for range max(1, min(d.Workers, len(runs))) {
		wg.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				stop := first != nil || ctx.Err() != nil
				mu.Unlock()
				if stop || i >= len(runs) {
					return
				}
				err := d.playRun(&runs[i])
				mu.Lock()
				done++
				if err != nil && first == nil {
					first = fmt.Errorf("%s, load %v, seed %d: %w", d.Scenarios[runs[i].Scenario].Name, runs[i].Load, runs[i].Seed, err)
				}
				if progress != nil {
					progress(done, len(runs))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if first == nil {
		first = ctx.Err()
	}
	return runs, first
}

func (d *Design) playRun(r *Run) error {
	res, err := dryrun.Run(d.Scenarios[r.Scenario].AtLoad(r.Load).Plan(r.Seed))
	if err != nil {
		return err
	}
	v := res.Verdict
	share := func(n int) float64 { return float64(n) / float64(max(1, v.Requests)) }
	r.Requests, r.Service, r.WorstService, r.AttemptsPerCall, r.WastedShare = v.Requests, v.Service, v.WorstService, v.AttemptsPerCall, v.WastedShare
	r.Rejected, r.Failed, r.P50, r.P99, r.Breaches = share(v.Rejected), share(v.Failed), v.P50, v.P99, len(v.Breaches)
	return nil
}

// Summarize sums runs up, in their order.
func Summarize(runs []Run) (points []Point) {
	for from := 0; from < len(runs); {
		to := from
		for to < len(runs) && runs[to].Scenario == runs[from].Scenario && runs[to].Load == runs[from].Load {
			to++
		}
		part := runs[from:to]
		of := func(f func(r Run) float64) Figure {
			xs := make([]float64, len(part))
			for i, r := range part {
				xs[i] = f(r)
			}
			return figureOf(xs)
		}
		p := Point{
			Scenario: part[0].Scenario, Load: part[0].Load, Runs: len(part),
			Service: of(func(r Run) float64 { return r.Service }), WorstService: of(func(r Run) float64 { return r.WorstService }),
			Rejected: of(func(r Run) float64 { return r.Rejected }), Failed: of(func(r Run) float64 { return r.Failed }),
			AttemptsPerCall: of(func(r Run) float64 { return r.AttemptsPerCall }), P99: of(func(r Run) float64 { return r.P99.Seconds() }),
		}
		for _, r := range part {
			p.Breaches += r.Breaches
		}
		points = append(points, p)
		from = to
	}
	return points
}

func figureOf(xs []float64) Figure {
	f := Figure{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, x := range xs {
		f.Min, f.Max = min(f.Min, x), max(f.Max, x)
	}
	if len(xs) == 1 {
		f.Mean = xs[0]
		return f
	}
	f.Mean, f.SD = stat.MeanStdDev(xs, nil)
	n := float64(len(xs))
	f.HalfInterval = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * f.SD / math.Sqrt(n)
	return f
}
