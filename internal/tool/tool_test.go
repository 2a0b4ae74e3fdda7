package tool

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"quincegap/internal/config/apps"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/files/atomicfile"
	"quincegap/internal/product"
)

var update = flag.Bool("update", false, "write the wanted findings anew, to be read before they are committed")

// run runs a command line and returns its exit code and what it printed.
func run(args ...string) (code int, out, errs string) {
	var outBuffer, errBuffer bytes.Buffer
	code = Run(args, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

// must runs a command line that has to succeed, and returns its output.
func must(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errs := run(args...)
	if code != ExitOK {
		t.Fatalf("%v: exit %d\n%s%s", args, code, out, errs)
	}
	return out
}

// mustFind runs a command line that has to end with findings, and returns its output, which has to contain a text.
func mustFind(t *testing.T, want string, args ...string) string {
	t.Helper()
	code, out, errs := run(args...)
	if code != ExitFindings || !strings.Contains(out, want) {
		t.Errorf("%v: exit %d, want %d with %q:\n%s%s", args, code, ExitFindings, want, out, errs)
	}
	return out
}

const (
	mistakesFolder = "testdata/mistakes"
	mistakesWanted = "testdata/mistakes.want"
)

// Every file of the collection has exactly the findings that mistakes.want lists for it. The file of a single application is also rejected
// by the sidecar.
func TestMistakes(t *testing.T) {
	entries, err := os.ReadDir(mistakesFolder)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) < 80 {
		t.Errorf("only %d files", len(entries))
	}
	wanted := readWantedFindings(t)
	var all strings.Builder
	for _, e := range entries {
		name := e.Name()
		lines := findingsOfMistake(t, name)
		all.WriteString(lines)
		if lines != wanted[name] && !*update {
			t.Errorf("%s: got\n%swant\n%s", name, lines, wanted[name])
		}
		if strings.Contains(name, "apps-") || strings.HasSuffix(name, ".json") {
			continue
		}
		var own finding.List
		if product.Load(filepath.Join(mistakesFolder, name), false, &own); own.Len() == 0 {
			t.Errorf("%s: the sidecar would accept it", name)
		}
	}
	if *update {
		check(t, os.WriteFile(mistakesWanted, []byte(all.String()), 0o644))
	}
}

// readWantedFindings returns the findings that each file is to have, by the file's name.
func readWantedFindings(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(mistakesWanted)
	if err != nil && !*update {
		t.Fatal(err)
	}
	wanted := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, _, _ := strings.Cut(line, ":")
		wanted[name] += line
	}
	return wanted
}

// findingsOfMistake returns the findings of a file of the collection, without the folder. It fails the test if there are none.
func findingsOfMistake(t *testing.T, name string) string {
	t.Helper()
	var found finding.List
	Check([]string{filepath.Join(mistakesFolder, name)}, false, &found)
	if found.Len() == 0 {
		t.Errorf("%s: passes", name)
	}
	var text strings.Builder
	check(t, found.Print(&text))
	return strings.ReplaceAll(text.String(), mistakesFolder+string(filepath.Separator), "")
}

// initFolder returns a folder with the apps.toml that init writes, and the paths of that file and of the two files derived from it.
func initFolder(t *testing.T) (dir, source, front, keeper string) {
	t.Helper()
	dir = t.TempDir()
	must(t, "init", dir)
	source = filepath.Join(dir, "apps.toml")
	must(t, "write", source)
	return dir, source, filepath.Join(dir, "booking-front.example.org.toml"), filepath.Join(dir, "slot-keeper.example.org.toml")
}

