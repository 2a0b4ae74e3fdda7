package rehearse

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/golden"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/relay"
)

// goldenScript is a scenario that uses HTTP/3, Consul, peers and all kinds of request classes.
const goldenScript = `length 10s
tier front boxes 3 cells 2 calls keeper protocol http3
tier keeper boxes 4 cells 2
class find effect safe aim 1s deadline 2s
class take effect keyed scope cell window 20s aim 1s deadline 2s
class once effect unsafe aim 1s deadline 2s
sidecars count 3 peers yes
discovery by consul
callers rate 5/s
at 1s: 1 new boxes of keeper
`

// The configuration files of sidecars, and the messages that callers and discovery send them, match the golden file.
func TestGoldenMessages(t *testing.T) {
	var found finding.List
	script := scenario.Read("golden", []byte(goldenScript), &found)
	if script == nil {
		t.Fatal(found.Err())
	}
	rehearsal := newRehearsal(t.Context(), script.Plan(3))
	rehearsal.createdAt = time.UnixMilli(1_700_000_000_000)
	rehearsal.clockOffset.Store(0)
	rehearsal.network = 64
	rehearsal.authority = "ca.pem"
	rehearsal.links = relay.New(1)
	defer rehearsal.links.Close()
	rehearsal.createSidecars()
	var dump bytes.Buffer
	writeFiles(t, &dump, rehearsal)
	for i, class := range rehearsal.plan.Classes {
		request := callerRequest{request: "r4t2", class: i, key: "k4"}
		fmt.Fprintf(&dump, "%q\n", encodeRequest(class, &request, 1234567*time.Microsecond))
	}
	writeDiscovery(t, &dump, rehearsal)
	golden.Text(t, "messages.txt", dump.Bytes())
}

// writeFiles writes the configuration files of the first four sidecars to dump.
func writeFiles(t *testing.T, dump *bytes.Buffer, rehearsal *rehearsal) {
	t.Helper()
	dir := t.TempDir()
	for _, s := range rehearsal.sidecars[:4] {
		args, err := s.writeConfigFile(dir)
		if err != nil {
			t.Fatal(err)
		}
		content, err := os.ReadFile(filepath.Join(dir, s.name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		content = bytes.ReplaceAll(content, []byte(dir), []byte("DIR"))
		fmt.Fprintf(dump, "%s %s %d of %d at %s, %d arguments\n%s",
			s.name, args[0], s.number, s.count, s.address, len(args), content)
	}
}

// writeDiscovery writes the discovery lists and Consul instances after some updates to dump.
func writeDiscovery(t *testing.T, dump *bytes.Buffer, rehearsal *rehearsal) {
	t.Helper()
	discovery := newTierDiscovery(rehearsal, 1)
	discovery.update(3, "Terminating", 0)
	discovery.update(4, "Gone", 0)
	discovery.update(7, "Ready", 1500*time.Millisecond)
	discovery.setWeight(5, 2.5)
	for _, since := range []uint64{0, 2, 4} {
		list, states := discovery.changesSince(since)
		content, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(dump, "since %d: %s %v\n", since, content, states)
	}
	agent := &consulAgent{discovery: discovery}
	for _, server := range discovery.order {
		content, err := json.Marshal(agent.instance(server, discovery.entries[server]))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(dump, "%s\n", content)
	}
	fmt.Fprintln(dump, parseRemainingText("1500m"), parseRemainingText("250u"), arrivalOf("r12t3.4-0"), arrivalOf("x"))
}

// parseRemainingText returns the result and the error of parseRemaining as text.
func parseRemainingText(text string) string {
	d, err := parseRemaining(text)
	return fmt.Sprint(d, err)
}
