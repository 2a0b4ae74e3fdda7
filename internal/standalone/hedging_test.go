package standalone

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// copying starts a sidecar with four endpoints in two cells and a route that makes second copies; all has been answered
// often enough for that.
func copying(t *testing.T, allowed bool, more string, serve func(box int, w http.ResponseWriter, r *http.Request)) *rig {
	t.Helper()
	withRoutes(t, "[route.all]\nmatch_path = \"/{rest...}\"\ncopy_after = 0.9\n"+more)
	table := adjustConfig
	adjustConfig = func(c *Config) {
		table(c)
		c.Settings.HedgedRequests = allowed
	}
	var targets []listedEndpoint
	for i := range 4 {
		x := startEndpoint(t, fmt.Sprint("s-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/warm" {
				write(w, "ok")
				return
			}
			serve(i, w, r)
		})
		x.Cell = i / 2
		targets = append(targets, x)
	}
	rg := start(t, 1024, targets...)
	for range 120 {
		if res := rg.reply(rg.at("read", "/warm")); res.status != http.StatusOK {
			t.Fatal(res.status)
		}
	}
	return rg
}

// A request whose endpoint does not answer gets its answer from a second copy at another one, in its cell where it has a
// key, and the first attempt is called off. Unsafe ones get none, nor any where the platform forbids it.
func TestSecondCopies(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		var mu sync.Mutex
		boxes := map[string][]int{}
		var calledOff atomic.Int64
		// A share that outlasts what the answers before took of it: one in ten is slower than the quantile.
		rg := copying(t, allowed, "copy_share = 0.25\n", func(box int, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Txn")
			mu.Lock()
			boxes[id] = append(boxes[id], box)
			first := len(boxes[id]) == 1
			mu.Unlock()
			if first {
				awaitCancel(r)
				calledOff.Add(1)
				return
			}
			write(w, "ok")
		})
		for _, class := range []string{"read", "book"} {
			r := rg.at(class, "/x") // with time enough for a busy machine, where an answer is to come
			if !allowed {
				r.Header.Set("X-Remaining", "600m")
			}
			id := r.Header.Get("X-Txn")
			status := rg.reply(r).status
			mu.Lock()
			at := boxes[id]
			mu.Unlock()
			switch {
			case !allowed && (status == http.StatusOK || len(at) != 1):
				t.Errorf("%s, forbidden: %d, at %v", class, status, at)
			case allowed && (status != http.StatusOK || len(at) != 2 || at[0] == at[1]):
				t.Errorf("%s: %d, at %v", class, status, at)
			case allowed && class == "book" && at[0]/2 != at[1]/2:
				t.Errorf("a keyed copy went to another cell: %v", at)
			}
		}
		r := rg.at("once", "/x")
		r.Header.Set("X-Remaining", "600m")
		id := r.Header.Get("X-Txn")
		status := rg.reply(r).status
		mu.Lock()
		if status != http.StatusBadGateway || len(boxes[id]) != 1 {
			t.Errorf("unsafe: %d, at %v", status, boxes[id])
		}
		mu.Unlock()
		rg.until("all that is not wanted is called off", func() bool { return calledOff.Load() == 3 })
		rg.until("nothing is left", func() (empty bool) {
			rg.inLoop(func() { empty = len(rg.server.loop.requests) == 0 })
			return empty
		})
	}
}

// meeting is a request and its copy, whose endpoints answer when both have come.
type meeting struct {
	mu    sync.Mutex
	came  int
	both  chan bool
	kinds [2]string // how the first and the second end
}

// arrive takes an attempt, and returns how it ends; false where it is given up before the other has come.
func (m *meeting) arrive(r *http.Request) (kind string, ok bool) {
	m.mu.Lock()
	i := m.came
	m.came++
	if m.came == 2 {
		close(m.both)
	}
	m.mu.Unlock()
	select {
	case <-m.both:
		return m.kinds[min(i, 1)], true
	case <-r.Context().Done():
		return "", false
	}
}

// met tells whether both have come.
func (m *meeting) met() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.came >= 2
}

