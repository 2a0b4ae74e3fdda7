package fleet

import (
	"embed"
	"errors"
	"path"
	"strings"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/scenario"
)

//go:embed days/*.morning
var scripts embed.FS

// The embedded folder of the days, and the suffix of their files.
const (
	daysFolder = "days"
	daySuffix  = ".morning"
)

// Days returns the names of the days: embedded scenarios of large fleets with many faults.
func Days() (names []string) {
	files, err := scripts.ReadDir(daysFolder)
	if err != nil {
		panic(err) // the folder is embedded in the program
	}
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file.Name(), daySuffix))
	}
	return names
}

// Day returns the scenario of a day. For an unknown name, the error suggests or lists the known ones.
func Day(name string) (*scenario.Scenario, error) {
	file := path.Join(daysFolder, name+daySuffix)
	text, err := scripts.ReadFile(file)
	if err != nil {
		return nil, errors.New(finding.UnknownName("day", name, Days()))
	}
	var found finding.List
	day := scenario.Read(file, text, &found)
	if day == nil {
		return nil, found.Err()
	}
	return day, nil
}

// Outcome is the result of a simulated day.
type Outcome struct {
	Plan            *scenario.Plan
	Verdict         *audit.Verdict
	UnansweredShare float64 // share of the attempts from which no authentic answer came
	Spread          Spread
	Decisions       int // number of calls of the decision modules
}

// Play simulates a day in virtual time, with a seed or, if that is 0, the script's. The same day and seed give the same outcome. It
// returns an error if the run fails, as dryrun.Run does.
func Play(day *scenario.Scenario, seed uint64) (*Outcome, error) {
	plan := day.Plan(seed)
	result, err := dryrun.Run(plan)
	if err != nil {
		return nil, err
	}
	answered := 0
	for _, e := range result.Events {
		if e.Kind == audit.AnswerReceived && e.Authentic {
			answered++
		}
	}
	outcome := &Outcome{Plan: plan, Verdict: result.Verdict, Decisions: result.Decisions, Spread: spreadOf(plan, result.Events)}
	if attempts := result.Verdict.ServerAttempts; attempts > 0 {
		outcome.UnansweredShare = max(0, 1-float64(answered)/float64(attempts))
	}
	return outcome, nil
}
