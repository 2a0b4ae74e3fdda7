package doctest

import (
	"fmt"
	"go/ast"
	"go/token"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// runbook is the path of the page that explains each warning and error.
const runbook = "docs/operate/runbook.md"

// faultMethods lists the logger methods that log a warning or an error.
var faultMethods = []string{
	"Warn", "Warnf", "Warnln", "Warning", "Warningf", "Error", "Errorf", "Errorln", "Fatal", "Fatalf", "Fatalln", "Panic", "Panicf", "Panicln",
}

// notLoggers lists packages that are not loggers, but have functions with the names of logger methods.
var notLoggers = []string{"http", "fmt", "errors", "trace", "math"}

// standaloneMethods maps each method that writes to the log of the standalone sidecar to the index of its message argument. That log has
// only one level, so each of its lines has to be in the runbook.
var standaloneMethods = map[string]int{"Print": 0, "Printf": 0, "Println": 0, "Log": 0, "logf": 0, "log": 0, "logOnce": 1}

// leveledFolders lists the folders whose code logs with levels, and standaloneFolders those whose code logs without levels.
var (
	leveledFolders    = []string{"internal/mesh", "cmd"}
	standaloneFolders = []string{
		"internal/standalone", "internal/network", "internal/product", "internal/files", "internal/modules/endpointsource", "internal/balancer",
	}
)

// logLine is a call that writes a log line.
type logLine struct {
	position string // source position of the call, as path:line
	message  string // leading constant part of the message, with formatting verbs; may be empty
}

// logLines returns the calls in the file at path that log a warning or an error. If standalone is true, it also returns the calls of
// standaloneMethods.
func logLines(t *testing.T, path string, standalone bool) []logLine {
	t.Helper()
	set := token.NewFileSet()
	file := parseInto(t, set, path)
	var found []logLine
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if text := loggedText(call, standalone); text != nil {
			found = append(found, logLine{fmt.Sprintf("%s:%d", path, set.Position(call.Pos()).Line), constantText(text)})
		}
		return true
	})
	return found
}

// loggedText returns the message argument of a call that logs a warning or an error. If standalone is true, it does so also for a call of
// standaloneMethods. It returns nil for any other call.
func loggedText(call *ast.CallExpr, standalone bool) ast.Expr {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	if pkg, ok := method.X.(*ast.Ident); ok && slices.Contains(notLoggers, pkg.Name) {
		return nil
	}
	index := 0
	if !slices.Contains(faultMethods, method.Sel.Name) {
		if index, ok = standaloneMethods[method.Sel.Name]; !ok || !standalone {
			return nil
		}
	}
	if len(call.Args) <= index {
		return nil
	}
	return call.Args[index]
}

// constantText returns the string literal with which expression x begins, or the format literal if x is a call of Sprintf. It returns "" if
// there is none.
func constantText(x ast.Expr) string {
	switch e := x.(type) {
	case *ast.BasicLit:
		if text, err := strconv.Unquote(e.Value); err == nil {
			return text
		}
	case *ast.BinaryExpr:
		return constantText(e.X)
	case *ast.ParenExpr:
		return constantText(e.X)
	case *ast.CallExpr:
		if f, ok := e.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "Sprintf" && len(e.Args) > 0 {
			return constantText(e.Args[0])
		}
	}
	return ""
}

// allLogLines returns the log lines of all programs: warnings and errors of leveledFolders, and every line of standaloneFolders.
func allLogLines(t *testing.T) (found []logLine) {
	t.Helper()
	for _, path := range sourceFiles(t, leveledFolders...) {
		found = append(found, logLines(t, path, false)...)
	}
	for _, path := range sourceFiles(t, standaloneFolders...) {
		found = append(found, logLines(t, path, true)...)
	}
	return found
}

// normalized returns text without backslashes and double quotes, and with each run of white space as one space, so that messages on the
// page can be compared with messages in the code.
func normalized(text string) string {
	text = strings.NewReplacer(`\`, "", `"`, "").Replace(text)
	return strings.Join(strings.Fields(text), " ")
}

// messageOnPage matches a message in a heading or in the first cell of a table row.
var messageOnPage = regexp.MustCompile("^(?:###|\\|) `([^`]+)`")

// runbookMessages returns the set of messages that the runbook explains, normalized.
func runbookMessages(t *testing.T) map[string]bool {
	t.Helper()
	messages := map[string]bool{}
	for line := range strings.Lines(readFile(t, runbook)) {
		if found := messageOnPage.FindStringSubmatch(line); found != nil {
			messages[normalized(found[1])] = true
		}
	}
	return messages
}

// Each warning and error that the programs log is in the runbook, word for word, with its formatting verbs.
func TestRunbookHasEachFault(t *testing.T) {
	onPage := runbookMessages(t)
	seen := 0
	for _, line := range allLogLines(t) {
		message := normalized(line.message)
		if message == "" {
			continue // TestFaultsHaveAMessage reports these
		}
		seen++
		if !onPage[message] {
			t.Errorf("%s logs %q, but %s does not explain this message", line.position, line.message, runbook)
		}
	}
	if seen < 50 {
		t.Errorf("found %d log lines with a constant message, want at least 50", seen)
	}
}

// Each warning and error of the mesh has a constant message, so that operators find it in the runbook. Variable data is in its fields.
func TestFaultsHaveAMessage(t *testing.T) {
	for _, path := range sourceFiles(t, leveledFolders...) {
		for _, line := range logLines(t, path, false) {
			if normalized(line.message) == "" {
				t.Errorf("%s logs a warning or error without a constant message", line.position)
			}
		}
	}
}

// The runbook has only messages that a program logs: operators read it under pressure, and obsolete entries would cost them time.
func TestRunbookHasNoOtherFault(t *testing.T) {
	logged := map[string]bool{}
	for _, line := range allLogLines(t) {
		logged[normalized(line.message)] = true
	}
	for message := range runbookMessages(t) {
		if !logged[message] && !slices.Contains(messageParts, message) {
			t.Errorf("%s explains message %q, which no program logs", runbook, message)
		}
	}
}

// messageParts lists entries of runbook tables that explain part of a message, such as its cause, rather than a whole message.
var messageParts = []string{
	"settings file PATH: FIELD: wanted ...", "listen on ADDRESS", "folder PATH", "BALANCER_CONFIG", "speaks version", "a frame of",
	"a call of over", "over N calls at once",
}
