package eventlog

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/events"
)

// memoryStore is a store in memory that a test can have fail after so many writes.
type memoryStore struct {
	records map[string][]byte
	left    int
}

func (m *memoryStore) Get(key string) ([]byte, error) {
	if data, ok := m.records[key]; ok {
		return data, nil
	}
	return nil, trace.NotFound("record %q", key)
}

func (m *memoryStore) Put(key string, data []byte) error {
	if m.left--; m.left < 0 {
		return trace.LimitExceeded("disk full")
	}
	m.records[key] = data
	return nil
}

// The disk fails, or the eventlog dies, at any write: opened again it has every event that it said it had, once and in order.
func TestEventsOutliveAnyWrite(t *testing.T) {
	c := qt.New(t)
	for crash := range 24 {
		s := &memoryStore{records: map[string][]byte{}, left: crash}
		kept := 0
		for round := range 2 {
			l, err := OpenLog(s, 8, 1)
			c.Assert(err, qt.IsNil)
			for i := kept; i < 10; i++ {
				if l.Add(events.Event{Kind: events.QuotaExhausted, Detail: fmt.Sprint(i)}, "core", fmt.Sprint(i)) != nil {
					break
				}
				kept++
			}
			c.Assert(round == 0 || kept == 10, qt.IsTrue)
			s.left = 1000
		}
		l, err := OpenLog(s, 8, 1)
		c.Assert(err, qt.IsNil)
		from, cursor := l.Followed()
		c.Assert([]string{from, cursor}, qt.DeepEquals, []string{"core", "9"})
		out, next, _, err := l.After(events.Cursor{Incarnation: 1, Number: 1}, 99, events.Filter{})
		c.Assert(err, qt.IsNil)
		c.Assert(out[0].Detail, qt.Equals, "1 events are no longer kept")
		for i, e := range out[1:] {
			c.Assert(e.Detail, qt.Equals, fmt.Sprint(i+2))
		}
		c.Assert(next.Number, qt.Equals, uint64(10))
	}
}

func TestChangeOfCoreIsReportedAsGap(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serve := func(name string) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Query().Get("after") == "" {
				fmt.Fprintf(w, "{\"cursor\":\"%s-1\",\"kind\":\"duty_came\",\"node\":%q}\n\n", name, name)
			}
		}))
	}
	one, two := serve("1"), serve("2")
	defer two.Close()
	l, err := OpenLog(&memoryStore{records: map[string][]byte{}, left: 1000}, 100, 1)
	c.Assert(err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(new(strings.Builder))
	go Follow(ctx, l, []string{one.Listener.Addr().String(), two.Listener.Addr().String()}, log)
	cursor := events.Cursor{}
	var got []string
	for len(got) < 3 {
		out, next, news, err := l.After(cursor, 9, events.Filter{})
		c.Assert(err, qt.IsNil)
		for _, e := range out {
			got = append(got, e.Kind+" "+strings.TrimPrefix(e.Node, "127"))
		}
		if cursor = next; len(out) == 0 {
			<-news
		}
		if len(got) == 1 {
			one.Close()
		}
	}
	c.Assert(got[0], qt.Equals, "duty_came 1")
	c.Assert(got[1], qt.Matches, "gap .*")
	c.Assert(got[2], qt.Equals, "duty_came 2")
}
