package standalone

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startHedging starts a sidecar with four endpoints in two cells and a route that hedges. The sidecar has served enough requests to
// know the quantile of their latencies. The function serve handles all paths except /warm; it gets the index of the endpoint.
func startHedging(t *testing.T, allowed bool, more string, serve func(endpoint int, w http.ResponseWriter, r *http.Request)) *testSidecar {
	t.Helper()
	useRoutes(t, "[route.all]\nmatch_path = \"/{rest...}\"\ncopy_after = 0.9\n"+more)
	setRoutes := adjustConfig
	adjustConfig = func(c *Config) {
		setRoutes(c)
		c.Settings.HedgedRequests = allowed
	}
	var targets []listedEndpoint
	for i := range 4 {
		value := startEndpoint(t, fmt.Sprint("s-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/warm" {
				write(w, "ok")
				return
			}
			serve(i, w, r)
		})
		value.Cell = i / 2
		targets = append(targets, value)
	}
	sidecar := startSidecar(t, 1024, targets...)
	for range 120 {
		if res := sidecar.mustRoundTrip(sidecar.requestTo("read", "/warm")); res.status != http.StatusOK {
			t.Fatalf("request to /warm: got status %d, want 200", res.status)
		}
	}
	return sidecar
}

// A request whose endpoint does not answer is hedged: another endpoint answers it, in the same cell if the request has an idempotency
// key, and the first attempt is cancelled. Requests that are not idempotent are not hedged, nor is any request if the platform forbids
// hedging.
func TestHedgedRequests(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		var mu sync.Mutex
		endpoints := map[string][]int{}
		var cancelled atomic.Int64
		// copy_share is large enough that the earlier requests, of which one in ten is slower than the quantile, do not use up the budget.
		sidecar := startHedging(t, allowed, "copy_share = 0.25\n", func(endpoint int, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Txn")
			mu.Lock()
			endpoints[id] = append(endpoints[id], endpoint)
			first := len(endpoints[id]) == 1
			mu.Unlock()
			if first {
				awaitCancel(r)
				cancelled.Add(1)
				return
			}
			write(w, "ok")
		})
		for _, class := range []string{"read", "book"} {
			r := sidecar.requestTo(class, "/x") // the request has enough time for a busy machine, unless no answer is expected
			if !allowed {
				r.Header.Set("X-Remaining", "600m")
			}
			id := r.Header.Get("X-Txn")
			status := sidecar.mustRoundTrip(r).status
			mu.Lock()
			at := endpoints[id]
			mu.Unlock()
			switch {
			case !allowed && (status == http.StatusOK || len(at) != 1):
				t.Errorf("request of class %s, hedging forbidden: got status %d and attempts at %v, want no 200 and one attempt", class, status, at)
			case allowed && (status != http.StatusOK || len(at) != 2 || at[0] == at[1]):
				t.Errorf("request of class %s: got status %d and attempts at %v, want 200 and two different endpoints", class, status, at)
			case allowed && class == "book" && at[0]/2 != at[1]/2:
				t.Errorf("attempts with an idempotency key went to endpoints %v of different cells", at)
			}
		}
		r := sidecar.requestTo("once", "/x")
		r.Header.Set("X-Remaining", "600m")
		id := r.Header.Get("X-Txn")
		status := sidecar.mustRoundTrip(r).status
		mu.Lock()
		if status != http.StatusBadGateway || len(endpoints[id]) != 1 {
			t.Errorf("request that is not idempotent: got status %d and attempts at %v, want 502 and one attempt", status, endpoints[id])
		}
		mu.Unlock()
		sidecar.waitUntil("the unanswered attempts are cancelled", func() bool { return cancelled.Load() == 3 })
		sidecar.waitUntil("no request is in flight", func() (empty bool) {
			sidecar.onLoop(func() { empty = len(sidecar.server.loop.requests) == 0 })
			return empty
		})
	}
}

// hedgedPair coordinates the two attempts of a hedged request. Their endpoints answer once both attempts have arrived.
type hedgedPair struct {
	mu       sync.Mutex
	arrived  int       // number of attempts that have arrived
	together chan bool // closed when both attempts have arrived
	outcomes [2]string // outcomes of the first and of the second attempt to arrive; see writeOutcome
}

// arrive waits until both attempts have arrived, and returns the outcome for this attempt; ok is false if it was cancelled before.
func (h *hedgedPair) arrive(r *http.Request) (outcome string, ok bool) {
	h.mu.Lock()
	i := h.arrived
	h.arrived++
	if h.arrived == 2 {
		close(h.together)
	}
	h.mu.Unlock()
	select {
	case <-h.together:
		return h.outcomes[min(i, 1)], true
	case <-r.Context().Done():
		return "", false
	}
}

