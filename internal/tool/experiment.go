package tool

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"quincegap/internal/rehearsal/experiment"
	"quincegap/internal/rehearsal/report"
	"quincegap/internal/rehearsal/scenario"
)

// loadSteps is the number of loads into which a range is divided.
const loadSteps = 7

// experimentCommand declares the command experiment.
func (c *command) experimentCommand() *cobra.Command {
	var seeds, workers int
	var load, dir string
	cmd := &cobra.Command{
		Use: "experiment SCRIPT...", Short: "Play mornings in virtual time, with many seeds and loads", Args: cobra.MinimumNArgs(1),
		Long: "experiment plays scripts of rehearsals in virtual time, with the decision module alone, and prints mean and\n" +
			"95% interval over the seeds. With --report it keeps a table (experiment.csv) and a page with charts.\n\n" +
			"Exit codes: 0 no rule broken, 1 a rule was broken or a script has findings, 2 wrong usage.",
		RunE: func(_ *cobra.Command, args []string) error {
			loads, err := parseLoads(load)
			if err != nil {
				return err
			}
			d := experiment.Design{Loads: loads, Seeds: seeds, Workers: workers}
			for _, path := range args {
				s, err := c.readScenario(path)
				if err != nil {
					return err
				}
				d.Scenarios = append(d.Scenarios, s)
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return c.runExperiment(ctx, &d, dir)
		},
	}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 10, "how many seeds, from 1 on")
	f.IntVar(&workers, "workers", runtime.NumCPU(), "how many run at once")
	f.StringVar(&load, "load", "1", "multiples of the script's rate: 1.2, or 0.5,1,2, or a range like 0.5..2")
	f.StringVar(&dir, "report", "", "a directory for the table and the page")
	return cmd
}

// parseLoads parses loads: one number, several divided by commas, or a range FROM..TO, which becomes loadSteps loads in equal ratios.
func parseLoads(text string) (loads []float64, err error) {
	number := func(s string) (float64, error) {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f > 0) || f > 1000 {
			return 0, fmt.Errorf("--load: %q is not a number above 0", s)
		}
		return f, nil
	}
	if from, to, ok := strings.Cut(text, ".."); ok {
		low, err := number(from)
		if err != nil {
			return nil, err
		}
		high, err := number(to)
		if err != nil {
			return nil, err
		}
		if low >= high {
			return nil, fmt.Errorf("--load: %s does not rise", text)
		}
		for i := range loadSteps {
			f := low * math.Pow(high/low, float64(i)/(loadSteps-1))
			loads = append(loads, math.Round(f*1000)/1000)
		}
		return loads, nil
	}
	for s := range strings.SplitSeq(text, ",") {
		f, err := number(s)
		if err != nil {
			return nil, err
		}
		loads = append(loads, f)
	}
	return loads, nil
}

// runExperiment plays a design and prints its points. Unless dir is empty it also writes the runs and a page there. It returns errFindings
// if a rule was broken.
func (c *command) runExperiment(ctx context.Context, design *experiment.Design, dir string) error {
	if err := design.Validate(); err != nil {
		return err
	}
	runs, err := design.Play(ctx, func(done, of int) {
		if done == of || done%max(1, of/50) == 0 {
			c.errOut.printf("\r%d of %d runs", done, of)
		}
	})
	c.errOut.println()
	if err != nil {
		return runError{err}
	}
	points := experiment.Summarize(runs)
	if err := report.WriteTable(c.out, design.Scenarios, points); err != nil {
		return runError{err}
	}
	if dir != "" {
		if err := c.keepExperiment(dir, design.Scenarios, runs, points); err != nil {
			return runError{err}
		}
	}
	for _, p := range points {
		if p.Breaches > 0 {
			return errFindings
		}
	}
	return nil
}

// keepExperiment writes a table with a row for each run, and a page with charts.
func (c *command) keepExperiment(dir string, scenarios []*scenario.Scenario, runs []experiment.Run, points []experiment.Point) error {
	if err := os.MkdirAll(dir, reportDirMode); err != nil {
		return err
	}
	tablePath := filepath.Join(dir, "experiment.csv")
	if err := writeCSV(tablePath, experimentRows(scenarios, runs)); err != nil {
		return err
	}
	pagePath := filepath.Join(dir, "experiment.html")
	err := writeFile(pagePath, func(w io.Writer) error { return report.WriteExperimentPage(w, time.Now(), scenarios, points) })
	if err != nil {
		return err
	}
	c.out.printf("%s\n%s\n", tablePath, pagePath)
	return nil
}

// experimentRows returns a header and a row for each run. The names of the columns are data: other tools read them.
func experimentRows(scenarios []*scenario.Scenario, runs []experiment.Run) [][]string {
	rows := [][]string{{
		"morning", "load", "seed", "requests", "service", "worst_10s", "refused", "failed", "attempts_a_call", "waste", "p50_s", "p99_s", "breaches",
	}}
	figure := func(x float64) string { return strconv.FormatFloat(x, 'f', 5, 64) }
	for _, r := range runs {
		rows = append(rows, []string{
			scenarios[r.Scenario].Name, strconv.FormatFloat(r.Load, 'f', -1, 64), strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Requests),
			figure(r.Service), figure(r.WorstService), figure(r.Rejected), figure(r.Failed), figure(r.AttemptsPerCall), figure(r.WastedShare),
			figure(r.P50.Seconds()), figure(r.P99.Seconds()), strconv.Itoa(r.Breaches),
		})
	}
	return rows
}
