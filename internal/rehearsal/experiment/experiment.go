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
	Mornings []*morning.Morning
	Loads    []float64 // multiples of each morning's rate
	Seeds    int       // the first is 1
	Workers  int       // at once
}

// Most bounds the runs of one experiment.
const Most = 100_000

// Run is one playing.
type Run struct {
	Morning  int // index
	Load     float64
	Seed     uint64
	Requests int
	Service  float64
	Worst    float64
	Refused  float64 // shares of the requests
	Failed   float64
	PerCall  float64
	Waste    float64
	P50, P99 time.Duration
	Breaches int
}

// Point sums up the runs of one morning at one load.
type Point struct {
	Morning  int
	Load     float64
	Runs     int
	Service  Figure
	Worst    Figure
	Refused  Figure
	Failed   Figure
	PerCall  Figure
	P99      Figure // seconds
	Breaches int
}

// Figure is a mean over seeds.
type Figure struct {
	Mean, SD, Min, Max float64
	Half               float64 // of the interval that holds the mean with 95% (Student's t); 0 for one run
}

// Check tells why a design cannot be played.
func (d *Design) Check() error {
	n := len(d.Mornings) * len(d.Loads) * d.Seeds
	switch {
	case n < 1:
		return fmt.Errorf("no morning, load or seed: nothing to play")
	case n > Most:
		return fmt.Errorf("%d runs, %d at most", n, Most)
	}
	for _, m := range d.Mornings {
		for _, l := range d.Loads {
			if !(l > 0) || math.IsInf(l, 0) {
				return fmt.Errorf("load %v: above 0 is wanted", l)
			}
			if r := m.Callers.Rate * l * m.Length.Seconds(); r > morning.MostRequests {
				return fmt.Errorf("%s at load %v: about %.0f requests, %d at most", m.Name, l, r, morning.MostRequests)
			}
		}
	}
	return nil
}

// Play plays a design. progress is told how many runs have ended, one call at a time; nil for none.
func (d *Design) Play(ctx context.Context, progress func(done, of int)) ([]Run, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	var runs []Run
	for i := range d.Mornings {
		for _, l := range d.Loads {
			for seed := range d.Seeds {
				runs = append(runs, Run{Morning: i, Load: l, Seed: uint64(seed + 1)})
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
				err := d.one(&runs[i])
				mu.Lock()
				done++
				if err != nil && first == nil {
					first = fmt.Errorf("%s, load %v, seed %d: %w", d.Mornings[runs[i].Morning].Name, runs[i].Load, runs[i].Seed, err)
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

func (d *Design) one(r *Run) error {
	res, err := dryrun.Run(d.Mornings[r.Morning].AtLoad(r.Load).Plan(r.Seed))
	if err != nil {
		return err
	}
	v := res.Verdict
	share := func(n int) float64 { return float64(n) / float64(max(1, v.Requests)) }
	r.Requests, r.Service, r.Worst, r.PerCall, r.Waste = v.Requests, v.Service, v.Worst, v.PerCall, v.Waste
	r.Refused, r.Failed, r.P50, r.P99, r.Breaches = share(v.Refused), share(v.Failed), v.P50, v.P99, len(v.Breaches)
	return nil
}

// Sum sums runs up, in their order.
func Sum(runs []Run) (points []Point) {
	for from := 0; from < len(runs); {
		to := from
		for to < len(runs) && runs[to].Morning == runs[from].Morning && runs[to].Load == runs[from].Load {
			to++
		}
		part := runs[from:to]
		of := func(f func(r Run) float64) Figure {
			xs := make([]float64, len(part))
			for i, r := range part {
				xs[i] = f(r)
			}
			return figure(xs)
		}
		p := Point{
			Morning: part[0].Morning, Load: part[0].Load, Runs: len(part),
			Service: of(func(r Run) float64 { return r.Service }), Worst: of(func(r Run) float64 { return r.Worst }),
			Refused: of(func(r Run) float64 { return r.Refused }), Failed: of(func(r Run) float64 { return r.Failed }),
			PerCall: of(func(r Run) float64 { return r.PerCall }), P99: of(func(r Run) float64 { return r.P99.Seconds() }),
		}
		for _, r := range part {
			p.Breaches += r.Breaches
		}
		points = append(points, p)
		from = to
	}
	return points
}

func figure(xs []float64) Figure {
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
	f.Half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * f.SD / math.Sqrt(n)
	return f
}
