package admin

import (
	"io"
	"net/http"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"quincegap/internal/golden"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
)

// The pages that are sent over the socket do not change, and the client of quincegapctl decodes them.
func TestGoldenViews(t *testing.T) {
	members := Members{Name: "front-0", Source: "both", Endpoints: []endpointsource.Row{
		{UID: "slot-keeper-1", Address: "10.0.0.1:8080", State: "ready", Weight: 1.5, Platform: "ready", Consul: "draining", Why: "consul: maintenance", AgoMS: 1234},
		{UID: "slot-keeper-2", Address: "10.0.0.2:8080", State: "gone", Why: "the platform"},
	}}
	report := peers.Report{
		Name: "front-0", Process: peers.FormatProcess(0x0102), Confidence: "sure", Reachable: 2, GroupSize: 3, Instances: 3, Ordinal: 1, MaxInstances: 3, OwnsName: true,
		Version: 7, Digest: "00000000000000ff", DuplicateNames: []string{"front-1"}, Rejected: map[string]int{"another application": 2},
		Members: []peers.MemberReport{{
			Name: "front-1", Process: peers.FormatProcess(3), State: "serving", StateAgeMS: 500, Incarnation: 9, Zone: "zone-a", Version: "1.4.2",
			Address: "10.0.0.3:7946", Reachable: true, InGroup: true,
		}, {Name: "front-2", Process: peers.FormatProcess(4), State: "suspect"}},
	}
	other := peers.Report{Name: "front-1", Process: peers.FormatProcess(3), Members: []peers.MemberReport{}}
	fleet := peers.FleetReport{Own: report, Others: []peers.Report{other}, Unresponsive: []string{"front-2"}}
	available := true
	address := "unix:" + filepath.Join(t.TempDir(), "s")
	stop, err := Serve(address, Views{
		Members: func() (Members, bool) { return members, available },
		Peers: func(all bool) (peers.FleetReport, bool) {
			if !all {
				return peers.FleetReport{Own: report}, available
			}
			return fleet, available
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	var all strings.Builder
	appendPage := func(page string) {
		t.Helper()
		all.WriteString(readPage(t, address, page))
	}
	appendPage("members")
	appendPage("peers")
	appendPage("peers?all=1")
	appendPage("other")
	if got, err := AskMembers(t.Context(), address); err != nil || !reflect.DeepEqual(got, members) {
		t.Errorf("AskMembers returned %+v, %v; want %+v", got, err, members)
	}
	if got, err := AskPeers(t.Context(), address, true); err != nil || !reflect.DeepEqual(got, fleet) {
		t.Errorf("AskPeers returned %+v, %v; want %+v", got, err, fleet)
	}
	available = false
	appendPage("members")
	appendPage("peers")
	golden.Text(t, "views.txt", []byte(all.String()))
}

// readPage requests a page and returns the response as text: its status, content type and body.
func readPage(t *testing.T, address, page string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://sidecar/"+page, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := (&http.Client{Transport: newTransport(address)}).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return "--- /" + page + ": " + res.Status + ", " + res.Header.Get("Content-Type") + "\n" + string(body)
}
