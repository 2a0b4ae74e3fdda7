package peers

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report describes the view of one member, for people and tools. The admin pages have it as JSON.
type Report struct {
	Name           string         `json:"name"`
	Process        string         `json:"process"` // see FormatProcess
	Confidence     string         `json:"confidence"`
	Reachable      int            `json:"reached"`   // how many names of the reference group are present, see View.Reachable
	GroupSize      int            `json:"of"`        // size of the reference group
	Instances      int            `json:"instances"` // see Share; 0 until the view is stable for the first time
	Ordinal        int            `json:"ordinal"`
	MaxInstances   int            `json:"sharing"`
	OwnsName       bool           `json:"placed"`
	Version        uint64         `json:"version"`
	Digest         string         `json:"digest"`
	DuplicateNames []string       `json:"twice,omitempty"`
	Rejected       map[string]int `json:"refused,omitempty"` // number of messages and records that were rejected, by reason
	Members        []MemberReport `json:"members"`           // all members, sorted by name and process
}

// MemberReport describes one member in a Report.
type MemberReport struct {
	Name        string `json:"name"`
	Process     string `json:"process"`
	State       string `json:"state"`
	StateAgeMS  int64  `json:"for_ms"` // time since the view got the state, in milliseconds
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone,omitempty"`
	Version     string `json:"version,omitempty"`
	Address     string `json:"address,omitempty"`
	Reachable   bool   `json:"reached"`
	InGroup     bool   `json:"counts"` // the member owns its name, and the name is in the group
}

// FleetReport has the view of one member, and the views of the members that have answered its query.
type FleetReport struct {
	Own          Report   `json:"own"`
	Others       []Report `json:"others,omitempty"`
	Unresponsive []string `json:"silent,omitempty"` // members that have not answered in time, each as NAME/PROCESS
}

// rejectedRecordsReason is the key of Report.Rejected for the records that the view has rejected.
const rejectedRecordsReason = "records, spoilt or beyond the most"

// FormatProcess formats the ID of a process as it appears in reports, log lines and node names: 16 hexadecimal digits.
func FormatProcess(process uint64) string { return fmt.Sprintf("%016x", process) }

// Report returns a report on the view. The function address returns the address of a process, which only the source knows, or "".
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
		report.Rejected[rejectedRecordsReason] = v.rejected
	}
	owners := map[uint64]bool{} // present processes that own their name
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

// groupNames returns the names of the reported members that are in the group, sorted.
func (r *Report) groupNames() (names []string) {
	for _, m := range r.Members {
		if m.InGroup {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// differences describes how the view of another member differs: names that its group lacks or has in addition, and its confidence.
func (r *Report) differences(other *Report) (found []string) {
	own := r.groupNames()
	others := other.groupNames()
	for _, name := range own {
		if !slices.Contains(others, name) {
			found = append(found, "without "+name)
		}
	}
	for _, name := range others {
		if !slices.Contains(own, name) {
			found = append(found, "with "+name)
		}
	}
	if other.Confidence != r.Confidence {
		found = append(found, "is "+other.Confidence)
	}
	return found
}

// Differences returns a line for each member whose view differs from the own view, and one for each member that has not answered.
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
