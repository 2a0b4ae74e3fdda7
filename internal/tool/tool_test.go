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

var update = flag.Bool("update", false, "overwrite the wanted findings with the current ones; review them before committing")

// run runs a command line and returns its exit code, output and messages.
func run(args ...string) (code int, out, errs string) {
	var outBuffer, errBuffer bytes.Buffer
	code = Run(args, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

// mustRun runs a command line, fails the test unless it succeeds, and returns its output.
func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errs := run(args...)
	if code != ExitOK {
		t.Fatalf("%v: exit %d, want %d:\n%s%s", args, code, ExitOK, out, errs)
	}
	return out
}

// expectFindings runs a command line and returns its output. It fails the test unless the command exits with ExitFindings and the output
// contains want.
func expectFindings(t *testing.T, want string, args ...string) string {
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

// For each file in testdata/mistakes, check prints exactly the findings that mistakes.want lists. The sidecar, too, rejects those of the files
// that configure a single application.
func TestMistakes(t *testing.T) {
	entries, err := os.ReadDir(mistakesFolder)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) < 80 {
		t.Errorf("%s has %d files, want at least 80", mistakesFolder, len(entries))
	}
	wanted := readWantedFindings(t)
	var all strings.Builder
	for _, entry := range entries {
		name := entry.Name()
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
			t.Errorf("%s: the sidecar loads the file without findings", name)
		}
	}
	if *update {
		failOnError(t, os.WriteFile(mistakesWanted, []byte(all.String()), 0o644))
	}
}

// readWantedFindings returns the findings that each file has to have, by file name.
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

// findingsOfMistake returns the findings in a file of testdata/mistakes, without the folder's path. It fails the test if there are none.
func findingsOfMistake(t *testing.T, name string) string {
	t.Helper()
	var found finding.List
	Check([]string{filepath.Join(mistakesFolder, name)}, false, &found)
	if found.Len() == 0 {
		t.Errorf("%s: check has no findings, want at least one", name)
	}
	var text strings.Builder
	failOnError(t, found.Print(&text))
	return strings.ReplaceAll(text.String(), mistakesFolder+string(filepath.Separator), "")
}

// initFolder returns a folder with the apps.toml that init writes, and the paths of that file and of the two files derived from it.
func initFolder(t *testing.T) (dir, source, front, keeper string) {
	t.Helper()
	dir = t.TempDir()
	mustRun(t, "init", dir)
	source = filepath.Join(dir, "apps.toml")
	mustRun(t, "write", source)
	return dir, source, filepath.Join(dir, "booking-front.example.org.toml"), filepath.Join(dir, "slot-keeper.example.org.toml")
}

// replace replaces the first occurrence of a text in a file, as a manual edit would. It fails the test if the file lacks the text.
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

