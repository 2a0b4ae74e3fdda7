package peers

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report is the view of one member, for people and tools. The JSON keys are those of the admin pages.
type Report struct {
	Name           string         `json:"name"`
	Process        string         `json:"process"` // see FormatProcess
	Confidence     string         `json:"confidence"`
	Reachable      int            `json:"reached"` // see View.Reachable
	GroupSize      int            `json:"of"`
	Instances      int            `json:"instances"` // 0 until the view is stable for the first time
	Ordinal        int            `json:"ordinal"`
	MaxInstances   int            `json:"sharing"`
	OwnsName       bool           `json:"placed"`
	Version        uint64         `json:"version"`
	Digest         string         `json:"digest"`
	DuplicateNames []string       `json:"twice,omitempty"`
	Rejected       map[string]int `json:"refused,omitempty"` // how many messages and records were rejected, by reason
	Members        []MemberReport `json:"members"`           // by name, then by process
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

// FleetReport is the view of one member, and those of the members that have answered it.
type FleetReport struct {
	Own          Report   `json:"own"`
	Others       []Report `json:"others,omitempty"`
	Unresponsive []string `json:"silent,omitempty"` // members that have not answered in time, as NAME/PROCESS
}

// rejectedRecords is the reason in a report for records that the view has rejected.
const rejectedRecords = "records, spoilt or beyond the most"

// FormatProcess returns a process as reports, log lines and names of nodes have it.
func FormatProcess(process uint64) string { return fmt.Sprintf("%016x", process) }

// Report returns a report on the view. address returns the address of a process, which only the source knows, or an empty text.
func (v *View) Report(now time.Duration, address func(process uint64) string) Report {
	own := v.Self()
	share, _ := v.Share(now)
	reached, size := v.Reachable()
	report := Report{
		Name:           own.Name,
		Process:        FormatProcess(own.Process),
		Confidence:     v.Confidence(now).String(),
		Reachable:      reached,
		GroupSize:      size,
		Instances:      share.Instances,
		Ordinal:        share.Ordinal,
		MaxInstances:   share.MaxInstances,
		OwnsName:       share.OwnsName,
		Version:        v.version,
		Digest:         fmt.Sprintf("%016x", v.Digest(now)),
		DuplicateNames: v.DuplicateNames(now),
		Rejected:       map[string]int{},
	}
	if v.rejected > 0 {
		report.Rejected[rejectedRecords] = v.rejected
	}
	owners := map[uint64]bool{} // processes that own their name
	for _, m := range v.Present(now) {
		owners[m.Process] = true
	}
	for _, m := range v.members {
		report.Members = append(report.Members, MemberReport{
			Name:        m.Name,
			Process:     FormatProcess(m.Process),
			State:       m.State.String(),
			StateAgeMS:  (now - m.stateSince).Milliseconds(),
			Incarnation: m.Incarnation,
			Zone:        m.Zone,
			Version:     m.Version,
			Address:     address(m.Process),
			Reachable:   m.reachable,
			InGroup:     owners[m.Process] && slices.Contains(v.group.names, m.Name),
		})
	}
	slices.SortFunc(report.Members, func(a, b MemberReport) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Process, b.Process))
	})
	return report
}

// groupNames returns the names in the group of a report, in order.
func (r *Report) groupNames() (names []string) {
	for _, m := range r.Members {
		if m.InGroup {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// differences returns the names that another member's group lacks or has in addition, and its confidence if that differs.
func (r *Report) differences(other *Report) (found []string) {
	own := r.groupNames()
	theirs := other.groupNames()
	for _, name := range own {
		if !slices.Contains(theirs, name) {
			found = append(found, "without "+name)
		}
	}
	for _, name := range theirs {
		if !slices.Contains(own, name) {
			found = append(found, "with "+name)
		}
	}
	if other.Confidence != r.Confidence {
		found = append(found, "is "+other.Confidence)
	}
	return found
}

// Differences returns a line for each member whose view differs from the own one, and for each that has not answered.
func (f *FleetReport) Differences() (lines []string) {
	for i := range f.Others {
		other := &f.Others[i]
		if found := f.Own.differences(other); len(found) > 0 {
			lines = append(lines, other.Name+": "+strings.Join(found, ", "))
		}
	}
	for _, name := range f.Unresponsive {
		lines = append(lines, name+": gave no answer")
	}
	return lines
}
