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
	Name           string         `json:"name"`
	Process        string         `json:"process"`
	Confidence     string         `json:"confidence"`
	Reachable      int            `json:"reached"` // of the group that was settled last,
	GroupSize      int            `json:"of"`      // which had so many
	Instances      int            `json:"instances"`
	Ordinal        int            `json:"ordinal"`
	MaxInstances   int            `json:"sharing"`
	OwnsName       bool           `json:"placed"`
	Version        uint64         `json:"version"`
	Digest         string         `json:"digest"`
	DuplicateNames []string       `json:"twice,omitempty"`
	Rejected       map[string]int `json:"refused,omitempty"` // what was not let in, by reason
	Members        []MemberReport `json:"members"`
}

// MemberReport is one member in a Report.
type MemberReport struct {
	Name        string `json:"name"`
	Process     string `json:"process"`
	State       string `json:"state"`
	StateAgeMS  int64  `json:"for_ms"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone,omitempty"`
	Version     string `json:"version,omitempty"`
	Address     string `json:"address,omitempty"`
	Reachable   bool   `json:"reached"`
	InGroup     bool   `json:"counts"`
}

// FleetReport is one member's view, and those of the others that it could ask.
type FleetReport struct {
	Own          Report   `json:"own"`
	Others       []Report `json:"others,omitempty"`
	Unresponsive []string `json:"silent,omitempty"` // members that gave none in time
}

// FormatProcess is a process as people see it.
func FormatProcess(process uint64) string { return fmt.Sprintf("%016x", process) }

// Report gives the view; addresses are the source's to tell. Before the first rest its Instances are 0: what a file says holds.
func (v *View) Report(now time.Duration, address func(process uint64) string) Report {
	own := v.Self()
	s, _ := v.Share(now)
	r := Report{
		Name: own.Name, Process: FormatProcess(own.Process), Confidence: v.Confidence(now).String(), Instances: s.Instances, Ordinal: s.Ordinal,
		MaxInstances: s.MaxInstances, OwnsName: s.OwnsName, Version: v.version, Digest: fmt.Sprintf("%016x", v.Digest(now)), DuplicateNames: v.DuplicateNames(now), Rejected: map[string]int{},
	}
	r.Reachable, r.GroupSize = v.Reachable()
	if v.rejected > 0 {
		r.Rejected["records, spoilt or beyond the most"] = v.rejected
	}
	holds := map[uint64]bool{} // those that have their name
	for _, m := range v.Present(now) {
		holds[m.Process] = true
	}
	for _, m := range v.members {
		r.Members = append(r.Members, MemberReport{
			Name: m.Name, Process: FormatProcess(m.Process), State: m.State.String(), StateAgeMS: (now - m.stateSince).Milliseconds(),
			Incarnation: m.Incarnation, Zone: m.Zone, Version: m.Version, Address: address(m.Process), Reachable: m.reachable,
			InGroup: holds[m.Process] && slices.Contains(v.names, m.Name),
		})
	}
	slices.SortFunc(r.Members, func(a, b MemberReport) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Process, b.Process))
	})
	return r
}

// groupNames is the names that count in a report.
func (r *Report) groupNames() (names []string) {
	for _, m := range r.Members {
		if m.InGroup {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Differences say, a line each, where the others' views are not as the own one.
func (f *FleetReport) Differences() (lines []string) {
	own := f.Own.groupNames()
	for _, o := range f.Others {
		theirs := o.groupNames()
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
	for _, n := range f.Unresponsive {
		lines = append(lines, n+": gave no answer")
	}
	return lines
}
