package simadapter

import (
	"bytes"
	"strings"
	"testing"

	"quincegap/internal/balancer"
)

const settingsText = `{"allowed":{"cancel":true,"connectTimeout":100000,"maxRetryAfter":0,"mayProbe":false,"peers":false,` +
	`"retryAfter":true,"secondCopies":false,"sendCap":3},"clientHabits":{"marksRetry":false},"discovery":"push",` +
	`"familyInfo":{"passesDeadline":true},"instances":1,"ordinal":0,"quantum":1000,"overShareWorth":0.1,` +
	`"rules":{"cold":10000000,"coldFrom":0.2,"fall":1000000,"tipMultiple":3},"stage":0,"tenants":[],` +
	`"services":[{"name":"a","aim":1000000,"deadline":2000000,"gain":1,"lateValue":0,"effect":"read_like",` +
	`"keyScope":"all","window":0,"streamed":false}]}`

// batch returns a batch of events at a time in microseconds.
func batch(now string, events ...string) string {
	return "begin_batch " + now + "\n" + strings.Join(append(events, "over_to_you"), "\n") + "\n"
}

// newInstanceLine returns the event that creates an instance.
func newInstanceLine(instance string) string {
	return "new_instance " + instance + " 42 " + settingsText
}

// run serves the input, and returns the replies, the diagnostic messages and the text of the error.
func run(t *testing.T, input string) (out, notes, errText string) {
	t.Helper()
	var outBuffer, noteBuffer bytes.Buffer
	if err := Run(strings.NewReader(input), &outBuffer, &noteBuffer); err != nil {
		errText = err.Error()
	}
	return outBuffer.String(), noteBuffer.String(), errText
}

// checkReplies checks that the input is served without an error and gets the wanted replies.
func checkReplies(t *testing.T, input, want string) {
	t.Helper()
	out, _, errText := run(t, input)
	if errText != "" || out != want {
		t.Errorf("replies: got\n%s(error %q)\nwant\n%s", out, errText, want)
	}
}

// oneEndpoint holds the events that create instance 3 and list endpoint 77 for it.
var oneEndpoint = []string{newInstanceLine("3"), "ledger 0 1", "item 77 0 0 0 2 1.5 -", "targets 3 2 0 41"}

// withEndpoint returns the events of oneEndpoint followed by more events.
func withEndpoint(more ...string) []string {
	return append(append([]string{}, oneEndpoint...), more...)
}

func TestEmptyBatchAndCleanEnd(t *testing.T) {
	checkReplies(t, batch("8412250"), "eor\n")
	checkReplies(t, "", "")
}

func TestRequestIsSentAndServed(t *testing.T) {
	checkReplies(t, batch("1000000", withEndpoint("knock 3 t/a 0 - - 2000000 - 0")...)+
		batch("1020000", "closed_attempt 3 t/a 77 1 20000 100 0 inflight:3,queue:0"),
		"dispatch 3 t/a 77 0\nremind 3 0 4000\neor\neor\n")
}

func TestListNumberIsReusedWithinABatch(t *testing.T) {
	checkReplies(t, batch("1000000", withEndpoint(newInstanceLine("4"), "ledger 0 1", "item 88 0 0 0 2 1 900000", "targets 4 2 0 1",
		"knock 3 t/a 0 - - 2000000 - 0", "knock 4 t/b 0 - - 2000000 - 0")...),
		"dispatch 3 t/a 77 0\nremind 3 0 4000\ndispatch 4 t/b 88 0\nremind 4 0 4000\neor\n")
}

func TestHaltAndRestartInOneBatchForgetsAll(t *testing.T) {
	checkReplies(t, batch("1000000", withEndpoint("knock 3 t/a 0 - - 2000000 - 0", "halt 3", newInstanceLine("3"),
		"targets 3 2 0 41", "lapsed 3 t/a", "knock 3 t/b 0 - - 2000000 - 0")...),
		"dispatch 3 t/a 77 0\nremind 3 0 4000\ndispatch 3 t/b 77 0\nremind 3 0 4000\neor\n")
}

func TestRequestIsRejectedIfTheOnlyEndpointDrains(t *testing.T) {
	checkReplies(t, batch("1000000", withEndpoint("ledger 1 1", "item 77 0 0 0 0 1 -", "targets 3 0 1 42",
		"knock 3 t/a 0 - - 0 - 0")...), "overload_reply 3 t/a 0\neor\n")
}

func TestEveryEventIsRead(t *testing.T) {
	out, notes, errText := run(t, batch("1000000", withEndpoint("knock 3 t/a 0 0 user:1 2000000 500 7", "begun 3 t/a 0 77 10",
		"wake 3 9", "echo 3 77 100 5 util:0.5", "inbox 3 1 aGkgNw==", "inbox 3 1 -", "targets 3 3 0 0", "lapsed 3 t/a")...))
	if errText != "" || notes != "" || !strings.HasSuffix(out, "eor\n") {
		t.Errorf("got replies %q, notes %q, error %q; want replies that end with eor, no notes and no error", out, notes, errText)
	}
}

