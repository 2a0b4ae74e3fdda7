package gossip

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
	"quincegap/internal/modules/peers"
)

// The log lines that operators and tools match, and the reasons under which a report counts rejections, do not change.
func TestGoldenLogLines(t *testing.T) {
	var log strings.Builder
	noTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	config := Config{
		Settings: *Table.Default(), Name: "front-0", Application: "booking-front", Version: "1.4.2",
		Log: slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{ReplaceAttr: noTime})),
	}
	group := newGroup(config)
	group.logChanges([]peers.Change{
		{At: time.Second, Name: "front-1", Process: 2, To: peers.Serving, Witness: "front-2", Cause: "heard of"},
		{At: time.Second, Name: "front-1", Process: 2, From: peers.Serving, To: peers.Gone, Witness: "front-0", Cause: "not reached"},
	})
	for _, line := range []string{
		"[DEBUG] memberlist: nothing\n",
		"[WARN] memberlist: Got alive message from another\n",
		"[ERR] memberlist: Decrypt packet failed: No installed keys could decrypt the message\n",
		"[WARN] memberlist: refuting a suspect message\n",
	} {
		if n, err := group.libraryLog.Write([]byte(line)); n != len(line) || err != nil {
			t.Errorf("Write(%q) returned %d, %v; want %d and no error", line, n, err, len(line))
		}
	}
	for _, e := range []envelope{{application: "slot-keeper"}, {application: "booking-front"}} {
		_, reason := group.decodeAndCheck(e.encode())
		fmt.Fprintf(&log, "%q\n", reason)
	}
	_, reason := group.decodeAndCheck([]byte("x"))
	fmt.Fprintf(&log, "%q\n", reason)
	_, reason = group.decodeAndCheck([]byte{0x08, 0x02})
	fmt.Fprintf(&log, "%q\n%v\n%s\n", reason, group.rejections.counts, errMalformed)
	golden.Text(t, "log.txt", []byte(log.String()))
}