// replace edits a file by hand: it replaces the first occurrence of a text, which has to be there.
func replace(t *testing.T, path, from, to string) {
	t.Helper()
	text := content(t, path)
	if !strings.Contains(text, from) {
		t.Fatalf("%s does not contain %q", path, from)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(text, from, to, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// check fails the test if one of its own steps has failed.
func check(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

// content returns the text of a file.
func content(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The first steps of a new user: init, check, write, check; then a mistake by hand, whose line check names.
func TestNewcomer(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	must(t, "check", source)
	must(t, "check", front, keeper)
	must(t, "diff", source)
	before := content(t, front)
	if out := must(t, "write", source); !strings.Contains(out, "2 files are up to date") || content(t, front) != before {
		t.Errorf("write again: %s", out)
	}
	replace(t, front, "deadline = \"6s\"", "dedline = \"6s\"")
	code, out, _ := run("check", front)
	if code != ExitFindings || !strings.Contains(out, `unknown key "dedline"; did you mean "deadline"? in [class.book-trip]`) {
		t.Errorf("exit %d: %s", code, out)
	}
	line := 0
	for i, l := range strings.Split(content(t, front), "\n") {
		if strings.HasPrefix(l, "dedline") {
			line = i + 1
		}
	}
	if !strings.Contains(out, fmt.Sprintf("%s:%d:1: ", front, line)) {
		t.Errorf("line %d is not named: %s", line, out)
	}
}

func TestEditsByHand(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	replace(t, keeper, "sockets = 1024", "sockets = 512 # at night")

	mustFind(t, "limits.sockets = 512 was set by hand (it was 1024)", "write", source)
	if got := content(t, keeper); !strings.Contains(got, "sockets = 512 # at night") {
		t.Errorf("the edit is gone:\n%s", got)
	}
	mustFind(t, "edited by hand: ", "diff", source)

	// apps.toml changes another key: the file gets both the edit and the change. No file is written if one is rejected.
	replace(t, source, "connect_timeout = \"250ms\"", "connect_timeout = \"300ms\"")
	mustFind(t, "", "write", source)
	if strings.Contains(content(t, front), "300ms") {
		t.Error("a file was written beside one that was rejected")
	}
	must(t, "write", "--keep-edits", source)
	got := content(t, keeper)
	if !strings.Contains(got, "sockets = 512 # at night") || !strings.Contains(got, "connect_timeout = \"300ms\"") {
		t.Error(got)
	}
	// The same key: a conflict, and nothing is written.
	replace(t, source, "sockets = 1024", "sockets = 2048")
	mustFind(t, "limits.sockets = 512 was set by hand, and apps.toml now says 2048", "write", "--keep-edits", source)
	if strings.Contains(content(t, front), "2048") {
		t.Error("a file was written beside one with a conflict")
	}
	mustFind(t, "settle it", "adopt", source, keeper)
	replace(t, source, "sockets = 2048", "sockets = 1024")
	if out := must(t, "adopt", source, keeper); !strings.Contains(out, "1 edits are now in") {
		t.Error(out)
	}
	got = content(t, source)
	if !strings.Contains(got, "[apps.\"slot-keeper.example.org\".limits]\nsockets = 512\n") ||
		!strings.Contains(got, "# slot-keeper keeps the ambulances' slots.") {
		t.Error(got)
	}
	must(t, "check", source, keeper)
	if out := must(t, "adopt", source, keeper); !strings.Contains(out, "nothing to adopt") {
		t.Error(out)
	}
	// Edits are discarded only with --discard-edits, and printed.
	replace(t, keeper, "cores = 1.0", "cores = 2.0")
	out := must(t, "write", "--discard-edits", source)
	if !strings.Contains(out, "discarded: ") || !strings.Contains(out, "limits.cores = 2.0") {
		t.Error(out)
	}
	if got = content(t, keeper); strings.Contains(got, "cores = 2.0") || strings.Contains(got, "at night") {
		t.Error(got)
	}
}

// An edit that would make apps.toml invalid is not adopted, and one that would make a merged file invalid is not kept.
func TestInvalidEditsAreRejected(t *testing.T) {
	_, source, _, keeper := initFolder(t)
	replace(t, keeper, "deadline = \"5s\"", "deadline = \"5900ms\"")
	before := content(t, source)
	mustFind(t, "does not cover the deadline", "adopt", source, keeper)
	if content(t, source) != before {
		t.Error("apps.toml has changed")
	}
	replace(t, keeper, "deadline = \"5900ms\"", "deadline = \"9s\"")
	replace(t, source,
		"deadline = \"5s\"\neffect = \"keyed\"\nkey_scope = \"cell\"\nkey_window = \"10s\"",
		"deadline = \"5s\"\neffect = \"keyed\"\nkey_scope = \"cell\"\nkey_window = \"6s\"")
	before = content(t, keeper)
	mustFind(t, "with the edits kept: class.take-slot.key_window", "write", "--keep-edits", source)
	if content(t, keeper) != before {
		t.Error("the derived file has changed")
	}
}

// If something else is in the place of a derived file, no file is written.
func TestObstructedFiles(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	for name, obstruct := range map[string]func(){
		"not ours":   func() { check(t, os.WriteFile(front, []byte("[sidecar]\n"), 0o644)) },
		"truncated":  func() { check(t, os.Truncate(front, int64(len(content(t, front))/2))) },
		"unreadable": func() { replace(t, front, "cores = 1.0", "cores = 1.0.0") },
		"a folder":   func() { check(t, os.Remove(front), os.Mkdir(front, 0o755)) },
		"a link to nothing": func() {
			check(t, os.Remove(front), os.Symlink("nothing", front))
		},
	} {
		check(t, os.RemoveAll(front))
		must(t, "write", source)
		replace(t, source, "cores = 1.0", "cores = 1.00")
		kept := content(t, keeper)
		obstruct()
		if code, out, errs := run("write", source); code != ExitFindings || content(t, keeper) != kept {
			t.Errorf("%s: exit %d: %s%s", name, code, out, errs)
		}
		replace(t, source, "cores = 1.00", "cores = 1.0")
	}
}

// A file that can't be read is discarded only with --discard-edits, and printed; one that is not this application's never.
func TestDiscardOfObstructedFiles(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	replace(t, front, "cores = 1.0", "cores = 1.0.0")
	out := must(t, "write", "--discard-edits", source)
	if !strings.Contains(out, "discarded: "+front+":") || !strings.Contains(out, "1.0.0") {
		t.Errorf("discarded without a message: %s", out)
	}
	for name, obstruct := range map[string]func(){
		"a folder":      func() { check(t, os.Remove(front), os.Mkdir(front, 0o755)) },
		"another app's": func() { check(t, os.WriteFile(front, []byte(content(t, keeper)), 0o644)) },
		"not ours":      func() { check(t, os.WriteFile(front, []byte("[sidecar]\n"), 0o644)) },
	} {
		check(t, os.RemoveAll(front))
		must(t, "write", source)
		obstruct()
		if code, out, _ := run("write", "--discard-edits", source); code != ExitFindings || !strings.Contains(out, front) {
			t.Errorf("%s: exit %d: %s", name, code, out)
		}
	}
}

// A symlink to an existing file stays, and its target is written; init replaces no file.
func TestExistingFilesStay(t *testing.T) {
	dir, source, front, _ := initFolder(t)
	target := filepath.Join(dir, "elsewhere.toml")
	check(t, os.Rename(front, target), os.Symlink("elsewhere.toml", front))
	replace(t, source, "cores = 1.0", "cores = 2.0")
	must(t, "write", source)
	if info, _ := os.Lstat(front); info.Mode()&fs.ModeSymlink == 0 || !strings.Contains(content(t, target), "cores = 2.0") {
		t.Error("the link was replaced")
	}
	if code, _, errs := run("init", dir); code != ExitFindings || !strings.Contains(errs, "is there already") {
		t.Errorf("init: exit %d: %s", code, errs)
	}
}

// fullDisk is a disk without space.
type fullDisk struct{ atomicfile.Disk }

func (fullDisk) CreateTemp(string, string) (atomicfile.TempFile, error) {
	return nil, &fs.PathError{Op: "open", Path: "x", Err: syscall.ENOSPC}
}

func TestFullDisk(t *testing.T) {
	_, source, front, _ := initFolder(t)
	replace(t, source, "cores = 1.0", "cores = 2.0")
	before := content(t, front)
	var out, errs bytes.Buffer
	c := &command{out: printer{&out}, errOut: printer{&errs}, disk: fullDisk{}}
	cmd := c.writeCommand()
	cmd.SetArgs([]string{source})
	cmd.SilenceUsage = true
	cmd.SilenceErrors = true
	if err := cmd.Execute(); !errors.Is(err, syscall.ENOSPC) || content(t, front) != before {
		t.Errorf("%v, %s", err, out.String())
	}
}

// If no file can be created in a folder, not even by root, the message names the file.
func TestUnwritableFolder(t *testing.T) {
	_, source, _, _ := initFolder(t)
	code, out, errs := run("write", "-o", "/proc/self", source)
	if code != ExitFindings || !strings.Contains(errs, "/proc/self/booking-front.example.org.toml: cannot be written") {
		t.Errorf("exit %d: %s%s", code, out, errs)
	}
}

// Concurrent writes leave valid files, all of them from one write.
func TestConcurrentWrites(t *testing.T) {
	dir, source, front, keeper := initFolder(t)
	other := filepath.Join(dir, "other", "apps.toml")
	if err := os.Mkdir(filepath.Dir(other), 0o755); err != nil {
		t.Fatal(err)
	}
	check(t, os.WriteFile(other, []byte(strings.Replace(content(t, source), "cores = 1.0", "cores = 3.0", 1)), 0o644))
	var both sync.WaitGroup
	for _, path := range []string{source, other, source, other} {
		both.Go(func() {
			if code, out, errs := run("write", "-o", dir, path); code != ExitOK {
				t.Errorf("exit %d: %s%s", code, out, errs)
			}
		})
	}
	both.Wait()
	must(t, "check", front, keeper)
	frontChanged := strings.Contains(content(t, front), "cores = 3.0")
	keeperChanged := strings.Contains(content(t, keeper), "cores = 3.0")
	if frontChanged != keeperChanged {
		t.Error("the files come from two writes")
	}
	left, _ := filepath.Glob(filepath.Join(dir, ".*"))
	if len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
}

func TestExitCodesAndOutput(t *testing.T) {
	dir, source, front, _ := initFolder(t)
	for _, test := range []struct {
		args []string
		code int
		want string // part of the output or the messages
	}{
		{[]string{"--help"}, ExitOK, "quincegapctl writes a configuration file"},
		{[]string{"help", "write"}, ExitOK, "--keep-edits"},
		{[]string{"completion", "bash"}, ExitOK, "__start_quincegapctl"},
		{nil, ExitOK, "Available Commands"},
		{[]string{"chekc"}, ExitUsage, `unknown command "chekc"`},
		{[]string{"check"}, ExitUsage, "requires at least 1 arg"},
		{[]string{"check", "--jsn", source}, ExitUsage, "unknown flag"},
		{[]string{"write", source, front}, ExitUsage, "accepts 1 arg"},
		{[]string{"write", "--keep-edits", "--discard-edits", source}, ExitUsage, "none of the others"},
		{[]string{"check", filepath.Join(dir, "none.toml")}, ExitFindings, "none.toml: cannot be read: no such file"},
		{[]string{"check", dir}, ExitFindings, "is no regular file"},
		{[]string{"write", "-o", filepath.Join(dir, "new"), source}, ExitOK, "wrote"},
		{[]string{"sample"}, ExitOK, "[sidecar]"},
		{[]string{"reference"}, ExitOK, "## [callers]"},
		{[]string{"adopt", source}, ExitUsage, "requires at least 2"},
		{[]string{"adopt", source, source}, ExitFindings, "its header is missing"},
	} {
		code, out, errs := run(test.args...)
		if code != test.code || !strings.Contains(out+errs, test.want) {
			t.Errorf("%v: exit %d, want %d with %q:\n%s%s", test.args, code, test.code, test.want, out, errs)
		}
	}
	replace(t, front, "cores = 1.0", "cores = -1.0")
	code, out, _ := run("check", "--json", front, source)
	var got struct{ Findings []finding.Finding }
	err := json.Unmarshal([]byte(out), &got)
	if err != nil || code != ExitFindings || len(got.Findings) != 1 || got.Findings[0].Line == 0 || got.Findings[0].File != front {
		t.Errorf("exit %d, %v: %s", code, err, out)
	}
	if code, out, _ = run("check", "--json", source); code != ExitOK || !strings.Contains(out, `"findings": []`) {
		t.Errorf("exit %d: %s", code, out)
	}
}

// Files of single applications are checked against one another. With --overlay a file need not name its application.
func TestFilesTogether(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	replace(t, keeper, `listen = "127.0.0.1:8081"`, `listen = "127.0.0.1:8080"`)
	must(t, "check", front)
	must(t, "check", keeper)
	if code, out, _ := run("check", front, keeper); code != ExitFindings || !strings.Contains(out, "is taken by booking-front.example.org") {
		t.Errorf("exit %d: %s", code, out)
	}
	overlay := filepath.Join(filepath.Dir(source), "overlay.toml")
	check(t, os.WriteFile(overlay, []byte("[callers]\nmax_body = \"32KiB\"\n"), 0o644))
	if code, _, _ := run("check", overlay); code != ExitFindings {
		t.Error("a file that names no application passes by itself")
	}
	must(t, "check", "--overlay", overlay)
}

// mutation is a valid file with one line misspelt, doubled or dropped, and the findings in it.
type mutation struct {
	lines    []string // of the valid file
	line     int      // index of the line that is changed
	how      string   // misspell, double or drop
	derived  bool     // the file is a derived one, whose trailer lists its keys
	findings *finding.List
}

// If any line of a valid file is changed, check names it: a line that is misspelt or doubled by its own number; a line that is dropped by
// the number of its table's header, or by a finding that follows from the loss.
func TestAnyChangedLineIsNamed(t *testing.T) {
	dir, source, front, _ := initFolder(t)
	// Comments are left alone. A key with a default may be missing in apps.toml; in the derived file its trailer lists all keys.
	valid := map[string][]string{
		source: strings.Split(content(t, source), "\n"),
		front:  strings.Split(content(t, front), "\n"),
	}
	changed := filepath.Join(dir, "changed.toml")
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom([]string{source, front}).Draw(rt, "file")
		m := mutation{lines: valid[path], derived: path == front, findings: &finding.List{}}
		text := m.draw(rt)
		if err := os.WriteFile(changed, []byte(text), 0o644); err != nil {
			rt.Fatal(err)
		}
		Check([]string{changed}, false, m.findings)
		m.checkNamed(rt)
	})
}

func (m *mutation) text() string { return m.lines[m.line] }

// draw draws a line and how it is changed, and returns the changed text.
func (m *mutation) draw(rt *rapid.T) string {
	var candidates []int
	for i, l := range m.lines {
		if l != "" && !strings.HasPrefix(l, "#") {
			candidates = append(candidates, i)
		}
	}
	m.line = rapid.SampledFrom(candidates).Draw(rt, "line")
	m.how = rapid.SampledFrom([]string{"misspell", "double", "drop"}).Draw(rt, "how")
	line := m.text()
	changed := append([]string(nil), m.lines[:m.line]...)
	switch m.how {
	case "misspell":
		// In the key, or in the last part of a header.
		end := strings.IndexAny(line, "=]")
		name := strings.TrimRight(strings.TrimRight(line[:end], " "), `"`)
		begin := strings.LastIndexAny(name, `[."`) + 1
		if strings.Contains(line, "=") {
			begin = 0
		}
		at := begin + rapid.IntRange(0, len(name)-begin-1).Draw(rt, "letter")
		changed = append(changed, line[:at]+"q"+line[at:])
	case "double":
		changed = append(changed, line, line)
	}
	changed = append(changed, m.lines[m.line+1:]...)
	return strings.Join(changed, "\n")
}

// names reports whether a finding is on a line, counted from 1.
func (m *mutation) names(line int) bool {
	return slices.ContainsFunc(m.findings.All(), func(f finding.Finding) bool { return f.Line == line })
}

// headerLine returns the number of the header, from 1, of the table that the line belongs to.
func (m *mutation) headerLine() int {
	header := m.line
	for header > 0 && !strings.HasPrefix(m.lines[header], "[") {
		header--
	}
	return header + 1
}

func (m *mutation) checkNamed(rt *rapid.T) {
	isHeader := strings.HasPrefix(m.text(), "[")
	switch {
	case m.how == "double":
		if !m.names(m.line + 2) {
			rt.Fatalf("%q doubled in line %d: %v", m.text(), m.line+2, m.findings.Err())
		}
	case m.how == "misspell" && isHeader:
		m.checkMisspeltHeader(rt)
	case m.how == "misspell":
		if !m.names(m.line + 1) {
			rt.Fatalf("%q misspelt in line %d: %v", m.text(), m.line+1, m.findings.Err())
		}
	case isHeader:
		if m.findings.Len() == 0 {
			rt.Fatalf("header %q dropped: passes", m.text())
		}
	default:
		m.checkDroppedKey(rt)
	}
}

// checkMisspeltHeader fails if a misspelt header is not named. The name of a class, a call or an application is free to choose; its use
// elsewhere then has the finding.
func (m *mutation) checkMisspeltHeader(rt *rapid.T) {
	line := m.text()
	isFree := isFreeName(doc.ReadTOML([]byte(line+"\n"), 1<<10, func(finding.Pos, string, ...any) {}))
	if isFree && strings.Contains(line, "calls.") {
		return // the call's own name, which nothing refers to
	}
	if m.findings.Len() == 0 && !strings.Contains(line, "find-trip") {
		rt.Fatalf("header %q misspelt: passes", line)
	}
	if !isFree && !m.names(m.line+1) {
		rt.Fatalf("header %q misspelt in line %d: %v", line, m.line+1, m.findings.Err())
	}
}

// checkDroppedKey fails if a dropped key is not named: in a derived file by its table, in apps.toml only if the key is required, by its
// table or by the file as a whole.
func (m *mutation) checkDroppedKey(rt *rapid.T) {
	isNamed := m.names(m.headerLine())
	if !m.derived {
		isNamed = isNamed || m.names(1) || !needed(m.text())
	}
	if !isNamed {
		rt.Fatalf("%q dropped under line %d: %v", m.text(), m.headerLine(), m.findings.Err())
	}
}

// isFreeName reports whether the last part of a header is a name that users choose.
func isFreeName(d *doc.Document) bool {
	t, path := d.Root, []string(nil)
	for len(t.Entries) > 0 {
		path = append(path, t.Entries[0].Name)
		t = t.Entries[0].Value.Table
	}
	for _, sort := range []string{"class", "calls", "tenant", "hosts"} {
		if len(path) > 1 && path[len(path)-2] == sort {
			return true
		}
	}
	return false
}

// needed reports whether a line sets a required key.
func needed(line string) bool {
	name := strings.TrimSpace(strings.SplitN(line, "=", 2)[0])
	for _, t := range product.Schema.Tables {
		for _, k := range t.Keys {
			if k.Name == name {
				return k.Required
			}
		}
	}
	return false
}

// Whatever a file contains, checking it ends, with findings whose lines are in the file.
func FuzzCheck(f *testing.F) {
	f.Add(initialApps)
	f.Add([]byte(product.Sample()))
	f.Add([]byte("[apps.a.calls.b]\nto = \"a\"\nmutual_depth = 2\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var found finding.List
		if m := apps.Read(product.Schema, "f", text, &found); m != nil {
			m.Check(&found)
			if found.Len() == 0 {
				checkDerivedFiles(t, m)
			}
		}
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, x := range found.All() {
			if x.Line > lines || x.Message == "" || strings.Contains(x.Message, "\n") {
				t.Errorf("finding %q in a text of %d lines", x, lines)
			}
		}
		var single finding.List
		if d := doc.ReadTOML(text, apps.MaxFileBytes, single.ForFile("f")); d != nil {
			product.Decode("f", d, false, single.Len() == 0, &single)
		}
	})
}

// checkDerivedFiles fails if a file derived from a valid apps.toml has findings.
func checkDerivedFiles(t *testing.T, m *apps.Model) {
	t.Helper()
	for _, a := range m.Apps {
		var found finding.List
		file := apps.Generate(a, "f")
		if d := doc.ReadTOML(file, apps.MaxFileBytes, found.ForFile("w")); d != nil {
			product.Decode("w", d, false, true, &found)
		}
		if found.Len() > 0 {
			t.Errorf("%s\n%s", found.Err(), file)
		}
	}
}
