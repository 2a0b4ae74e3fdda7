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

// The folder of the days, and how their files end.
const (
	daysFolder = "days"
	daySuffix  = ".morning"
)

// Days returns the names of the hard days of large fleets.
func Days() (names []string) {
	files, err := scripts.ReadDir(daysFolder)
	if err != nil {
		panic(err) // they are part of the program
	}
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file.Name(), daySuffix))
	}
	return names
}

// Day returns the scenario of a day; the error lists the days that there are.
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

// Outcome is the result of a day.
type Outcome struct {
	Plan            *scenario.Plan
	Verdict         *audit.Verdict
	UnansweredShare float64 // share of the attempts that led to no authentic answer
	Spread          Spread
	Decisions       int // calls of decision modules
}

// Play plays a day in virtual time, with a seed; 0 takes the script's. The same day and seed give the same outcome.
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
