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

// runbook is the page that has each warning and error.
const runbook = "docs/operate/runbook.md"

// faultMethods are a logger's methods for what an operator has to know of.
var faultMethods = []string{
	"Warn", "Warnf", "Warnln", "Warning", "Warningf", "Error", "Errorf", "Errorln", "Fatal", "Fatalf", "Fatalln", "Panic", "Panicf", "Panicln",
}

// notLoggers are packages whose functions have the names of a logger's methods.
var notLoggers = []string{"http", "fmt", "errors", "trace", "math"}

// The log of the standalone sidecar has one level: each of its lines counts. plainMethods are what it is written with, and which argument is
// the text.
var plainMethods = map[string]int{"Print": 0, "Printf": 0, "Println": 0, "Log": 0, "logf": 0, "log": 0, "logOnce": 1}

// Where programs log, by the way in which they do.
var (
	levelFolders = []string{"internal/mesh", "cmd"}
	plainFolders = []string{
		"internal/standalone", "internal/network", "internal/product", "internal/files", "internal/modules/endpointsource", "internal/balancer",
	}
)

// logLine is a call that logs something.
type logLine struct {
	place   string // path and line
	message string // its constant text, up to the first part that is none; empty if it has none
}

// logLines returns the calls in a file that log a fault, and with plain those that print any line to the log.
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
	if of, ok := method.X.(*ast.Ident); ok && slices.Contains(notLoggers, of.Name) {
		return nil
	}
	at := 0
	if !slices.Contains(faultMethods, method.Sel.Name) {
		if at, ok = plainMethods[method.Sel.Name]; !ok || !plain {
			return nil
		}
	}
	if len(call.Args) <= at {
		return nil
	}
	return call.Args[at]
}

// constantText returns the literal that an expression begins with, or the format that it is made by.
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

// allLogLines returns those of all programs.
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

// wordsOf returns a text of the page or of a message in a form in which both compare: without escapes, quotes and breaks.
func wordsOf(text string) string {
	text = strings.NewReplacer(`\`, "", `"`, "").Replace(text)
	return strings.Join(strings.Fields(text), " ")
}

// messageOnPage is a message in a heading, or in the first cell of a row.
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

// Each warning and error that the programs log stands in the runbook, word for word, with its verbs.
func TestRunbookHasEachFault(t *testing.T) {
	onPage := runbookMessages(t)
	seen := 0
	for _, line := range allLogLines(t) {
		message := wordsOf(line.message)
		if message == "" {
			continue // TestFaultsHaveAMessage
		}
		seen++
		if !onPage[message] {
			t.Errorf("%s logs %q, which is not in %s", line.place, line.message, runbook)
		}
	}
	if seen < 50 {
		t.Errorf("only %d log lines were looked at", seen)
	}
}

// A warning or error of the mesh has a constant message, by which it is found in the runbook; what changes is in its fields.
func TestFaultsHaveAMessage(t *testing.T) {
	for _, path := range sources(t, levelFolders...) {
		for _, line := range logLines(t, path, false) {
			if wordsOf(line.message) == "" {
				t.Errorf("%s logs a text that is not constant", line.place)
			}
		}
	}
}

// A message that no program logs any more goes from the runbook: the page is read when there is no time. The first cells of other tables
// are excepted by their sections.
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

// reasons are first cells of the page's tables that are parts of a message, not a message.
var reasons = []string{
	"settings file PATH: FIELD: wanted ...", "listen on ADDRESS", "folder PATH", "BALANCER_CONFIG", "speaks version", "a frame of",
	"a call of over", "over N calls at once",
}
