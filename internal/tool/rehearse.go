package tool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"quincegap/internal/config/finding"
	"quincegap/internal/product"
	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/rehearse"
	"quincegap/internal/rehearsal/report"
	"quincegap/internal/rehearsal/scenario"
)

// ExitVoid is the exit code of a rehearsal that has no verdict because the machine was too slow for the emulator.
const ExitVoid = 3

// errVoid is the error of a command whose rehearsal has no verdict. Run turns it into ExitVoid and prints nothing.
var errVoid = errors.New("void")

// rehearsalOptions holds the flags of the command rehearse.
type rehearsalOptions struct {
	seed    uint64
	report  string
	sidecar string
	compare string
	virtual bool
	plan    bool
	check   bool
	quiet   bool
}

// rehearseCommand returns the command rehearse.
func (c *cli) rehearseCommand() *cobra.Command {
	var options rehearsalOptions
	cmd := &cobra.Command{
		Use: "rehearse SCRIPT", Short: "Play a bad morning against real sidecars on loopback", Args: cobra.ExactArgs(1),
		Long: "rehearse plays a script of rehearsals/ (or your own) with emulated boxes, callers and discovery on loopback,\n" +
			"and real sidecars as processes. It judges the four rules and the service.\n\n" +
			"Exit codes: 0 all kept, 1 a rule was broken, an expectation missed or the script has findings, 2 wrong usage,\n" +
			"3 void: this machine was too slow for the morning, which says nothing of the sidecar.",
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return c.playScript(ctx, args[0], options)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&options.seed, "seed", 0, "another seed than the script's: other boxes are hit, others come")
	flags.StringVar(&options.report, "report", "", "a directory for the page, the plan and the sidecars' logs")
	flags.StringVar(&options.sidecar, "sidecar", "", "the sidecar's program (quincegap beside this one)")
	flags.StringVar(&options.compare, "compare", "", "another build, which plays the same morning after the first")
	flags.BoolVar(&options.virtual, "virtual", false, "in virtual time, with the decision module alone and no socket: the same seed gives the same run")
	flags.BoolVar(&options.plan, "plan", false, "print what will happen when, and play nothing")
	flags.BoolVar(&options.check, "check", false, "check the script, and play nothing")
	flags.BoolVar(&options.quiet, "quiet", false, "no progress")
	return cmd
}

// readScenario reads a script. If the script has findings, it prints them and returns errFindings.
func (c *cli) readScenario(path string) (*scenario.Scenario, error) {
	var found finding.List
	text, err := product.Read(path, scenario.MaxBytes)
	if err != nil {
		return nil, runError{fmt.Errorf("%s: %w", path, err)}
	}
	script := scenario.Read(path, text, &found)
	if script == nil {
		return nil, c.report(&found)
	}
	return script, nil
}

// playScript plays a script, or only checks it or prints its plan, depending on the flags.
func (c *cli) playScript(ctx context.Context, path string, options rehearsalOptions) error {
	script, err := c.readScenario(path)
	if err != nil {
		return err
	}
	plan := script.Plan(options.seed)
	switch {
	case options.check:
		c.printPlayable(path, plan)
		return nil
	case options.plan:
		if err := plan.WriteText(c.out); err != nil {
			return runError{err}
		}
		return nil
	case options.virtual:
		play, err := playVirtual(plan)
		if err != nil {
			return err
		}
		return c.showPlays([]*report.Run{play}, options)
	}
	return c.playOnSockets(ctx, plan, options)
}

// printPlayable prints whether a plan can be played with real processes, or only in virtual time.
func (c *cli) printPlayable(path string, plan *scenario.Plan) {
	if err := rehearse.CheckSockets(plan); err != nil {
		c.out.printf("%s: can be played with --virtual alone: %v\n", path, err)
		return
	}
	c.out.printf("%s: can be played\n", path)
}

// playOnSockets plays a plan with real processes of the sidecar, and prints the result. With --compare it plays the plan again with a second
// build and prints both results side by side.
func (c *cli) playOnSockets(ctx context.Context, plan *scenario.Plan, options rehearsalOptions) error {
	if options.sidecar == "" {
		self, err := os.Executable()
		if err != nil {
			return runError{err}
		}
		options.sidecar = filepath.Join(filepath.Dir(self), "quincegap")
	}
	var plays []*report.Run
	for i, program := range []string{options.sidecar, options.compare} {
		if program == "" {
			continue
		}
		play, err := c.playOnce(ctx, plan, program, options, i)
		if err != nil {
			return err
		}
		plays = append(plays, play)
	}
	return c.showPlays(plays, options)
}

// playVirtual plays a plan in virtual time, without processes or sockets.
func playVirtual(plan *scenario.Plan) (*report.Run, error) {
	start := time.Now()
	result, err := dryrun.Run(plan)
	if err != nil {
		return nil, runError{err}
	}
	elapsed := time.Since(start)
	return &report.Run{
		Plan: plan, Verdict: result.Verdict, Virtual: true,
		Notes: []string{fmt.Sprintf("in virtual time, the decision module alone; played in %v", elapsed.Round(time.Millisecond))},
	}, nil
}

