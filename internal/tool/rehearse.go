package tool

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
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
	"quincegap/internal/rehearsal/morning"
	"quincegap/internal/rehearsal/rehearse"
	"quincegap/internal/rehearsal/report"
)

// ExitVoid is the exit code of a rehearsal that says nothing: the emulator itself was too slow.
const ExitVoid = 3

var errVoid = errors.New("void")

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

func (c *command) rehearseCommand() *cobra.Command {
	var o rehearsalOptions
	cmd := &cobra.Command{
		Use: "rehearse SCRIPT", Short: "Play a bad morning against real sidecars on loopback", Args: cobra.ExactArgs(1),
		Long: "rehearse plays a script of rehearsals/ (or your own) with emulated boxes, callers and discovery on loopback,\n" +
			"and real sidecars as processes. It judges the four rules and the service.\n\n" +
			"Exit codes: 0 all kept, 1 a rule was broken, an expectation missed or the script has findings, 2 wrong usage,\n" +
			"3 void: this machine was too slow for the morning, which says nothing of the sidecar.",
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return c.playScript(ctx, args[0], o)
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&o.seed, "seed", 0, "another seed than the script's: other boxes are hit, others come")
	f.StringVar(&o.report, "report", "", "a directory for the page, the plan and the sidecars' logs")
	f.StringVar(&o.sidecar, "sidecar", "", "the sidecar's program (quincegap beside this one)")
	f.StringVar(&o.compare, "compare", "", "another build, which plays the same morning after the first")
	f.BoolVar(&o.virtual, "virtual", false, "in virtual time, with the decision module alone and no socket: the same seed gives the same run")
	f.BoolVar(&o.plan, "plan", false, "print what will happen when, and play nothing")
	f.BoolVar(&o.check, "check", false, "check the script, and play nothing")
	f.BoolVar(&o.quiet, "quiet", false, "no progress")
	return cmd
}

// readMorning reads a script; findings are printed.
func (c *command) readMorning(path string) (*morning.Scenario, error) {
	var found finding.List
	text, err := product.Read(path, morning.MaxBytes)
	if err != nil {
		return nil, runError{fmt.Errorf("%s: %w", path, err)}
	}
	m := morning.Read(path, text, &found)
	if m == nil {
		return nil, c.report(&found)
	}
	return m, nil
}

func (c *command) playScript(ctx context.Context, path string, o rehearsalOptions) error {
	m, err := c.readMorning(path)
	if err != nil {
		return err
	}
	if o.check {
		if err := rehearse.CheckSockets(m.Plan(o.seed)); err != nil {
			fmt.Fprintf(c.out, "%s: can be played with --virtual alone: %v\n", path, err)
			return nil
		}
		fmt.Fprintf(c.out, "%s: can be played\n", path)
		return nil
	}
	plan := m.Plan(o.seed)
	if o.plan {
		if err := plan.WriteText(c.out); err != nil {
			return runError{err}
		}
		return nil
	}
	if o.sidecar == "" {
		self, err := os.Executable()
		if err != nil {
			return runError{err}
		}
		o.sidecar = filepath.Join(filepath.Dir(self), "quincegap")
	}
	var plays []*report.Run
	if o.virtual {
		play, err := playVirtual(plan)
		if err != nil {
			return err
		}
		return c.showPlays([]*report.Run{play}, o)
	}
	for i, program := range []string{o.sidecar, o.compare} {
		if program == "" {
			continue
		}
		play, err := c.playOnce(ctx, m, plan, program, o, i)
		if err != nil {
			return err
		}
		plays = append(plays, play)
	}
	return c.showPlays(plays, o)
}

// playVirtual plays a plan without sockets.
func playVirtual(plan *morning.Plan) (*report.Run, error) {
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

// showPlays prints the verdict, and writes the page where one is asked for.
func (c *command) showPlays(plays []*report.Run, o rehearsalOptions) error {
	if err := report.WriteScreen(c.out, plays...); err != nil {
		return runError{err}
	}
	if o.report != "" {
		if err := os.MkdirAll(o.report, 0o700); err != nil {
			return runError{err}
		}
		if err := writeSeconds(filepath.Join(o.report, "seconds.csv"), plays); err != nil {
			return runError{err}
		}
		if err := c.writePage(filepath.Join(o.report, "report.html"), plays); err != nil {
			return runError{err}
		}
	}
	return worstOutcome(plays)
}

// writeSeconds keeps what happened in each second as a table, a row for each second of each play.
func writeSeconds(path string, plays []*report.Run) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	w.Write([]string{"build", "second", "offered", "in_time", "late", "refused", "failed", "attempts", "emulator_late"})
	for _, p := range plays {
		for i, s := range p.Verdict.Seconds {
			row := []string{p.Program}
			for _, n := range []int{i, s.Offered, s.Served, s.Late, s.Rejected, s.Failed, s.Attempts} {
				row = append(row, strconv.Itoa(n))
			}
			w.Write(append(row, strconv.FormatBool(s.Doubtful)))
		}
	}
	w.Flush()
	return w.Error()
}

// worstOutcome is the error that goes with the worst outcome.
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

func (c *command) playOnce(ctx context.Context, m *morning.Scenario, plan *morning.Plan, program string, o rehearsalOptions, number int) (*report.Run, error) {
	dir := o.report
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "quincegap-rehearsal-"); err != nil {
			return nil, runError{err}
		}
		defer os.RemoveAll(dir)
	}
	dir = filepath.Join(dir, fmt.Sprintf("build-%d", number+1))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, runError{err}
	}
	options := rehearse.Options{Program: program, Dir: dir}
	if !o.quiet {
		fmt.Fprintf(c.errOut, "playing %s on %s: %v\n", plan.DisplayName(), program, plan.Length)
		options.Progress = func(p rehearse.Progress) {
			fmt.Fprintf(c.errOut, "\r%4.0f s  asked %d  served %d  refused %d  failed %d  attempts %d ", p.At.Seconds(), p.Asked, p.Served, p.Refused, p.Failed, p.Attempts)
		}
	}
	result, err := rehearse.Run(ctx, plan, options)
	if !o.quiet {
		fmt.Fprintln(c.errOut)
	}
	if err != nil {
		return nil, runError{err}
	}
	play := &report.Run{Program: program, Plan: plan, Verdict: result.Verdict, CPU: result.CPU, Memory: result.Memory}
	if result.UnansweredFaultyCallers > 0 {
		play.Notes = append(play.Notes, fmt.Sprintf("%d rude callers got neither an answer nor a close: %s", result.UnansweredFaultyCallers, strings.Join(result.UnansweredInputs, "; ")))
	}
	if result.HTTP3 > 0 {
		play.Notes = append(play.Notes, fmt.Sprintf("%d attempts came over HTTP/3", result.HTTP3))
	}
	if result.RepeatedEffects > 0 {
		play.Notes = append(play.Notes, fmt.Sprintf("%d effects beyond the first of a key; callers' own repeats are among them", result.RepeatedEffects))
	}
	return play, nil
}

func (c *command) writePage(path string, plays []*report.Run) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := report.WritePage(f, time.Now(), plays...); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s\n", path)
	return nil
}
