package peers

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report is one member's view, for people and programs.
type Report struct {
	Name       string         `json:"name"`
	Process    string         `json:"process"`
	Confidence string         `json:"confidence"`
	Reached    int            `json:"reached"` // of the group that was settled last,
	Of         int            `json:"of"`      // which had so many
	Instances  int            `json:"instances"`
	Ordinal    int            `json:"ordinal"`
	Sharing    int            `json:"sharing"`
	Placed     bool           `json:"placed"`
	Version    uint64         `json:"version"`
	Digest     string         `json:"digest"`
	Twice      []string       `json:"twice,omitempty"`
	Refused    map[string]int `json:"refused,omitempty"` // what was not let in, by reason
	Members    []Seen         `json:"members"`
}

// Seen is one member in a Report.
type Seen struct {
	Name        string `json:"name"`
	Process     string `json:"process"`
	State       string `json:"state"`
	ForMS       int64  `json:"for_ms"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone,omitempty"`
	Version     string `json:"version,omitempty"`
	Address     string `json:"address,omitempty"`
	Reached     bool   `json:"reached"`
	Counts      bool   `json:"counts"`
}

// Fleet is one member's view, and those of the others that it could ask.
type Fleet struct {
	Own    Report   `json:"own"`
	Others []Report `json:"others,omitempty"`
	Silent []string `json:"silent,omitempty"` // members that gave none in time
}

// Hex is a process as people see it.
func Hex(process uint64) string { return fmt.Sprintf("%016x", process) }

// Report gives the view; addresses are the source's to tell. Before the first rest its Instances are 0: what a file says holds.
func (v *View) Report(now time.Duration, address func(process uint64) string) Report {
	own := v.Self()
	s, _ := v.Share(now)
	r := Report{
		Name: own.Name, Process: Hex(own.Process), Confidence: v.Confidence(now).String(), Instances: s.Instances, Ordinal: s.Ordinal,
		Sharing: s.Sharing, Placed: s.Placed, Version: v.version, Digest: fmt.Sprintf("%016x", v.Digest(now)), Twice: v.Twice(now), Refused: map[string]int{},
	}
	r.Reached, r.Of = v.Reach()
	if v.refused > 0 {
		r.Refused["records, spoilt or beyond the most"] = v.refused
	}
	holds := map[uint64]bool{} // those that have their name
	for _, m := range v.Present(now) {
		holds[m.Process] = true
	}
	for _, m := range v.members {
		r.Members = append(r.Members, Seen{
			Name: m.Name, Process: Hex(m.Process), State: m.State.String(), ForMS: (now - m.since).Milliseconds(),
			Incarnation: m.Incarnation, Zone: m.Zone, Version: m.Version, Address: address(m.Process), Reached: m.reached,
			Counts: holds[m.Process] && slices.Contains(v.names, m.Name),
		})
	}
	slices.SortFunc(r.Members, func(a, b Seen) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Process, b.Process)) })
	return r
}

// group is the names that count in a report.
func (r *Report) group() (names []string) {
	for _, m := range r.Members {
		if m.Counts {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Differences say, a line each, where the others' views are not as the own one.
func (f *Fleet) Differences() (lines []string) {
	own := f.Own.group()
	for _, o := range f.Others {
		theirs := o.group()
		var only []string
		for _, n := range own {
			if !slices.Contains(theirs, n) {
				only = append(only, "without "+n)
			}
		}
		for _, n := range theirs {
			if !slices.Contains(own, n) {
				only = append(only, "with "+n)
			}
		}
		if o.Confidence != f.Own.Confidence {
			only = append(only, "is "+o.Confidence)
		}
		if len(only) > 0 {
			lines = append(lines, o.Name+": "+strings.Join(only, ", "))
		}
	}
	for _, n := range f.Silent {
		lines = append(lines, n+": gave no answer")
	}
	return lines
}
