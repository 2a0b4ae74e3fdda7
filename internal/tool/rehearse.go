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

// ExitVoid is the exit code of a rehearsal without a verdict: the machine was too slow for the emulator.
const ExitVoid = 3

// errVoid is returned by a command whose rehearsal is void.
var errVoid = errors.New("void")

// rehearsalOptions has the flags of rehearse.
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

// rehearseCommand declares the command rehearse.
func (c *command) rehearseCommand() *cobra.Command {
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
	f := cmd.Flags()
	f.Uint64Var(&options.seed, "seed", 0, "another seed than the script's: other boxes are hit, others come")
	f.StringVar(&options.report, "report", "", "a directory for the page, the plan and the sidecars' logs")
	f.StringVar(&options.sidecar, "sidecar", "", "the sidecar's program (quincegap beside this one)")
	f.StringVar(&options.compare, "compare", "", "another build, which plays the same morning after the first")
	f.BoolVar(&options.virtual, "virtual", false, "in virtual time, with the decision module alone and no socket: the same seed gives the same run")
	f.BoolVar(&options.plan, "plan", false, "print what will happen when, and play nothing")
	f.BoolVar(&options.check, "check", false, "check the script, and play nothing")
	f.BoolVar(&options.quiet, "quiet", false, "no progress")
	return cmd
}

// readScenario reads a script. It prints findings and returns errFindings for them.
func (c *command) readScenario(path string) (*scenario.Scenario, error) {
	var found finding.List
	text, err := product.Read(path, scenario.MaxBytes)
	if err != nil {
		return nil, runError{fmt.Errorf("%s: %w", path, err)}
	}
	s := scenario.Read(path, text, &found)
	if s == nil {
		return nil, c.report(&found)
	}
	return s, nil
}

// playScript plays a script, or only checks it or prints its plan, as the flags ask for.
func (c *command) playScript(ctx context.Context, path string, options rehearsalOptions) error {
	s, err := c.readScenario(path)
	if err != nil {
		return err
	}
	plan := s.Plan(options.seed)
	switch {
	case options.check:
		c.checkPlayable(path, plan)
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

// checkPlayable prints whether a plan can be played with processes.
func (c *command) checkPlayable(path string, plan *scenario.Plan) {
	if err := rehearse.CheckSockets(plan); err != nil {
		c.out.printf("%s: can be played with --virtual alone: %v\n", path, err)
		return
	}
	c.out.printf("%s: can be played\n", path)
}

// playOnSockets plays a plan with the processes of one or two builds, one after the other, and shows the results side by side.
func (c *command) playOnSockets(ctx context.Context, plan *scenario.Plan, options rehearsalOptions) error {
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

// playVirtual plays a plan in virtual time.
func playVirtual(plan *scenario.Plan) (*report.Run, error) {
	began := time.Now()
	r, err := dryrun.Run(plan)
	if err != nil {
		return nil, runError{err}
	}
	took := time.Since(began)
	return &report.Run{
		Plan: plan, Verdict: r.Verdict, Virtual: true,
		Notes: []string{fmt.Sprintf("in virtual time, the decision module alone; played in %v", took.Round(time.Millisecond))},
	}, nil
}

// showPlays prints the verdicts, and writes the table and the page if --report is set. It returns the error of the worst outcome.
func (c *command) showPlays(plays []*report.Run, options rehearsalOptions) error {
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

// writeSeconds writes a table with a row for each second of each play. The names of the columns are data: other tools read them.
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

// worstOutcome returns the error for the worst outcome of plays: nil if all were kept, errVoid or errFindings.
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

// playOnce plays a plan with one build of the sidecar. number is the index of the build, from 0.
func (c *command) playOnce(ctx context.Context, plan *scenario.Plan, program string, options rehearsalOptions, number int) (play *report.Run, err error) {
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
	buildDir := filepath.Join(dir, fmt.Sprintf("build-%d", number+1))
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
		Program: program, Plan: plan, Verdict: result.Verdict, CPU: result.CPU, Memory: result.Memory, Notes: notesOf(result),
	}, nil
}

// notesOf returns the remarks on a result beside its verdict.
func notesOf(result *rehearse.Result) (notes []string) {
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

// writePage writes the HTML page of plays, and prints its path.
func (c *command) writePage(path string, plays []*report.Run) error {
	err := writeFile(path, func(w io.Writer) error { return report.WritePage(w, time.Now(), plays...) })
	if err != nil {
		return err
	}
	c.out.printf("%s\n", path)
	return nil
}