// bothArrived reports whether both attempts have arrived.
func (h *hedgedPair) bothArrived() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arrived >= 2
}

// writeOutcome answers an attempt as its outcome says.
func writeOutcome(outcome string, w http.ResponseWriter) {
	switch outcome {
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

// sendUntilHedged sends requests of a class until one is hedged and both of its attempts arrive. It returns the status of its answer;
// hedged is false if no request was hedged. It stores the pair in pairs under the request's id, where the endpoints look it up.
func (s *testSidecar) sendUntilHedged(class string, outcomes [2]string, pairs *sync.Map) (status int, hedged bool) {
	s.t.Helper()
	// A request is not hedged if the budget is empty or its first attempt was rejected. If 8 in a row are not hedged, the endpoints
	// have been ejected because of earlier failures.
	for range 8 {
		for range 25 { // keeps the share of slow answers low, and earns budget for a hedge
			s.mustRoundTrip(s.requestTo("read", "/warm"))
		}
		r := s.requestTo(class, "/x")
		r.Header.Set("X-Remaining", "400m")
		pair := &hedgedPair{together: make(chan bool), outcomes: outcomes}
		pairs.Store(r.Header.Get("X-Txn"), pair)
		status = s.mustRoundTrip(r).status
		if pair.bothArrived() {
			return status, true
		}
	}
	return 0, false
}

// The two attempts of a hedged request are answered, fail or are rejected at the same moment, in either order. There is one final
// answer, which is an endpoint's response if there is one, and a request that may have run is not rejected.
func TestHedgedAttemptsEndTogether(t *testing.T) {
	var sent sync.Map // *hedgedPair by request id
	sidecar := startHedging(t, true, "copy_share = 0.25\n", func(_ int, w http.ResponseWriter, r *http.Request) {
		drainBody(r.Body) // the server notices a cancellation only after it has read the body
		value, _ := sent.Load(r.Header.Get("X-Txn"))
		if outcome, ok := value.(*hedgedPair).arrive(r); ok {
			writeOutcome(outcome, w)
		}
	})
	type pair struct{ class, a, b string }
	outcomes := []string{"answer", "fail", "turn away", "break"}
	var pairs []pair
	for _, b := range outcomes {
		pairs = append(pairs, pair{"read", "answer", b}) // if neither attempt is answered, both a rejection and a failure are correct
	}
	for i, a := range outcomes {
		for _, b := range outcomes[i:] { // either of the two may arrive first
			pairs = append(pairs, pair{"book", a, b})
		}
	}
	hedged := 0
	for _, test := range pairs {
		status, ok := sidecar.sendUntilHedged(test.class, [2]string{test.a, test.b}, &sent)
		if !ok {
			continue
		}
		hedged++
		if test.a == "answer" && test.b == "answer" && status != http.StatusOK {
			t.Errorf("class %s, outcomes %s and %s: got status %d, want 200", test.class, test.a, test.b, status)
		}
		// If an attempt ran or may have run, a request with a key must not be rejected.
		if ran := test.a != "turn away" || test.b != "turn away"; test.class == "book" && ran && status == http.StatusServiceUnavailable {
			t.Errorf("class %s, outcomes %s and %s: got 503 for a request that may have run", test.class, test.a, test.b)
		}
	}
	if hedged < 7 {
		t.Errorf("%d of %d pairs were hedged, want at least 7", hedged, len(pairs))
	}
	t.Logf("%d of %d pairs were hedged", hedged, len(pairs))
	sidecar.waitUntil("no request is in flight", func() (empty bool) {
		sidecar.onLoop(func() { empty = len(sidecar.server.loop.requests) == 0 })
		return empty
	})
}

// When all endpoints are slow at once, copy_share limits hedged requests.
func TestHedgesAreLimited(t *testing.T) {
	var arrived atomic.Int64
	sidecar := startHedging(t, true, "copy_share = 0.1\n", func(_ int, w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		time.Sleep(20 * time.Millisecond)
		write(w, "ok")
	})
	const requests = 200
	for range requests {
		if status := sidecar.mustRoundTrip(sidecar.requestTo("read", "/x")).status; status != http.StatusOK {
			t.Fatal(status)
		}
	}
	// Up to ten hedges may be covered by budget that was earned before.
	if n := arrived.Load(); n <= requests || n > requests+10+requests/10+1 {
		t.Errorf("%d attempts of %d requests, want more attempts than requests, and at most 11 and a tenth more", n, requests)
	}
	var hedges uint64
	sidecar.onLoop(func() { hedges = sidecar.server.tuning.Load().routes.Routes[0].State.Hedges })
	if hedges == 0 || hedges > 10+(120+requests)/10 {
		t.Errorf("%d hedged requests, want 1 to %d", hedges, 10+(120+requests)/10)
	}
}
