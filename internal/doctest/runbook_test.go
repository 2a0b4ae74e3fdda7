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

// runbook is the page that explains each warning and error.
const runbook = "docs/operate/runbook.md"

// faultMethods are the methods of a logger for warnings and errors.
var faultMethods = []string{
	"Warn", "Warnf", "Warnln", "Warning", "Warningf", "Error", "Errorf", "Errorln", "Fatal", "Fatalf", "Fatalln", "Panic", "Panicf", "Panicln",
}

// notLoggers are packages with functions that have the names of a logger's methods.
var notLoggers = []string{"http", "fmt", "errors", "trace", "math"}

// plainMethods are the methods that write the log of the standalone sidecar, with the index of the argument that is the text. That log has
// one level: each line has to be in the runbook.
var plainMethods = map[string]int{"Print": 0, "Printf": 0, "Println": 0, "Log": 0, "logf": 0, "log": 0, "logOnce": 1}

// The folders whose code logs with levels, and those whose code logs without.
var (
	levelFolders = []string{"internal/mesh", "cmd"}
	plainFolders = []string{
		"internal/standalone", "internal/network", "internal/product", "internal/files", "internal/modules/endpointsource", "internal/balancer",
	}
)

// logLine is a call that logs.
type logLine struct {
	position string // path and line
	message  string // the constant text up to the first part that is not constant; may be empty
}

// logLines returns the calls in a file that log a warning or an error; with plain also those of plainMethods.
func logLines(t *testing.T, path string, plain bool) []logLine {
	t.Helper()
	set := token.NewFileSet()
	file := parseInto(t, set, path)
	var found []logLine
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if text := loggedText(call, plain); text != nil {
			found = append(found, logLine{fmt.Sprintf("%s:%d", path, set.Position(call.Pos()).Line), constantText(text)})
		}
		return true
	})
	return found
}

// loggedText returns the argument that a call logs; nil for a call that logs nothing.
func loggedText(call *ast.CallExpr, plain bool) ast.Expr {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	if pkg, ok := method.X.(*ast.Ident); ok && slices.Contains(notLoggers, pkg.Name) {
		return nil
	}
	index := 0
	if !slices.Contains(faultMethods, method.Sel.Name) {
		if index, ok = plainMethods[method.Sel.Name]; !ok || !plain {
			return nil
		}
	}
	if len(call.Args) <= index {
		return nil
	}
	return call.Args[index]
}

// constantText returns the literal with which an expression begins, or the format of an expression that is formatted.
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

// allLogLines returns the log lines of all programs.
func allLogLines(t *testing.T) (found []logLine) {
	t.Helper()
	for _, path := range sources(t, levelFolders...) {
		found = append(found, logLines(t, path, false)...)
	}
	for _, path := range sources(t, plainFolders...) {
		found = append(found, logLines(t, path, true)...)
	}
	return found
}

// wordsOf returns a text of the page or of a message without escapes, quotes and line breaks, so that both can be compared.
func wordsOf(text string) string {
	text = strings.NewReplacer(`\`, "", `"`, "").Replace(text)
	return strings.Join(strings.Fields(text), " ")
}

// messageOnPage matches a message in a heading or in the first cell of a row.
var messageOnPage = regexp.MustCompile("^(?:###|\\|) `([^`]+)`")

// runbookMessages returns the messages that the page explains.
func runbookMessages(t *testing.T) map[string]bool {
	t.Helper()
	messages := map[string]bool{}
	for line := range strings.Lines(read(t, runbook)) {
		if found := messageOnPage.FindStringSubmatch(line); found != nil {
			messages[wordsOf(found[1])] = true
		}
	}
	return messages
}

// Each warning and error that the programs log is in the runbook, word for word, with its formatting verbs.
func TestRunbookHasEachFault(t *testing.T) {
	onPage := runbookMessages(t)
	seen := 0
	for _, line := range allLogLines(t) {
		message := wordsOf(line.message)
		if message == "" {
			continue // see TestFaultsHaveAMessage
		}
		seen++
		if !onPage[message] {
			t.Errorf("%s logs %q, which is not in %s", line.position, line.message, runbook)
		}
	}
	if seen < 50 {
		t.Errorf("only %d log lines were looked at", seen)
	}
}

// A warning or error of the mesh has a constant message, so that operators find it in the runbook. What varies is in its fields.
func TestFaultsHaveAMessage(t *testing.T) {
	for _, path := range sources(t, levelFolders...) {
		for _, line := range logLines(t, path, false) {
			if wordsOf(line.message) == "" {
				t.Errorf("%s logs a text that is not constant", line.position)
			}
		}
	}
}

// The runbook, which is read under pressure, has no message that no program logs.
func TestRunbookHasNoOtherFault(t *testing.T) {
	logged := map[string]bool{}
	for _, line := range allLogLines(t) {
		logged[wordsOf(line.message)] = true
	}
	for message := range runbookMessages(t) {
		if !logged[message] && !slices.Contains(reasons, message) {
			t.Errorf("%s has %q, which nothing logs", runbook, message)
		}
	}
}

// reasons are the first cells of those tables of the page that explain parts of a message.
var reasons = []string{
	"settings file PATH: FIELD: wanted ...", "listen on ADDRESS", "folder PATH", "BALANCER_CONFIG", "speaks version", "a frame of",
	"a call of over", "over N calls at once",
}
