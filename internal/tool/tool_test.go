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

// run runs a command line in a folder's terms and gives its exit code and what it printed.
func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

// must is run for a command line that is to be fine.
func must(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errs := run(args...)
	if code != ExitOK {
		t.Fatalf("%v: exit %d\n%s%s", args, code, out, errs)
	}
	return out
}

const (
	mistakesFolder = "testdata/mistakes"
	mistakesWanted = "testdata/mistakes.want"
)

// Every file of the collection is refused, with just the findings that want.txt lists for it. A sidecar's own
// file is refused by the sidecar too, and a platform's by its loader.
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
			t.Errorf("%s: the sidecar would take it", name)
		}
	}
	if *update {
		check(t, os.WriteFile(mistakesWanted, []byte(all.String()), 0o644))
	}
}

// readWantedFindings reads the findings that each file is to have, by its name.
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

// findingsOfMistake are the findings of a file of the collection, with its name alone; there has to be one.
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

// first makes a folder with apps.toml as init writes it, and the files of its applications.
func first(t *testing.T) (dir, source, front, keeper string) {
	t.Helper()
	dir = t.TempDir()
	must(t, "init", dir)
	source = filepath.Join(dir, "apps.toml")
	must(t, "write", source)
	return dir, source, filepath.Join(dir, "booking-front.example.org.toml"), filepath.Join(dir, "slot-keeper.example.org.toml")
}

