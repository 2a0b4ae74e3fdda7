package tool

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
)

// reportOfThree returns a view with the confidence "settled" of three members, one of which is gone.
func reportOfThree() peers.Report {
	member := func(name, state string, inGroup bool) peers.MemberReport {
		return peers.MemberReport{
			Name: name, Process: "00000000000000aa", State: state, StateAgeMS: 61500,
			Address: "10.0.4.7:7946", Zone: "provo", Reachable: inGroup, InGroup: inGroup,
		}
	}
	return peers.Report{
		Name: "front-0", Confidence: "settled", Reachable: 2, GroupSize: 2, Instances: 2, Ordinal: 0, MaxInstances: 2, OwnsName: true,
		Digest: "d1", DuplicateNames: []string{"front-1"}, Rejected: map[string]int{"other key": 3},
		Members: []peers.MemberReport{
			member("front-0", "serving", true),
			member("front-1", "serving", true),
			member("front-2", "gone", false),
		},
	}
}

// The command peers prints one sidecar's view, or with --all those of all sidecars, and then exits with ExitFindings if they differ.
func TestPeers(t *testing.T) {
	address := "unix:" + filepath.Join(t.TempDir(), "s")
	own := reportOfThree()
	other := own
	other.Name = "front-1"
	other.Confidence = "cut off"
	other.Members = own.Members[1:2]
	differ := true
	stop, err := admin.Serve(address, admin.Views{Peers: func(all bool) (peers.FleetReport, bool) {
		f := peers.FleetReport{Own: own}
		if all {
			f.Others = []peers.Report{own}
			if differ {
				f.Others = []peers.Report{other}
				f.Unresponsive = []string{"front-3/00"}
			}
		}
		return f, true
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	out := mustRun(t, "peers", address)
	for _, want := range []string{
		"front-2  gone     1m1.5s  no      no",
		"front-0: settled; 2 of the 2 settled last are in reach",
		"it is number 0 of 2, and divides limits by 2",
		"several processes under one name: front-1",
		"refused, other key: 3",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("peers: output lacks %q:\n%s", want, out)
		}
	}
	var text, errs bytes.Buffer
	if code := Run([]string{"peers", address, "--all"}, &text, &errs); code != ExitFindings {
		t.Errorf("peers --all with views that differ: exit %d, want %d: %s", code, ExitFindings, errs.String())
	}
	for _, want := range []string{"front-1: without front-0, is cut off", "front-3/00: gave no answer"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("peers --all with views that differ: output lacks %q:\n%s", want, text.String())
		}
	}
	differ = false
	if out := mustRun(t, "peers", address, "--all"); !strings.Contains(out, "all 2 agree") {
		t.Errorf("peers --all with equal views: want \"all 2 agree\" in\n%s", out)
	}
	if out := mustRun(t, "peers", address, "--json"); !strings.Contains(out, `"confidence": "settled"`) {
		t.Errorf("peers --json: want the confidence \"settled\" in\n%s", out)
	}
	addressWithoutPeers := "unix:" + filepath.Join(t.TempDir(), "s")
	stopWithoutPeers, err := admin.Serve(addressWithoutPeers, admin.Views{Peers: func(bool) (peers.FleetReport, bool) { return peers.FleetReport{}, false }})
	if err != nil {
		t.Fatal(err)
	}
	defer stopWithoutPeers()
	errs.Reset()
	if code := Run([]string{"peers", addressWithoutPeers}, &text, &errs); code != ExitFindings || !strings.Contains(errs.String(), "peers.peers_listen is not set") {
		t.Errorf("peers of a sidecar without them: exit %d, message %q, want exit %d and the unset key", code, errs.String(), ExitFindings)
	}
}