// endAs ends an attempt in a way that is named.
func endAs(kind string, w http.ResponseWriter) {
	switch kind {
	case "answer":
		write(w, "ok")
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
	case "turn away":
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "break":
		closeConnection(w)
	}
}

// meet sends a request of a class whose attempts end so, until it met its copy, and returns its status; false where they
// did not meet.
func (rg *rig) meet(class string, kinds [2]string, all *sync.Map) (status int, met bool) {
	rg.t.Helper()
	// There may be no copy: too few are saved up, or the first was turned elsewhere. Where 8 fail, their endpoints have lost
	// their place, by the failures before.
	for range 8 {
		for range 25 { // so that the slow ones are few, and a copy is saved up
			rg.reply(rg.at("read", "/warm"))
		}
		r := rg.at(class, "/x")
		r.Header.Set("X-Remaining", "400m")
		m := &meeting{both: make(chan bool), kinds: kinds}
		all.Store(r.Header.Get("X-Txn"), m)
		status = rg.reply(r).status
		if m.met() {
			return status, true
		}
	}
	return 0, false
}

// A request and its copy that are answered at the same moment, fail, or are turned away, in any order: one final answer,
// which is an answer if there is one, and promises nothing that is not so.
func TestCopiesThatMeet(t *testing.T) {
	var all sync.Map
	rg := copying(t, true, "copy_share = 0.25\n", func(_ int, w http.ResponseWriter, r *http.Request) {
		drain(r.Body) // until then nobody would see that the caller has gone
		x, _ := all.Load(r.Header.Get("X-Txn"))
		if kind, ok := x.(*meeting).arrive(r); ok {
			endAs(kind, w)
		}
	})
	type pair struct{ class, a, b string }
	kinds := []string{"answer", "fail", "turn away", "break"}
	var pairs []pair
	for _, b := range kinds {
		pairs = append(pairs, pair{"read", "answer", b}) // others may be refused or failed, and both are true
	}
	for i, a := range kinds {
		for _, b := range kinds[i:] { // who of the two comes first is by chance
			pairs = append(pairs, pair{"book", a, b})
		}
	}
	meetings := 0
	for _, p := range pairs {
		status, met := rg.meet(p.class, [2]string{p.a, p.b}, &all)
		if !met {
			continue
		}
		meetings++
		if p.a == "answer" && p.b == "answer" && status != http.StatusOK {
			t.Errorf("%s, %s and %s: %d", p.class, p.a, p.b, status)
		}
		// Some attempt ran, or may have: what has a key must not be refused.
		if ran := p.a != "turn away" || p.b != "turn away"; p.class == "book" && ran && status == http.StatusServiceUnavailable {
			t.Errorf("%s, %s and %s: refused", p.class, p.a, p.b)
		}
	}
	if meetings < 7 {
		t.Errorf("%d of %d pairs met: too few to tell", meetings, len(pairs))
	}
	t.Logf("%d of %d pairs met", meetings, len(pairs))
	rg.until("nothing is left", func() (empty bool) {
		rg.inLoop(func() { empty = len(rg.server.loop.requests) == 0 })
		return empty
	})
}

// When all endpoints are slow at once the share holds copies down.
func TestCopiesAreHeldDown(t *testing.T) {
	var came atomic.Int64
	rg := copying(t, true, "copy_share = 0.1\n", func(_ int, w http.ResponseWriter, _ *http.Request) {
		came.Add(1)
		time.Sleep(20 * time.Millisecond)
		write(w, "ok")
	})
	const asked = 200
	for range asked {
		if status := rg.reply(rg.at("read", "/x")).status; status != http.StatusOK {
			t.Fatal(status)
		}
	}
	// Ten may have been saved up before.
	if n := came.Load(); n <= asked || n > asked+10+asked/10+1 {
		t.Errorf("%d attempts of %d requests", n, asked)
	}
	var copies uint64
	rg.inLoop(func() { copies = rg.server.tuning.Load().routes.Routes[0].State.Hedges })
	if copies == 0 || copies > 10+(120+asked)/10 {
		t.Errorf("%d copies", copies)
	}
}
