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

// loadSteps is the number of loads that are played for a range of loads, both ends included.
const loadSteps = 7

// experimentCommand returns the command experiment.
func (c *cli) experimentCommand() *cobra.Command {
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
			design := experiment.Design{Loads: loads, Seeds: seeds, Workers: workers}
			for _, path := range args {
				s, err := c.readScenario(path)
				if err != nil {
					return err
				}
				design.Scenarios = append(design.Scenarios, s)
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return c.runExperiment(ctx, &design, dir)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&seeds, "seeds", 10, "how many seeds, from 1 on")
	flags.IntVar(&workers, "workers", runtime.NumCPU(), "how many run at once")
	flags.StringVar(&load, "load", "1", "multiples of the script's rate: 1.2, or 0.5,1,2, or a range like 0.5..2")
	flags.StringVar(&dir, "report", "", "a directory for the table and the page")
	return cmd
}

// parseLoads parses the value of --load: one number, several separated by commas, or a range FROM..TO, which becomes loadSteps loads with a
// constant ratio between neighbours. Its errors mean wrong usage.
func parseLoads(text string) (loads []float64, err error) {
	parseLoad := func(s string) (float64, error) {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f > 0) || f > 1000 {
			return 0, fmt.Errorf("--load: %q is not a number above 0 and at most 1000", s)
		}
		return f, nil
	}
	if from, to, ok := strings.Cut(text, ".."); ok {
		low, err := parseLoad(from)
		if err != nil {
			return nil, err
		}
		high, err := parseLoad(to)
		if err != nil {
			return nil, err
		}
		if low >= high {
			return nil, fmt.Errorf("--load: the range %s does not end above its start", text)
		}
		for i := range loadSteps {
			f := low * math.Pow(high/low, float64(i)/(loadSteps-1))
			loads = append(loads, math.Round(f*1000)/1000)
		}
		return loads, nil
	}
	for s := range strings.SplitSeq(text, ",") {
		f, err := parseLoad(s)
		if err != nil {
			return nil, err
		}
		loads = append(loads, f)
	}
	return loads, nil
}

// runExperiment plays a design and prints a summary line for each scenario and load. Unless dir is empty it also writes a table of the runs
// and an HTML page to that directory. It returns errFindings if a rule was broken.
func (c *cli) runExperiment(ctx context.Context, design *experiment.Design, dir string) error {
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
		if err := c.writeExperiment(dir, design.Scenarios, runs, points); err != nil {
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

// writeExperiment writes a CSV file with a row for each run and an HTML page with charts, and prints their paths.
func (c *cli) writeExperiment(dir string, scenarios []*scenario.Scenario, runs []experiment.Run, points []experiment.Point) error {
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

// experimentRows returns a header and a row for each run. The column names must not change, since other tools read them.
func experimentRows(scenarios []*scenario.Scenario, runs []experiment.Run) [][]string {
	rows := [][]string{{
		"morning", "load", "seed", "requests", "service", "worst_10s", "refused", "failed", "attempts_a_call", "waste", "p50_s", "p99_s", "breaches",
	}}
	decimal := func(x float64) string { return strconv.FormatFloat(x, 'f', 5, 64) }
	for _, r := range runs {
		rows = append(rows, []string{
			scenarios[r.Scenario].Name, strconv.FormatFloat(r.Load, 'f', -1, 64), strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Requests),
			decimal(r.Service), decimal(r.WorstService), decimal(r.Rejected), decimal(r.Failed), decimal(r.AttemptsPerCall), decimal(r.WastedShare),
			decimal(r.P50.Seconds()), decimal(r.P99.Seconds()), strconv.Itoa(r.Breaches),
		})
	}
	return rows
}
