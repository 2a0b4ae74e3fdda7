package tool

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/fleet"
	"quincegap/internal/rehearsal/report"
)

// fleetOptions holds the flags of the command fleet.
type fleetOptions struct {
	seed      uint64
	subsets   bool
	endpoints int
	instances int
	cpu       bool
	list      bool
	waves     bool
	rates     []float64
	restart   string
	seeds     int
}

// The largest fleet that --subsets measures.
const (
	maxMeasuredEndpoints = 20_000
	maxMeasuredInstances = 500
)

// fleetCommand returns the command fleet.
func (c *cli) fleetCommand() *cobra.Command {
	var options fleetOptions
	cmd := &cobra.Command{
		Use: "fleet [DAY...]", Short: "Play hard days of large fleets in virtual time, or measure subsets of endpoints",
		Long: "fleet plays days with up to 20,000 endpoints or 200 sidecars, with the decision module alone and no socket:\n" +
			"the same seed prints the same, byte for byte. Without names all days are played: " + strings.Join(fleet.Days(), ", ") + ".\n\n" +
			"in vain   attempts that no answer came of\n" +
			"max, p99  load of the most loaded endpoint, and of the one that 99 of 100 stay under, over the mean, while\n" +
			"          they were alike; behind it in brackets, what even odds for every attempt come to\n\n" +
			"With --waves boxes and sidecars all restart at once, before 4 to 200 sidecars; the table shows\n" +
			"fell        cold boxes that were pushed over, of 64, the mean and the most over the seeds\n" +
			"service     worth in time over worth asked, the mean and the least\n" +
			"cold        the most that all together sent to a cold box, over what it bears\n" +
			"vain        the most that one box turned away within a second\n" +
			"knocks      the most that came within a second to a box that was not there\n" +
			"opened      the most connections opened to one box within a second\n" +
			"trials      the most that came to one box within a second from sidecars that had isolated it\n" +
			"listed      the most lists that were asked for within a second\n" +
			"full use    until the end of a second in which as much was served as asked for, from the first box\n" +
			"            or sidecar that was back; the mean\n\n" +
			"With --subsets it measures ways to choose which instance calls which endpoints, while endpoints come and go.\n\n" +
			"Exit codes: 0 all kept, 1 a rule was broken or a day did not reach what it should, 2 wrong usage.",
		RunE: func(_ *cobra.Command, args []string) error {
			switch {
			case options.list:
				return c.listDays()
			case options.waves && (options.subsets || len(args) > 0):
				return fmt.Errorf("--waves cannot be combined with days or --subsets")
			case options.waves:
				return c.playWaves(options)
			case !options.subsets:
				return c.playDays(args, options)
			case len(args) > 0:
				return fmt.Errorf("--subsets takes no days: %s", strings.Join(args, " "))
			case options.endpoints < 1 || options.endpoints > maxMeasuredEndpoints ||
				options.instances < 1 || options.instances > maxMeasuredInstances:
				return fmt.Errorf("--endpoints has to be 1 to %d, and --instances 1 to %d", maxMeasuredEndpoints, maxMeasuredInstances)
			}
			return c.measureSubsets(options)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&options.seed, "seed", 0, "another seed than the day's")
	flags.BoolVar(&options.list, "list", false, "list the days, and play nothing")
	flags.BoolVar(&options.waves, "waves", false, "restart a fleet at once, with 4 to 200 sidecars")
	flags.Float64SliceVar(&options.rates, "rate", []float64{650, 1000, 1300, 1600}, "requests a second, of --waves")
	flags.StringVar(&options.restart, "restart", "all", "what restarts in --waves: "+strings.Join(restartKinds, ", "))
	flags.IntVar(&options.seeds, "seeds", 5, "of --waves, from --seed (3 if that is not set) on")
	flags.BoolVar(&options.subsets, "subsets", false, "measure subsets")
	flags.IntVar(&options.endpoints, "endpoints", 1500, "of --subsets")
	flags.IntVar(&options.instances, "instances", 40, "of --subsets")
	flags.BoolVar(&options.cpu, "cpu", false, "print the time that a decision took, all that was emulated included, as the last column")
	return cmd
}

// waveSidecars lists the numbers of sidecars for which --waves plays a restart.
var waveSidecars = []int{2, 4, 10, 12, 16, 24, 32, 40, 120, 200}

// maxWaveSeeds is the largest value of --seeds.
const maxWaveSeeds = 100

// restartKinds lists the values of --restart, which selects the processes that restart in a wave.
var restartKinds = []string{"all", "boxes", "sidecars", "half"}

// playWaves plays simultaneous restarts of many processes, and prints a line for each rate and number of sidecars. It plays as many waves in
// parallel as there are processors. It returns an error if a cold box was overloaded.
func (c *cli) playWaves(options fleetOptions) error {
	if options.seeds < 1 || options.seeds > maxWaveSeeds {
		return fmt.Errorf("--seeds has to be 1 to %d", maxWaveSeeds)
	}
	for _, r := range options.rates {
		if !(r >= 1 && r <= 20_000) {
			return fmt.Errorf("--rate has to be 1 to 20000 requests a second, not %v", r)
		}
	}
	if !slices.Contains(restartKinds, options.restart) {
		return fmt.Errorf("%s", finding.UnknownName("restart", options.restart, restartKinds))
	}
	results, err := fleet.PlayWaves(allWaves(options))
	if err != nil {
		return runError{err}
	}
	rows := newFigureTable(c.out)
	rows.println("rate\tsidecars\tfell\tservice\tcold\tvain\tknocks\topened\ttrials\tlisted\tfull use\t")
	collapses := 0
	for i := 0; i < len(results); i += options.seeds {
		summary := fleet.Summarize(results[i : i+options.seeds])
		collapses += summary.MaxCollapses
		recovery := "never"
		if summary.RecoveryTime > 0 {
			recovery = summary.RecoveryTime.Round(100 * time.Millisecond).String()
		}
		wave := results[i].Wave
		rows.printf("%v\t%d\t%.1f (%d)\t%.3f (%.3f)\t%.2f\t%d\t%d\t%d\t%d\t%d\t%s\t\n",
			wave.Rate, wave.Sidecars, summary.Collapses, summary.MaxCollapses, summary.Service, summary.MinService, summary.ColdLoad,
			summary.MaxRejected, summary.MaxUnreachable, summary.MaxConnectionsOpened, summary.MaxEjectedAttempts,
			summary.MaxListRequests, recovery)
	}
	if err := rows.Flush(); err != nil {
		return runError{err}
	}
	if collapses > 0 {
		return runError{fmt.Errorf("cold boxes were pushed over")}
	}
	return nil
}

// allWaves returns a wave for each combination of rate, number of sidecars and seed. The waves that differ only in the seed are consecutive.
func allWaves(options fleetOptions) (waves []*fleet.RestartWave) {
	for _, rate := range options.rates {
		for _, sidecars := range waveSidecars {
			for i := range options.seeds {
				wave := &fleet.RestartWave{Sidecars: sidecars, Rate: rate, Seed: cmp.Or(options.seed, 3) + uint64(i)}
				switch options.restart {
				case "boxes":
					wave.ServerShare = 1
				case "sidecars":
					wave.SidecarShare = 1
				case "half":
					wave.ServerShare = 0.5
					wave.SidecarShare = 0.5
				}
				waves = append(waves, wave)
			}
		}
	}
	return waves
}

// listDays prints the names and titles of all days.
func (c *cli) listDays() error {
	for _, name := range fleet.Days() {
		day, err := fleet.Day(name)
		if err != nil {
			return runError{err}
		}
		c.out.printf("%-12s %s\n", name, day.Title)
	}
	return nil
}

// playDays plays the named days in sequence, or all if there are no names. It prints a line for each day, then the breaches, and returns the
// error for the worst outcome.
func (c *cli) playDays(names []string, options fleetOptions) error {
	if len(names) == 0 {
		names = fleet.Days()
	}
	rows := newFigureTable(c.out)
	rows.printf("day\tendpoints\tsidecars\trequests\tservice\trefused\tfailed\tin vain\tmax\t\tp99\t\tbreaches\tdecisions\t")
	if options.cpu {
		rows.printf("us each\t")
	}
	rows.println()
	var plays []*report.Run
	for _, name := range names {
		day, err := fleet.Day(name)
		if err != nil {
			return err
		}
		start := time.Now()
		outcome, err := fleet.Play(day, options.seed)
		if err != nil {
			return runError{fmt.Errorf("%s: %w", name, err)}
		}
		elapsed := time.Since(start)
		printDay(rows, name, outcome)
		if options.cpu {
			rows.printf("%.1f\t", float64(elapsed.Microseconds())/float64(max(1, outcome.Decisions)))
		}
		rows.println()
		plays = append(plays, &report.Run{Plan: outcome.Plan, Verdict: outcome.Verdict, Virtual: true})
	}
	if err := rows.Flush(); err != nil {
		return runError{err}
	}
	c.printBreaches(plays)
	return worstOutcome(plays)
}

// printDay prints the results of one day as table cells, without ending the line.
func printDay(w *table, name string, r *fleet.Outcome) {
	v := r.Verdict
	s := r.Spread
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, v.Requests)) }
	w.printf("%s\t%d\t%d\t%d\t%.3f\t%.2f%%\t%.2f%%\t%.2f%%\t%.2f\t(%.2f)\t%.2f\t(%.2f)\t%d\t%d\t",
		name, len(r.Plan.Servers), len(r.Plan.SidecarSpecs()), v.Requests, v.Service, share(v.Rejected), share(v.Failed),
		100*r.UnansweredShare, s.Max, s.ChanceMax, s.P99, s.ChanceP99, len(v.Breaches), r.Decisions)
}