// showPlays prints the verdicts, and writes the CSV file and the HTML page if --report is set. It returns the error for the worst outcome.
func (c *cli) showPlays(plays []*report.Run, options rehearsalOptions) error {
	if err := report.WriteScreen(c.out, plays...); err != nil {
		return runError{err}
	}
	if options.report != "" {
		if err := os.MkdirAll(options.report, reportDirMode); err != nil {
			return runError{err}
		}
		if err := writeSeconds(filepath.Join(options.report, "seconds.csv"), plays); err != nil {
			return runError{err}
		}
		if err := c.writePage(filepath.Join(options.report, "report.html"), plays); err != nil {
			return runError{err}
		}
	}
	return worstOutcome(plays)
}

// writeSeconds writes a CSV file with a row for each second of each play. The column names must not change, since other tools read them.
func writeSeconds(path string, plays []*report.Run) error {
	rows := [][]string{{"build", "second", "offered", "in_time", "late", "refused", "failed", "attempts", "emulator_late"}}
	for _, p := range plays {
		for i, s := range p.Verdict.Seconds {
			row := []string{p.Program}
			for _, n := range []int{i, s.Offered, s.Served, s.Late, s.Rejected, s.Failed, s.Attempts} {
				row = append(row, strconv.Itoa(n))
			}
			rows = append(rows, append(row, strconv.FormatBool(s.Doubtful)))
		}
	}
	return writeCSV(path, rows)
}

// worstOutcome returns the error for the worst outcome of plays: nil if the outcome of all is OutcomeKept, errVoid if the worst is
// OutcomeVoid, and else errFindings.
func worstOutcome(plays []*report.Run) error {
	worst := report.OutcomeKept
	for _, p := range plays {
		o, _ := p.Outcome()
		worst = max(worst, o)
	}
	switch worst {
	case report.OutcomeKept:
		return nil
	case report.OutcomeVoid:
		return errVoid
	}
	return errFindings
}

// playOnce plays a plan with one build of the sidecar, whose index from 0 names the build's folder. The files of the play are removed
// afterwards unless --report is set.
func (c *cli) playOnce(ctx context.Context, plan *scenario.Plan, program string, options rehearsalOptions, index int) (play *report.Run, err error) {
	dir := options.report
	if dir == "" {
		if dir, err = os.MkdirTemp("", "quincegap-rehearsal-"); err != nil {
			return nil, runError{err}
		}
		defer func() {
			if removeErr := os.RemoveAll(dir); removeErr != nil {
				err = errors.Join(err, runError{removeErr})
			}
		}()
	}
	buildDir := filepath.Join(dir, fmt.Sprintf("build-%d", index+1))
	if err := os.MkdirAll(buildDir, reportDirMode); err != nil {
		return nil, runError{err}
	}
	run := rehearse.Options{Program: program, Dir: buildDir}
	if !options.quiet {
		c.errOut.printf("playing %s on %s: %v\n", plan.DisplayName(), program, plan.Length)
		run.Progress = func(p rehearse.Progress) {
			c.errOut.printf("\r%4.0f s  asked %d  served %d  refused %d  failed %d  attempts %d ",
				p.At.Seconds(), p.Requests, p.Served, p.Rejected, p.Failed, p.Attempts)
		}
	}
	result, err := rehearse.Run(ctx, plan, run)
	if !options.quiet {
		c.errOut.println()
	}
	if err != nil {
		return nil, runError{err}
	}
	return &report.Run{
		Program: program, Plan: plan, Verdict: result.Verdict, CPU: result.CPU, Memory: result.Memory, Notes: resultNotes(result),
	}, nil
}

// resultNotes returns the remarks that are shown beside the verdict of a result.
func resultNotes(result *rehearse.Result) (notes []string) {
	if result.UnansweredFaultyCallers > 0 {
		notes = append(notes, fmt.Sprintf("%d rude callers got neither an answer nor a close: %s",
			result.UnansweredFaultyCallers, strings.Join(result.UnansweredInputs, "; ")))
	}
	if result.HTTP3 > 0 {
		notes = append(notes, fmt.Sprintf("%d attempts came over HTTP/3", result.HTTP3))
	}
	if result.RepeatedEffects > 0 {
		notes = append(notes, fmt.Sprintf("%d effects beyond the first of a key; callers' own repeats are among them", result.RepeatedEffects))
	}
	return notes
}

// writePage writes an HTML page with the results of plays, and prints its path.
func (c *cli) writePage(path string, plays []*report.Run) error {
	err := writeFile(path, func(w io.Writer) error { return report.WritePage(w, time.Now(), plays...) })
	if err != nil {
		return err
	}
	c.out.printf("%s\n", path)
	return nil
}
