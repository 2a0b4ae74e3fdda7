package tool

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"quincegap/internal/config/apps"
	"quincegap/internal/files/store"
	"quincegap/internal/golden"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/idempotency"
	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
)

// transcript records command lines, their exit codes and their output.
type transcript struct {
	strings.Builder
	dir string // folder of the test, which is replaced by DIR in the golden file
}

// run runs a command line and records it with its exit code and output.
func (s *transcript) run(args ...string) {
	code, out, errs := run(args...)
	s.WriteString("$ " + strings.Join(args, " ") + "\nexit " + strconv.Itoa(code) + "\n" + out)
	if errs != "" {
		s.WriteString("stderr:\n" + errs)
	}
}

// recordFile records the content of a file.
func (s *transcript) recordFile(t *testing.T, path string) {
	t.Helper()
	s.WriteString("-- " + path + " --\n" + content(t, path))
}

// compare compares the transcript with a golden file.
func (s *transcript) compare(t *testing.T, name string) {
	t.Helper()
	golden.Text(t, name, []byte(strings.ReplaceAll(s.String(), s.dir, "DIR")))
}

// The help texts of the commands list their flags and defaults.
func TestGoldenHelp(t *testing.T) {
	var session transcript
	session.dir = t.TempDir()
	for _, command := range []string{
		"", "init", "write", "check", "diff", "adopt", "sample", "reference", "demo", "members", "peers", "rehearse", "fleet", "route",
		"store", "store verify", "store dump", "store compact", "store repair",
	} {
		session.run(append(strings.Fields(command), "--help")...)
	}
	session.compare(t, "help.txt")
}

// The commands for configuration files print the golden output when files are created, derived and edited, and when edits are rejected,
// retained, adopted and discarded.
func TestGoldenConfiguration(t *testing.T) {
	session := transcript{dir: t.TempDir()}
	source := filepath.Join(session.dir, "apps.toml")
	front := filepath.Join(session.dir, "booking-front.example.org.toml")
	keeper := filepath.Join(session.dir, "slot-keeper.example.org.toml")
	session.run("init", session.dir)
	session.run("init", session.dir)
	session.run("check", source)
	session.run("diff", source)
	session.run("write", source)
	session.recordFile(t, front)
	session.run("write", source)
	session.run("diff", source)

	replace(t, keeper, "sockets = 1024", "sockets = 512 # at night")
	replace(t, keeper, "connect_timeout = \"250ms\"\n", "")
	replace(t, source, "most_attempts = 3", "most_attempts = 2")
	session.run("write", source)
	session.run("diff", source)
	session.run("write", "--keep-edits", source)
	session.run("diff", source)
	session.run("adopt", source, keeper)
	replace(t, keeper, "[limits]", "# a comment\n[limits]")
	session.run("diff", source)
	session.run("write", source)
	replace(t, source, "sockets = 1024", "sockets = 2048")
	session.run("write", "--keep-edits", source)
	session.run("diff", source)
	session.run("write", "--discard-edits", source)
	replace(t, front, "cores = 1.0", "cores = 2.0")
	session.run("adopt", source, front)
	session.run("adopt", source, front, keeper, filepath.Join(session.dir, "none.toml"))
	session.recordFile(t, source)
	session.recordFile(t, front)
	session.compare(t, "configuration.txt")
}

// The commands write, diff and adopt print the golden output if the path of a derived file holds a file that they can't use.
func TestGoldenObstructedFiles(t *testing.T) {
	session := transcript{dir: t.TempDir()}
	source := filepath.Join(session.dir, "apps.toml")
	front := filepath.Join(session.dir, "booking-front.example.org.toml")
	keeper := filepath.Join(session.dir, "slot-keeper.example.org.toml")
	mustRun(t, "init", session.dir)
	mustRun(t, "write", source)
	written := content(t, front)
	for _, obstructing := range []string{
		"[sidecar]\n", written[:len(written)/2], content(t, keeper),
		strings.Replace(written, "cores = 1.0", "cores = 1.0.0", 1),
		strings.Replace(written, "deadline = \"6s\"", "deadline = \"7s\"", 1),
		strings.Replace(written, "for booking-front.example.org", "for nobody.example.org", 1),
	} {
		if err := os.WriteFile(front, []byte(obstructing), 0o600); err != nil {
			t.Fatal(err)
		}
		session.run("check", front)
		session.run("check", "--json", front, keeper)
		session.run("write", source)
		session.run("write", "--keep-edits", source)
		session.run("diff", source)
		session.run("adopt", source, front)
		session.run("write", "--discard-edits", source)
	}
	session.run("check", "--json", source)
	session.run("check", filepath.Join(session.dir, "none.toml"), session.dir)
	session.run("write", filepath.Join(session.dir, "none.toml"))
	session.compare(t, "in-the-way.txt")
}