// failOnError ends the test if a step of its setup has returned an error.
func failOnError(t *testing.T, errs ...error) {
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

// The first commands of a new user, init, check and write, succeed. After a key is misspelt in a derived file, check reports its line.
func TestFirstCommands(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	mustRun(t, "check", source)
	mustRun(t, "check", front, keeper)
	mustRun(t, "diff", source)
	before := content(t, front)
	if out := mustRun(t, "write", source); !strings.Contains(out, "2 files are up to date") || content(t, front) != before {
		t.Errorf("second write: want that the files are up to date and unchanged, got %s", out)
	}
	replace(t, front, "deadline = \"6s\"", "dedline = \"6s\"")
	code, out, _ := run("check", front)
	if code != ExitFindings || !strings.Contains(out, `unknown key "dedline"; did you mean "deadline"? in [class.book-trip]`) {
		t.Errorf("check of a misspelt key: exit %d, want %d with a suggestion: %s", code, ExitFindings, out)
	}
	line := 0
	for i, l := range strings.Split(content(t, front), "\n") {
		if strings.HasPrefix(l, "dedline") {
			line = i + 1
		}
	}
	if !strings.Contains(out, fmt.Sprintf("%s:%d:1: ", front, line)) {
		t.Errorf("check of a misspelt key: want a finding on line %d, got %s", line, out)
	}
}

// Manual edits of derived files are never overwritten without a flag. They can be merged, adopted into apps.toml, or discarded.
func TestEditsByHand(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	replace(t, keeper, "sockets = 1024", "sockets = 512 # at night")

	expectFindings(t, "limits.sockets = 512 was set by hand (it was 1024)", "write", source)
	if got := content(t, keeper); !strings.Contains(got, "sockets = 512 # at night") {
		t.Errorf("a rejected write removed the manual edit from the file:\n%s", got)
	}
	expectFindings(t, "edited by hand: ", "diff", source)

	// If apps.toml changes another key than the edit, the file gets both changes. No file is written if one is rejected.
	replace(t, source, "connect_timeout = \"250ms\"", "connect_timeout = \"300ms\"")
	expectFindings(t, "", "write", source)
	if strings.Contains(content(t, front), "300ms") {
		t.Error("write wrote a file although it rejected another one")
	}
	mustRun(t, "write", "--keep-edits", source)
	got := content(t, keeper)
	if !strings.Contains(got, "sockets = 512 # at night") || !strings.Contains(got, "connect_timeout = \"300ms\"") {
		t.Errorf("write --keep-edits: want both the edit and the change of apps.toml in\n%s", got)
	}
	// If apps.toml changes the same key as the edit, that is a conflict, and no file is written.
	replace(t, source, "sockets = 1024", "sockets = 2048")
	expectFindings(t, "limits.sockets = 512 was set by hand, and apps.toml now says 2048", "write", "--keep-edits", source)
	if strings.Contains(content(t, front), "2048") {
		t.Error("write --keep-edits wrote a file although another one has a conflict")
	}
	expectFindings(t, "settle it", "adopt", source, keeper)
	replace(t, source, "sockets = 2048", "sockets = 1024")
	if out := mustRun(t, "adopt", source, keeper); !strings.Contains(out, "1 edits are now in") {
		t.Errorf("adopt: want one adopted edit, got %s", out)
	}
	got = content(t, source)
	if !strings.Contains(got, "[apps.\"slot-keeper.example.org\".limits]\nsockets = 512\n") ||
		!strings.Contains(got, "# slot-keeper keeps the ambulances' slots.") {
		t.Errorf("apps.toml after adopt: want the edit and the comments in\n%s", got)
	}
	mustRun(t, "check", source, keeper)
	if out := mustRun(t, "adopt", source, keeper); !strings.Contains(out, "nothing to adopt") {
		t.Errorf("second adopt: want nothing to adopt, got %s", out)
	}
	// The flag --discard-edits discards the edits and prints them.
	replace(t, keeper, "cores = 1.0", "cores = 2.0")
	out := mustRun(t, "write", "--discard-edits", source)
	if !strings.Contains(out, "discarded: ") || !strings.Contains(out, "limits.cores = 2.0") {
		t.Errorf("write --discard-edits: want the discarded edit printed, got %s", out)
	}
	if got = content(t, keeper); strings.Contains(got, "cores = 2.0") || strings.Contains(got, "at night") {
		t.Errorf("the file after write --discard-edits still has edits:\n%s", got)
	}
}

// adopt rejects an edit that would make apps.toml invalid, and write --keep-edits one that would make the merged file invalid.
func TestInvalidEditsAreRejected(t *testing.T) {
	_, source, _, keeper := initFolder(t)
	replace(t, keeper, "deadline = \"5s\"", "deadline = \"5900ms\"")
	before := content(t, source)
	expectFindings(t, "does not cover the deadline", "adopt", source, keeper)
	if content(t, source) != before {
		t.Error("adopt changed apps.toml although it rejected the edit")
	}
	replace(t, keeper, "deadline = \"5900ms\"", "deadline = \"9s\"")
	replace(t, source,
		"deadline = \"5s\"\neffect = \"keyed\"\nkey_scope = \"cell\"\nkey_window = \"10s\"",
		"deadline = \"5s\"\neffect = \"keyed\"\nkey_scope = \"cell\"\nkey_window = \"6s\"")
	before = content(t, keeper)
	expectFindings(t, "with the edits kept: class.take-slot.key_window", "write", "--keep-edits", source)
	if content(t, keeper) != before {
		t.Error("write --keep-edits changed the derived file although the merged file is invalid")
	}
}

// If the path of a derived file holds something that write must not overwrite, no file is written.
func TestObstructedFiles(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	for name, obstruct := range map[string]func(){
		"not ours":   func() { failOnError(t, os.WriteFile(front, []byte("[sidecar]\n"), 0o644)) },
		"truncated":  func() { failOnError(t, os.Truncate(front, int64(len(content(t, front))/2))) },
		"unreadable": func() { replace(t, front, "cores = 1.0", "cores = 1.0.0") },
		"a folder":   func() { failOnError(t, os.Remove(front), os.Mkdir(front, 0o755)) },
		"a link to nothing": func() {
			failOnError(t, os.Remove(front), os.Symlink("nothing", front))
		},
	} {
		failOnError(t, os.RemoveAll(front))
		mustRun(t, "write", source)
		replace(t, source, "cores = 1.0", "cores = 1.00")
		unchanged := content(t, keeper)
		obstruct()
		if code, out, errs := run("write", source); code != ExitFindings || content(t, keeper) != unchanged {
			t.Errorf("%s: exit %d, want %d and the other file unchanged: %s%s", name, code, ExitFindings, out, errs)
		}
		replace(t, source, "cores = 1.00", "cores = 1.0")
	}
}

// write --discard-edits prints and replaces a derived file that can't be parsed. It never replaces a file that was not generated for the
// application.
func TestDiscardOfObstructedFiles(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	replace(t, front, "cores = 1.0", "cores = 1.0.0")
	out := mustRun(t, "write", "--discard-edits", source)
	if !strings.Contains(out, "discarded: "+front+":") || !strings.Contains(out, "1.0.0") {
		t.Errorf("write --discard-edits: want the discarded text printed, got %s", out)
	}
	for name, obstruct := range map[string]func(){
		"a folder":      func() { failOnError(t, os.Remove(front), os.Mkdir(front, 0o755)) },
		"another app's": func() { failOnError(t, os.WriteFile(front, []byte(content(t, keeper)), 0o644)) },
		"not ours":      func() { failOnError(t, os.WriteFile(front, []byte("[sidecar]\n"), 0o644)) },
	} {
		failOnError(t, os.RemoveAll(front))
		mustRun(t, "write", source)
		obstruct()
		if code, out, _ := run("write", "--discard-edits", source); code != ExitFindings || !strings.Contains(out, front) {
			t.Errorf("%s: exit %d, want %d with the file's path: %s", name, code, ExitFindings, out)
		}
	}
}

// write follows a symlink in place of a derived file and writes its target. init does not overwrite an existing file.
func TestExistingFilesStay(t *testing.T) {
	dir, source, front, _ := initFolder(t)
	target := filepath.Join(dir, "elsewhere.toml")
	failOnError(t, os.Rename(front, target), os.Symlink("elsewhere.toml", front))
	replace(t, source, "cores = 1.0", "cores = 2.0")
	mustRun(t, "write", source)
	if info, _ := os.Lstat(front); info.Mode()&fs.ModeSymlink == 0 || !strings.Contains(content(t, target), "cores = 2.0") {
		t.Error("write replaced the symlink, or did not write its target")
	}
	if code, _, errs := run("init", dir); code != ExitFindings || !strings.Contains(errs, "is there already") {
		t.Errorf("init in a folder with an apps.toml: exit %d, want %d: %s", code, ExitFindings, errs)
	}
}

// fullDisk is a file system on which no file can be created for lack of space.
type fullDisk struct{ atomicfile.Disk }

func (fullDisk) CreateTemp(string, string) (atomicfile.TempFile, error) {
	return nil, &fs.PathError{Op: "open", Path: "x", Err: syscall.ENOSPC}
}

// write returns the error of a full disk and leaves the derived files unchanged.
func TestFullDisk(t *testing.T) {
	_, source, front, _ := initFolder(t)
	replace(t, source, "cores = 1.0", "cores = 2.0")
	before := content(t, front)
	var out, errs bytes.Buffer
	c := &cli{out: printer{&out}, errOut: printer{&errs}, disk: fullDisk{}}
	cmd := c.writeCommand()
	cmd.SetArgs([]string{source})
	cmd.SilenceUsage = true
	cmd.SilenceErrors = true
	if err := cmd.Execute(); !errors.Is(err, syscall.ENOSPC) || content(t, front) != before {
		t.Errorf("write on a full disk: got error %v, want %v and unchanged files: %s", err, syscall.ENOSPC, out.String())
	}
}

// If no file can be created in a folder, the message names the file. The test uses /proc/self, where not even root can create files.
func TestUnwritableFolder(t *testing.T) {
	_, source, _, _ := initFolder(t)
	code, out, errs := run("write", "-o", "/proc/self", source)
	if code != ExitFindings || !strings.Contains(errs, "/proc/self/booking-front.example.org.toml: cannot be written") {
		t.Errorf("write into /proc/self: exit %d, want %d with the file's path: %s%s", code, ExitFindings, out, errs)
	}
}

// After concurrent writes, the derived files are valid and all come from the same write.
func TestConcurrentWrites(t *testing.T) {
	dir, source, front, keeper := initFolder(t)
	other := filepath.Join(dir, "other", "apps.toml")
	if err := os.Mkdir(filepath.Dir(other), 0o755); err != nil {
		t.Fatal(err)
	}
	failOnError(t, os.WriteFile(other, []byte(strings.Replace(content(t, source), "cores = 1.0", "cores = 3.0", 1)), 0o644))
	var writers sync.WaitGroup
	for _, path := range []string{source, other, source, other} {
		writers.Go(func() {
			if code, out, errs := run("write", "-o", dir, path); code != ExitOK {
				t.Errorf("concurrent write: exit %d, want %d: %s%s", code, ExitOK, out, errs)
			}
		})
	}
	writers.Wait()
	mustRun(t, "check", front, keeper)
	frontChanged := strings.Contains(content(t, front), "cores = 3.0")
	keeperChanged := strings.Contains(content(t, keeper), "cores = 3.0")
	if frontChanged != keeperChanged {
		t.Errorf("the files come from two writes: front changed %t, keeper changed %t", frontChanged, keeperChanged)
	}
	leftovers, _ := filepath.Glob(filepath.Join(dir, ".*"))
	if len(leftovers) > 0 {
		t.Errorf("hidden files remain after the writes: %v", leftovers)
	}
}

// Each command line exits with the documented code and prints the expected text; check --json prints findings as JSON.
func TestExitCodesAndOutput(t *testing.T) {
	dir, source, front, _ := initFolder(t)
	for _, test := range []struct {
		args []string
		code int
		want string // text that the output or the messages have to contain
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
		t.Errorf("check --json: exit %d, error %v, want exit %d and one finding in %s: %s", code, err, ExitFindings, front, out)
	}
	if code, out, _ = run("check", "--json", source); code != ExitOK || !strings.Contains(out, `"findings": []`) {
		t.Errorf("check --json of a valid file: exit %d, want %d and no findings: %s", code, ExitOK, out)
	}
}

// check compares the files of single applications with one another. With --overlay a file need not name its application.
func TestFilesTogether(t *testing.T) {
	_, source, front, keeper := initFolder(t)
	replace(t, keeper, `listen = "127.0.0.1:8081"`, `listen = "127.0.0.1:8080"`)
	mustRun(t, "check", front)
	mustRun(t, "check", keeper)
	if code, out, _ := run("check", front, keeper); code != ExitFindings || !strings.Contains(out, "is taken by booking-front.example.org") {
		t.Errorf("check of two files with one address: exit %d, want %d with the other application: %s", code, ExitFindings, out)
	}
	overlay := filepath.Join(filepath.Dir(source), "overlay.toml")
	failOnError(t, os.WriteFile(overlay, []byte("[callers]\nmax_body = \"32KiB\"\n"), 0o644))
	if code, _, _ := run("check", overlay); code != ExitFindings {
		t.Errorf("check without --overlay of a file that names no application: exit %d, want %d", code, ExitFindings)
	}
	mustRun(t, "check", "--overlay", overlay)
}

// mutation is a valid file with one line misspelt, duplicated or deleted, and the findings in the changed file.
type mutation struct {
	lines    []string // lines of the valid file
	line     int      // index of the line that is changed
	kind     string   // misspell, double or drop
	derived  bool     // whether the file is a derived one, whose trailer lists its keys
	findings *finding.List
}

// If any line of a valid file is changed, check has a finding about it. For a misspelt or duplicated line the finding is on that line. For a
// deleted line it is on the header of the line's table, or is a consequence of the missing line.
func TestAnyChangedLineIsNamed(t *testing.T) {
	dir, source, front, _ := initFolder(t)
	// Comments are not changed. In apps.toml, a key with a default may be missing without a finding. The trailer of the derived file lists all
	// keys, so that any missing key is found there.
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
		m.checkReported(rt)
	})
}