// printBreaches prints the outcome, the reasons for it and the first breaches of each play whose outcome is not OutcomeKept.
func (c *cli) printBreaches(plays []*report.Run) {
	for _, p := range plays {
		outcome, why := p.Outcome()
		if outcome == report.OutcomeKept {
			continue
		}
		c.out.printf("%s: %v\n", p.Plan.DisplayName(), outcome)
		for _, line := range why {
			c.out.printf("  %s\n", line)
		}
		breaches := p.Verdict.Breaches
		for _, b := range breaches[:min(len(breaches), maxBreachesShown)] {
			c.out.printf("  %8.3f s  %v: %s\n", b.At.Seconds(), b.Rule, b.Message)
		}
	}
}

// maxBreachesShown is the largest number of breaches that are printed for a play.
const maxBreachesShown = 5

// measureSubsets prints, for each subsetting scheme and each kind of change to the endpoints, how many endpoints are reassigned and how
// evenly the load is spread.
func (c *cli) measureSubsets(options fleetOptions) error {
	rows := newFigureTable(c.out)
	rows.println("change\tscheme\tmoved\treached\tload\tp99\tsubset\t")
	for _, change := range fleet.Churns {
		for _, scheme := range fleet.SubsettingSchemes {
			figures, err := fleet.MeasureSubsets(scheme, change, options.endpoints, options.instances, max(1, options.seed))
			if err != nil {
				return runError{err}
			}
			rows.printf("%s\t%s\t%.1f\t%d to %d\t%.2f\t%.2f\t%.2f\t\n",
				figures.Change, figures.Scheme, figures.Moved, figures.MinInstances, figures.MaxInstances, figures.Load, figures.LoadP99, figures.Spread)
		}
	}
	if err := rows.Flush(); err != nil {
		return runError{err}
	}
	return nil
}