// folderOfFixedLength returns a temporary folder whose path has the same length in each run, since the width of printed columns depends on it.
func folderOfFixedLength(t *testing.T) string {
	t.Helper()
	const length = 160
	parent := t.TempDir()
	dir := filepath.Join(parent, strings.Repeat("d", max(1, length-len(parent))))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// The command route prints each setting of a route as in the golden file.
func TestGoldenRoute(t *testing.T) {
	session := transcript{dir: folderOfFixedLength(t)}
	file := filepath.Join(session.dir, "sidecar.toml")
	text := strings.Replace(routedFile, "most_attempts = 4", "most_attempts = 4\nsecond_copies = true", 1) + `come_back = "7s"
[route.all]
match_path = "/all"
whole_time = "2s"
attempt_time = "500ms"
route_attempts = 3
most_open = 9
retry_share = 0.25
retry_on = "unconnected, late"
retry_pause = "25ms"
route_worth = 2.5
copy_after = 0.95
copy_share = 0.02
[class.pay]
aim = "1s"
deadline = "2s"
effect = "unsafe"
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{
		{"POST", "http://a.org/trips/new", "-H", "X-Lane: book"},
		{"get", "/trips/7/seats", "-H", "X-Lane: find"},
		{"GET", "/other", "-H", "X-Lane: find"},
		{"GET", "/other", "-H", "X-Lane: pay"},
		{"GET", "/closed/", "-H", "X-Lane: find"},
		{"GET", "/closed", "-H", "X-Lane: pay"},
		{"GET", "/all", "-H", "X-Lane: find"},
		{"GET", "http://a.org", "-H", "X-Lane: find", "-H", "X-Org: north"},
		{"GET", "/a/../closed", "-H", "X-Lane: find"},
		{"GET", "/x"},
		{"GET", "/x", "-H", "X-Lane: fnd"},
		{"GET", "/x", "-H", "X-Lane"},
		{"GET", "%zz", "-H", "X-Lane: find"},
	} {
		session.run(append([]string{"route", "--config", file}, args...)...)
	}
	session.run("route", "GET", "/x")
	session.run("route", "--config", filepath.Join(session.dir, "none"), "GET", "/x")
	session.compare(t, "route.txt")
}

// The commands members and peers print a running sidecar's views as in the golden file, as tables and as JSON.
func TestGoldenViews(t *testing.T) {
	session := transcript{dir: t.TempDir()}
	address := "unix:" + filepath.Join(session.dir, "s")
	own := peers.Report{
		Name: "front-0", Confidence: "settled", Reachable: 2, GroupSize: 2, Instances: 2, Ordinal: 0, MaxInstances: 2, OwnsName: true, Digest: "d1",
		DuplicateNames: []string{"front-1", "front-2"}, Rejected: map[string]int{"other key": 3, "another application": 1},
		Members: []peers.MemberReport{
			{
				Name: "front-0", Process: "aa", State: "serving", StateAgeMS: 61500,
				Address: "10.0.4.7:7946", Zone: "provo", Version: "v1", Reachable: true, InGroup: true,
			},
			{Name: "front-1", Process: "bb", State: "gone", StateAgeMS: 149},
		},
	}
	other := own
	other.Name = "front-1"
	other.Confidence = "cut off"
	other.Members = own.Members[1:]
	views := admin.Views{
		Members: func() (admin.Members, bool) {
			return admin.Members{Name: "front", Source: "overlay", Endpoints: []endpointsource.Row{
				{UID: "a", Address: "h:1", State: "ready", Weight: 2, Platform: "ready", Consul: "ready", Why: "the platform says so", AgoMS: 61500},
				{UID: "b", Address: "h:2", State: "draining", Platform: "ready", Why: `check "http" is critical`, AgoMS: 300},
			}}, true
		},
		Peers: func(all bool) (peers.FleetReport, bool) {
			f := peers.FleetReport{Own: own}
			if all {
				f.Others = []peers.Report{other}
				f.Unresponsive = []string{"front-3/00"}
			}
			return f, true
		},
	}
	stop, err := admin.Serve(address, views)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for _, args := range []string{"members", "members --unused", "members --json", "peers", "peers --all", "peers --json", "peers --all --json"} {
		fields := strings.Fields(args)
		session.run(append([]string{fields[0], address}, fields[1:]...)...)
	}
	own.Instances = 0
	session.run("peers", address)
	own.Instances = 2
	own.OwnsName = false
	session.run("peers", address)
	session.run("members", "nothing")
	session.compare(t, "views.txt")
}

// The store's commands print stored requests, endpoints and lists as in the golden file.
func TestGoldenStore(t *testing.T) {
	session := transcript{dir: t.TempDir()}
	opened, err := store.Open(store.Dir(session.dir), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	entry := idempotency.Entry{Class: "book-trip", Origin: idempotency.Origin{Zone: "north", Cell: 2, Endpoint: "box-1"}, Retention: time.Hour}
	id := idempotency.KeyedID("book-trip", "7")
	records := []struct{ key, value string }{
		{"r" + string(id[:]), string(entry.Encode())},
		{"ebox-1", `{"zone":"north"}`},
		{"ebox-2", "no JSON"},
		{"l", "7"},
		{"x", "something else"},
	}
	for _, r := range records {
		if err := opened.Put([]byte(r.key), []byte(r.value), time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"verify", "verify --json", "dump", "compact", "repair", "verify"} {
		fields := strings.Fields(line)
		session.run(append([]string{"store", fields[0], session.dir}, fields[1:]...)...)
	}
	session.run("store", "verify", filepath.Join(session.dir, "nowhere"))
	session.run("store", "compact", filepath.Join(session.dir, "nowhere"))
	// The remaining time of the records depends on how long the test takes.
	timeLeft := regexp.MustCompile(`("left":"|"At":)[0-9hms.]+`)
	text := timeLeft.ReplaceAllString(session.String(), "${1}TIME-LEFT")
	session.Reset()
	session.WriteString(text)
	session.compare(t, "store.txt")
}

// unifiedDiff formats changes as in the golden file.
func TestGoldenUnified(t *testing.T) {
	var diffs strings.Builder
	for _, texts := range [][2]string{
		{"a\nb\nc\n", "a\nb\nc\n"},
		{"a\nb\nc\n", "a\nx\nc\n"},
		{"a\nb\nc\nd\ne\n", "b\nc\nx\nd\ne\nf\n"},
		{"a\r\nb\r\n", "a\r\nc\r\n"},
		{"", "a\n"},
		{"a", ""},
		{strings.Repeat("a\n", 2100) + "1", strings.Repeat("b\n", 2100) + "2"},
	} {
		text := unifiedDiff("f", []byte(texts[0]), []byte(texts[1]))
		if lines := strings.SplitAfter(text, "\n"); len(lines) > 20 {
			text = strings.Join(lines[:5], "") +
				fmt.Sprintf("(%d lines)\n", len(lines)) +
				strings.Join(lines[len(lines)-3:], "")
		}
		diffs.WriteString(text)
	}
	golden.Text(t, "unified.txt", []byte(diffs.String()))
}

// Exit codes and limits on file sizes have the values that programs and scripts rely on.
func TestGoldenNames(t *testing.T) {
	if ExitOK != 0 || ExitFindings != 1 || ExitUsage != 2 || ExitVoid != 3 {
		t.Errorf("exit codes: got %d, %d, %d, %d, want 0, 1, 2, 3", ExitOK, ExitFindings, ExitUsage, ExitVoid)
	}
	if apps.MaxBytes != 64<<20 || apps.MaxFileBytes != 1<<20 {
		t.Errorf("limits on file sizes: got %d, %d, want %d, %d", apps.MaxBytes, apps.MaxFileBytes, 64<<20, 1<<20)
	}
}