func TestUnknownEventsAndKeysAreNotedOnce(t *testing.T) {
	known := strings.Replace(newInstanceLine("3"), `"stage":0`, `"stage":0,"novelty":{"x":1}`, 1)
	out, notes, errText := run(t, batch("1000000", known, known, "surprise 1 2", "surprise 3", "wonder"))
	want := "balancer-sim: unknown settings key novelty ignored\n" +
		"balancer-sim: unknown event surprise ignored\nbalancer-sim: unknown event wonder ignored\n"
	if out != "eor\n" || notes != want || errText != "" {
		t.Errorf("got replies %q, notes %q, error %q; want only eor, notes %q and no error", out, notes, errText, want)
	}
}

func TestMalformedInputNamesLineAndField(t *testing.T) {
	badEffect := strings.Replace(newInstanceLine("3"), "read_like", "perhaps", 1)
	for _, test := range []struct{ name, input, want string }{
		{"no batch", "wake 3 7\n", "line 1: wake: field begin_batch"},
		{"no time", "begin_batch\n", "line 1: begin_batch: field ts: missing"},
		{"bad time", "begin_batch soon\n", `field ts: "soon" is not a whole number`},
		{"truncated batch", "begin_batch 1\n", "field over_to_you: missing"},
		{"unknown instance", batch("1", "wake 9 7"), "line 2: wake: field sidecar: instance 9 does not exist"},
		{"missing field", batch("1", withEndpoint("wake 3")...), "line 6: wake: field label: missing"},
		{"missing last", batch("1", withEndpoint("knock 3 t/a 0 - - 5")...), "knock: field workHint: missing"},
		{"bad number", batch("1", withEndpoint("knock 3 t/a 0 - - x - 0")...), `field left: "x" is not a whole number`},
		{"absent required", batch("1", withEndpoint("knock 3 t/a - - - 5 - 0")...), "field type: missing"},
		{"unknown class", batch("1", withEndpoint("knock 3 t/a 7 - - 5 - 0")...), "field type: no such class"},
		{"unknown status", batch("1", withEndpoint("closed_attempt 3 t/a 77 1 5 999 0 -")...), "field ending: unknown status 999"},
		{"bad flag", batch("1", withEndpoint("closed_attempt 3 t/a 77 2 5 100 0 -")...), "field final"},
		{"bad load", batch("1", withEndpoint("closed_attempt 3 t/a 77 1 5 100 0 queue")...), "field pressure"},
		{"truncated list", batch("1", newInstanceLine("3"), "ledger 0 2", "item 1 0 0 0 2 1 -"), "list truncated: got 1 of 2"},
		{"list without items", "begin_batch 1\nledger 0 2\n", "list truncated: got 0 of 2"},
		{"unknown state", batch("1", "ledger 0 1", "item 1 0 0 0 5 1 -"), "field mode: unknown state 5"},
		{"bad weight", batch("1", "ledger 0 1", "item 1 0 0 0 2 much -"), "field units"},
		{"no such list", batch("1", newInstanceLine("3"), "targets 3 1 5 1"), "field buffer: no such list"},
		{"unknown list kind", batch("1", withEndpoint("targets 3 8 0 1")...), "field kind: unknown list kind"},
		{"bad list number", batch("1", "ledger 99 0"), "field buffer: out of range"},
		{"bad base64", batch("1", withEndpoint("inbox 3 1 ***")...), "field data: not valid base64"},
		{"bad endpoint", batch("1", "ledger 0 1", "item 5000000000 0 0 0 2 1 -"), "field endpoint: out of range"},
		{"no settings", batch("1", "new_instance 3 42"), "field config: missing"},
		{"bad settings", batch("1", "new_instance 3 42 {"), "field config: not a settings object"},
		{"no classes", batch("1", `new_instance 3 42 {"discovery":"push","instances":1}`), "classes: none given"},
		{"bad discovery", batch("1", `new_instance 3 42 {"discovery":"guess"}`), "discovery: unknown word"},
		{"bad effect", batch("1", badEffect), `classes[0].effect: unknown effect "perhaps"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			out, _, errText := run(t, test.input)
			if !strings.Contains(errText, test.want) || strings.Contains(errText, "\n") {
				t.Errorf("got error %q, want a one-line error that contains %q (replies %q)", errText, test.want, out)
			}
		})
	}
}

func TestPanicIsReportedForItsInstance(t *testing.T) {
	var out bytes.Buffer
	s := newServer(strings.NewReader(batch("1", withEndpoint()...)), &out, &out)
	if ok, err := s.serveBatch(); !ok || err != nil {
		t.Fatalf("serveBatch: got %v, %v, want true without an error", ok, err)
	}
	s.instances[3].deliver(func(*balancer.Balancer) { panic("lost\ncount") })
	s.instances[3].deliver(func(*balancer.Balancer) { t.Error("the instance got an event after its panic") })
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	if want := "eor\ncrash 3 lost count\n"; out.String() != want {
		t.Errorf("output after a panic: got %q, want %q", out.String(), want)
	}
}