func (m *mutation) changedLine() string { return m.lines[m.line] }

// draw draws a line and the kind of change, and returns the changed text.
func (m *mutation) draw(rt *rapid.T) string {
	var candidates []int
	for i, l := range m.lines {
		if l != "" && !strings.HasPrefix(l, "#") {
			candidates = append(candidates, i)
		}
	}
	m.line = rapid.SampledFrom(candidates).Draw(rt, "line")
	m.kind = rapid.SampledFrom([]string{"misspell", "double", "drop"}).Draw(rt, "how")
	line := m.changedLine()
	changed := append([]string(nil), m.lines[:m.line]...)
	switch m.kind {
	case "misspell":
		// A letter is inserted into the key, or into the last part of a header.
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

// hasFindingOn reports whether there is a finding on a line, counted from 1.
func (m *mutation) hasFindingOn(line int) bool {
	return slices.ContainsFunc(m.findings.All(), func(f finding.Finding) bool { return f.Line == line })
}

// headerLine returns the line number, from 1, of the header of the table that contains the changed line.
func (m *mutation) headerLine() int {
	header := m.line
	for header > 0 && !strings.HasPrefix(m.lines[header], "[") {
		header--
	}
	return header + 1
}

// checkReported fails if check does not report the change as TestAnyChangedLineIsNamed requires.
func (m *mutation) checkReported(rt *rapid.T) {
	isHeader := strings.HasPrefix(m.changedLine(), "[")
	switch {
	case m.kind == "double":
		if !m.hasFindingOn(m.line + 2) {
			rt.Fatalf("%q duplicated: no finding on line %d, got %v", m.changedLine(), m.line+2, m.findings.Err())
		}
	case m.kind == "misspell" && isHeader:
		m.checkMisspeltHeader(rt)
	case m.kind == "misspell":
		if !m.hasFindingOn(m.line + 1) {
			rt.Fatalf("%q misspelt: no finding on line %d, got %v", m.changedLine(), m.line+1, m.findings.Err())
		}
	case isHeader:
		if m.findings.Len() == 0 {
			rt.Fatalf("header %q deleted: no finding, want at least one", m.changedLine())
		}
	default:
		m.checkDroppedKey(rt)
	}
}

// checkMisspeltHeader fails if check does not report a misspelt header. Users choose the names of classes, calls and applications, so a
// misspelt name is reported only where the original name is used.
func (m *mutation) checkMisspeltHeader(rt *rapid.T) {
	line := m.changedLine()
	isFree := isFreeName(doc.ReadTOML([]byte(line+"\n"), 1<<10, func(finding.Pos, string, ...any) {}))
	if isFree && strings.Contains(line, "calls.") {
		return // the name of a call is not used elsewhere
	}
	if m.findings.Len() == 0 && !strings.Contains(line, "find-trip") {
		rt.Fatalf("header %q misspelt: no finding, want at least one", line)
	}
	if !isFree && !m.hasFindingOn(m.line+1) {
		rt.Fatalf("header %q misspelt: no finding on line %d, got %v", line, m.line+1, m.findings.Err())
	}
}

// checkDroppedKey fails if check does not report a deleted key. In a derived file, the finding has to be on the header of the key's table. In
// apps.toml, only required keys are reported, on that header or on line 1.
func (m *mutation) checkDroppedKey(rt *rapid.T) {
	isNamed := m.hasFindingOn(m.headerLine())
	if !m.derived {
		isNamed = isNamed || m.hasFindingOn(1) || !isRequiredKey(m.changedLine())
	}
	if !isNamed {
		rt.Fatalf("%q deleted from the table on line %d: not reported, got %v", m.changedLine(), m.headerLine(), m.findings.Err())
	}
}

// isFreeName reports whether the last part of the deepest header in a document is a name that users choose.
func isFreeName(d *doc.Document) bool {
	table, path := d.Root, []string(nil)
	for len(table.Entries) > 0 {
		path = append(path, table.Entries[0].Name)
		table = table.Entries[0].Value.Table
	}
	for _, parent := range []string{"class", "calls", "tenant", "hosts"} {
		if len(path) > 1 && path[len(path)-2] == parent {
			return true
		}
	}
	return false
}

// isRequiredKey reports whether a line sets a required key.
func isRequiredKey(line string) bool {
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

// Checking a file with arbitrary content terminates, and the lines of the findings are in the file.
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
				t.Errorf("finding %q in a text of %d lines: want a line in the text and a message of one line", x, lines)
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
			t.Errorf("file derived for %s has findings: %s\n%s", a.Name, found.Err(), file)
		}
	}
}
