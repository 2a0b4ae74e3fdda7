package eventlog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/events"
)

// fakeCore starts a server that stands in for a core process with one event, and ends each stream after that event.
func fakeCore(name string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "" {
			_, _ = fmt.Fprintf(w, "{\"cursor\":\"%s-1\",\"kind\":\"duty_came\",\"node\":%q}\n\n", name, name)
		}
	}))
}

// When the log changes to another core process, it has a gap before the events of that process.
func TestChangeOfCoreIsReportedAsGap(t *testing.T) {
	c := qt.New(t)
	first, second := fakeCore("1"), fakeCore("2")
	defer second.Close()
	eventLog, err := OpenLog(newMemoryStore(1000), 100, 1)
	c.Assert(err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() {
		Follow(ctx, eventLog, []string{first.Listener.Addr().String(), second.Listener.Addr().String()}, log)
	})
	defer following.Wait()
	defer cancel()
	var cursor events.Cursor
	var got []string
	for len(got) < 3 {
		found, next, more, err := eventLog.After(cursor, 9, events.Filter{})
		c.Assert(err, qt.IsNil)
		for _, e := range found {
			got = append(got, e.Kind+" "+strings.TrimPrefix(e.Node, "127"))
		}
		cursor = next
		if len(found) == 0 {
			<-more
		}
		if len(got) == 1 {
			first.Close()
		}
	}
	c.Assert(got[0], qt.Equals, "duty_came 1")
	c.Assert(got[1], qt.Matches, "gap .*")
	c.Assert(got[2], qt.Equals, "duty_came 2")
}