// replace edits a file by hand.
func replace(t *testing.T, path, from, to string) {
	t.Helper()
	text := content(t, path)
	if !strings.Contains(text, from) {
		t.Fatalf("%s does not hold %q", path, from)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(text, from, to, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// check fails a test whose own steps fail.
func check(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

func content(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A newcomer's way: init, check, write, check, break a file by hand, be told the line.
func TestNewcomer(t *testing.T) {
	_, source, front, keeper := first(t)
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
	_, source, front, keeper := first(t)
	replace(t, keeper, "sockets = 1024", "sockets = 512 # at night")

	code, out, _ := run("write", source)
	if code != ExitFindings || !strings.Contains(out, "limits.sockets = 512 was set by hand (it was 1024)") || !strings.Contains(content(t, keeper), "sockets = 512 # at night") {
		t.Errorf("write: exit %d: %s", code, out)
	}
	code, out, _ = run("diff", source)
	if code != ExitFindings || !strings.Contains(out, "edited by hand: ") {
		t.Errorf("diff: exit %d: %s", code, out)
	}

	// apps.toml changes another key: kept edits and the change both stand. No file is written where one is refused.
	replace(t, source, "connect_timeout = \"250ms\"", "connect_timeout = \"300ms\"")
	if code, _, _ = run("write", source); code != ExitFindings || strings.Contains(content(t, front), "300ms") {
		t.Error("a file was written beside one that was refused")
	}
	must(t, "write", "--keep-edits", source)
	if got := content(t, keeper); !strings.Contains(got, "sockets = 512 # at night") || !strings.Contains(got, "connect_timeout = \"300ms\"") {
		t.Error(got)
	}
	// The same key: a conflict, and nothing is written.
	replace(t, source, "sockets = 1024", "sockets = 2048")
	code, out, _ = run("write", "--keep-edits", source)
	if code != ExitFindings || !strings.Contains(out, "limits.sockets = 512 was set by hand, and apps.toml now says 2048") || strings.Contains(content(t, front), "2048") {
		t.Errorf("exit %d: %s", code, out)
	}
	if code, out, _ = run("adopt", source, keeper); code != ExitFindings || !strings.Contains(out, "settle it") {
		t.Errorf("adopt: exit %d: %s", code, out)
	}
	replace(t, source, "sockets = 2048", "sockets = 1024")
	if out = must(t, "adopt", source, keeper); !strings.Contains(out, "1 edits are now in") {
		t.Error(out)
	}
	if got := content(t, source); !strings.Contains(got, "[apps.\"slot-keeper.example.org\".limits]\nsockets = 512\n") ||
		!strings.Contains(got, "# slot-keeper keeps the ambulances' slots.") {
		t.Error(got)
	}
	must(t, "check", source, keeper)
	if out = must(t, "adopt", source, keeper); !strings.Contains(out, "nothing to adopt") {
		t.Error(out)
	}
	// Thrown away only when told to, and not in silence.
	replace(t, keeper, "cores = 1.0", "cores = 2.0")
	if out = must(t, "write", "--discard-edits", source); !strings.Contains(out, "discarded: ") || !strings.Contains(out, "limits.cores = 2.0") {
		t.Error(out)
	}
	if got := content(t, keeper); strings.Contains(got, "cores = 2.0") || strings.Contains(got, "at night") {
		t.Error(got)
	}
}

// An edit that would make apps.toml unsound is not adopted, and one that would make a merged file so is not kept.
func TestUnsoundEditsAreNotTakenUp(t *testing.T) {
	_, source, _, keeper := first(t)
	replace(t, keeper, "deadline = \"5s\"", "deadline = \"5900ms\"")
	before := content(t, source)
	code, out, _ := run("adopt", source, keeper)
	if code != ExitFindings || !strings.Contains(out, "does not cover the deadline") || content(t, source) != before {
		t.Errorf("exit %d: %s", code, out)
	}
	replace(t, keeper, "deadline = \"5900ms\"", "deadline = \"9s\"")
	replace(t, source, "deadline = \"5s\"\neffect = \"keyed\"\nkey_scope = \"cell\"\nkey_window = \"10s\"", "deadline = \"5s\"\neffect = \"keyed\"\nkey_scope = \"cell\"\nkey_window = \"6s\"")
	before = content(t, keeper)
	code, out, _ = run("write", "--keep-edits", source)
	if code != ExitFindings || !strings.Contains(out, "with the edits kept: class.take-slot.key_window") || content(t, keeper) != before {
		t.Errorf("exit %d: %s", code, out)
	}
}

func TestFilesThatStandInTheWay(t *testing.T) {
	dir, source, front, keeper := first(t)
	for name, spoil := range map[string]func(){
		"not ours":   func() { check(t, os.WriteFile(front, []byte("[sidecar]\n"), 0o644)) },
		"cut":        func() { check(t, os.Truncate(front, int64(len(content(t, front))/2))) },
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
		spoil()
		if code, out, errs := run("write", source); code != ExitFindings || content(t, keeper) != kept {
			t.Errorf("%s: exit %d: %s%s", name, code, out, errs)
		}
		replace(t, source, "cores = 1.00", "cores = 1.0")
	}
	// What cannot be read is thrown away only when told to, and printed; what is not this application's never.
	check(t, os.RemoveAll(front))
	must(t, "write", source)
	replace(t, front, "cores = 1.0", "cores = 1.0.0")
	if out := must(t, "write", "--discard-edits", source); !strings.Contains(out, "discarded: "+front+":") || !strings.Contains(out, "1.0.0") {
		t.Errorf("discarded without a word: %s", out)
	}
	for name, spoil := range map[string]func(){
		"a folder":      func() { check(t, os.Remove(front), os.Mkdir(front, 0o755)) },
		"another app's": func() { check(t, os.WriteFile(front, []byte(content(t, keeper)), 0o644)) },
		"not ours":      func() { check(t, os.WriteFile(front, []byte("[sidecar]\n"), 0o644)) },
	} {
		check(t, os.RemoveAll(front))
		must(t, "write", source)
		spoil()
		if code, out, _ := run("write", "--discard-edits", source); code != ExitFindings || !strings.Contains(out, front) {
			t.Errorf("%s: exit %d: %s", name, code, out)
		}
	}
	check(t, os.RemoveAll(front))
	// A symlink to a file that is there stays, and its file is written.
	target := filepath.Join(dir, "elsewhere.toml")
	must(t, "write", source)
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

// full is a disk without room.
type full struct{ atomicfile.Disk }

func (full) CreateTemp(string, string) (atomicfile.TempFile, error) {
	return nil, &fs.PathError{Op: "open", Path: "x", Err: syscall.ENOSPC}
}

func TestFullDisk(t *testing.T) {
	_, source, front, _ := first(t)
	replace(t, source, "cores = 1.0", "cores = 2.0")
	before := content(t, front)
	var out, errs bytes.Buffer
	c := &command{out: printer{&out}, errOut: printer{&errs}, disk: full{}}
	w := c.writeCommand()
	w.SetArgs([]string{source})
	w.SilenceUsage, w.SilenceErrors = true, true
	if err := w.Execute(); !errors.Is(err, syscall.ENOSPC) || content(t, front) != before {
		t.Errorf("%v, %s", err, out.String())
	}
}

// In a folder where nothing can be made, not even by root, nothing is, and the message names the file.
func TestFolderThatTakesNoFiles(t *testing.T) {
	_, source, _, _ := first(t)
	code, out, errs := run("write", "-o", "/proc/self", source)
	if code != ExitFindings || !strings.Contains(errs, "/proc/self/booking-front.example.org.toml: cannot be written") {
		t.Errorf("exit %d: %s%s", code, out, errs)
	}
}

// Two writes at once end with files that check, and neither sees the other's half.
func TestTwoWritesAtOnce(t *testing.T) {
	dir, source, front, keeper := first(t)
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
	if a, b := strings.Contains(content(t, front), "cores = 3.0"), strings.Contains(content(t, keeper), "cores = 3.0"); a != b {
		t.Error("the files come from two writes")
	}
	left, _ := filepath.Glob(filepath.Join(dir, ".*"))
	if len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
}

func TestExitCodesAndOutput(t *testing.T) {
	dir, source, front, _ := first(t)
	for _, c := range []struct {
		args []string
		code int
		want string // in what is printed
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
		code, out, errs := run(c.args...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%v: exit %d, want %d with %q:\n%s%s", c.args, code, c.code, c.want, out, errs)
		}
	}
	replace(t, front, "cores = 1.0", "cores = -1.0")
	code, out, _ := run("check", "--json", front, source)
	var got struct{ Findings []finding.Finding }
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != ExitFindings || len(got.Findings) != 1 || got.Findings[0].Line == 0 || got.Findings[0].File != front {
		t.Errorf("exit %d, %v: %s", code, err, out)
	}
	if code, out, _ = run("check", "--json", source); code != ExitOK || !strings.Contains(out, `"findings": []`) {
		t.Errorf("exit %d: %s", code, out)
	}
}

// Files of single applications are checked against one another, and with a platform's as their own.
func TestFilesTogether(t *testing.T) {
	_, source, front, keeper := first(t)
	replace(t, keeper, `listen = "127.0.0.1:8081"`, `listen = "127.0.0.1:8080"`)
	must(t, "check", front)
	must(t, "check", keeper)
	if code, out, _ := run("check", front, keeper); code != ExitFindings || !strings.Contains(out, "is taken by booking-front.example.org") {
		t.Errorf("exit %d: %s", code, out)
	}
	overlay := filepath.Join(filepath.Dir(source), "overlay.toml")
	check(t, os.WriteFile(overlay, []byte("[callers]\nmax_body = \"32KiB\"\n"), 0o644))
	if code, _, _ := run("check", overlay); code != ExitFindings {
		t.Error("a file that says not who it is passes by itself")
	}
	must(t, "check", "--overlay", overlay)
}

// spoiling is a file with one line misspelt, doubled or dropped.
type spoiling struct {
	lines    []string // of the good file
	line     int      // index of the line that was spoilt
	how      string
	derived  bool // the file is a derived one, whose keys are known by its trailer
	findings *finding.List
}

// Spoil any one line of a good file, and check names it: misspelt or doubled, its own line, or the first of
// the two; taken away, the line of the table it stood in, or what the loss led to below.
func TestAnySpoiltLineIsNamed(t *testing.T) {
	dir, source, front, _ := first(t)
	// Comments cannot be spoilt, and a key with a default may be left out of apps.toml: those of the written
	// file are known by its trailer.
	good := map[string][]string{source: strings.Split(content(t, source), "\n"), front: strings.Split(content(t, front), "\n")}
	spoilt := filepath.Join(dir, "spoilt.toml")
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom([]string{source, front}).Draw(rt, "file")
		s := spoiling{lines: good[path], derived: path == front, findings: &finding.List{}}
		text := s.draw(rt)
		if err := os.WriteFile(spoilt, []byte(text), 0o644); err != nil {
			rt.Fatal(err)
		}
		Check([]string{spoilt}, false, s.findings)
		s.checkNamed(rt)
	})
}

func (s *spoiling) text() string { return s.lines[s.line] }

// draw chooses a line and how it is spoilt, and gives the text with it.
func (s *spoiling) draw(rt *rapid.T) string {
	var candidates []int
	for i, l := range s.lines {
		if l != "" && !strings.HasPrefix(l, "#") {
			candidates = append(candidates, i)
		}
	}
	s.line = rapid.SampledFrom(candidates).Draw(rt, "line")
	s.how = rapid.SampledFrom([]string{"misspell", "double", "drop"}).Draw(rt, "how")
	line := s.text()
	changed := append([]string(nil), s.lines[:s.line]...)
	switch s.how {
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
	changed = append(changed, s.lines[s.line+1:]...)
	return strings.Join(changed, "\n")
}

// names reports whether a finding is on a line, counted from 1.
func (s *spoiling) names(line int) bool {
	return slices.ContainsFunc(s.findings.All(), func(f finding.Finding) bool { return f.Line == line })
}

// headerLine is the number of the header, from 1, of the table that the line stands in.
func (s *spoiling) headerLine() int {
	header := s.line
	for header > 0 && !strings.HasPrefix(s.lines[header], "[") {
		header--
	}
	return header + 1
}

func (s *spoiling) checkNamed(rt *rapid.T) {
	isHeader := strings.HasPrefix(s.text(), "[")
	switch {
	case s.how == "double":
		if !s.names(s.line + 2) {
			rt.Fatalf("%q doubled in line %d: %v", s.text(), s.line+2, s.findings.Err())
		}
	case s.how == "misspell" && isHeader:
		s.checkMisspeltHeader(rt)
	case s.how == "misspell":
		if !s.names(s.line + 1) {
			rt.Fatalf("%q misspelt in line %d: %v", s.text(), s.line+1, s.findings.Err())
		}
	case isHeader:
		if s.findings.Len() == 0 {
			rt.Fatalf("header %q dropped: passes", s.text())
		}
	default:
		s.checkDroppedKey(rt)
	}
}

// A name that is free to choose, of a class, a call or an application, is not misspelt by itself: where it is used tells. The name of a
// table is.
func (s *spoiling) checkMisspeltHeader(rt *rapid.T) {
	line := s.text()
	isFree := free(doc.ReadTOML([]byte(line+"\n"), 1<<10, func(finding.Pos, string, ...any) {}))
	if isFree && strings.Contains(line, "calls.") {
		return // the call's own name, which nothing refers to
	}
	if s.findings.Len() == 0 && !strings.Contains(line, "find-trip") {
		rt.Fatalf("header %q misspelt: passes", line)
	}
	if !isFree && !s.names(s.line+1) {
		rt.Fatalf("header %q misspelt in line %d: %v", line, s.line+1, s.findings.Err())
	}
}

// A key that is dropped is missed in its table of a derived file; in apps.toml only where it is needed, there or in the file as a whole.
func (s *spoiling) checkDroppedKey(rt *rapid.T) {
	isNamed := s.names(s.headerLine())
	if !s.derived {
		isNamed = isNamed || s.names(1) || !needed(s.text())
	}
	if !isNamed {
		rt.Fatalf("%q dropped under line %d: %v", s.text(), s.headerLine(), s.findings.Err())
	}
}

// free reports whether the last part of a header is a name that people choose.
func free(d *doc.Document) bool {
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

// needed reports whether a line sets a key that has no default.
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

// Whatever a file holds, checking it ends, with places inside it.
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

// checkDerivedFiles holds that what is sound is written, and what is written is sound.
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
