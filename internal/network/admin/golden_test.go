package admin

import (
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"quincegap/internal/golden"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
)

// The views' answers as they come over the socket, and as quincegapctl reads them back.
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
	there := true
	address := "unix:" + filepath.Join(t.TempDir(), "s")
	stop, err := Serve(address, Views{
		Members: func() (Members, bool) { return members, there },
		Peers: func(all bool) (peers.FleetReport, bool) {
			if !all {
				return peers.FleetReport{Own: report}, there
			}
			return fleet, there
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", strings.TrimPrefix(address, "unix:"))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	var all strings.Builder
	ask := func(what string) {
		t.Helper()
		res, err := client.Get("http://sidecar/" + what)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		all.WriteString("--- /" + what + ": " + res.Status + ", " + res.Header.Get("Content-Type") + "\n" + string(body))
	}
	ask("members")
	ask("peers")
	ask("peers?all=1")
	ask("other")
	if got, err := AskMembers(address); err != nil || !reflect.DeepEqual(got, members) {
		t.Errorf("read back as %+v, %v", got, err)
	}
	if got, err := AskPeers(address, true); err != nil || !reflect.DeepEqual(got, fleet) {
		t.Errorf("read back as %+v, %v", got, err)
	}
	there = false
	ask("members")
	ask("peers")
	golden.Text(t, "views.txt", []byte(all.String()))
}
