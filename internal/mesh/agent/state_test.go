package agent

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/discovery/membership"
)

// The state of a core process has the ages of other members' heartbeats, which grow until they are heard of again.
func TestStateHasAgesOfMembers(t *testing.T) {
	c := qt.New(t)
	core := goldenCore(t, goldenCoreIP)
	other := membership.Member{Incarnation: 2, Address: "10.1.0.9:7401", Zone: "z", Region: "r", Heartbeat: 1}
	const ageInMessage = 100 * time.Millisecond
	core.mu.Lock()
	from := membership.Member{Incarnation: 3, Address: "10.1.0.10:7401", Zone: "z", Region: "r", Heartbeat: 1}
	other.HeartbeatAge = ageInMessage
	core.members.view.Receive(core.now(), &membership.Shuffle{From: from, Members: []membership.Member{other}, Reply: true})
	core.mu.Unlock()
	ages := func() map[string]int64 {
		byAddress := map[string]int64{}
		for _, m := range memberStates(core.snapshot().members) {
			byAddress[m.Address] = m.AgeMs
		}
		return byAddress
	}
	first := ages()
	time.Sleep(20 * time.Millisecond)
	second := ages()
	c.Assert(first[other.Address] >= ageInMessage.Milliseconds(), qt.IsTrue, qt.Commentf("ages %v", first))
	c.Assert(second[other.Address] >= first[other.Address]+20, qt.IsTrue, qt.Commentf("ages %v, 20 ms later %v", first, second))
	c.Assert(second[from.Address] >= 20, qt.IsTrue, qt.Commentf("ages %v", second))
	c.Assert(second[core.address()], qt.Equals, int64(0))
}

// stalledWriter is a response whose client does not read.
type stalledWriter struct {
	*httptest.ResponseRecorder
	stalled chan<- struct{} // receives a value before the first byte is written
	release <-chan struct{}
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	s.stalled <- struct{}{}
	<-s.release
	return s.ResponseRecorder.Write(b)
}

// The readers of the state were not bounded, and each holds a whole answer.
func TestStateReadersAreBounded(t *testing.T) {
	c := qt.New(t)
	handler := goldenCore(t, goldenCoreIP).NewSingletonRoles(&fakeRegister{}, false).Handler()
	get := func(w http.ResponseWriter) {
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, StatePath, nil))
	}
	stalled, release := make(chan struct{}, maxStateReaders), make(chan struct{})
	var readers sync.WaitGroup
	answers := make([]*httptest.ResponseRecorder, maxStateReaders)
	for i := range answers {
		answers[i] = httptest.NewRecorder()
		readers.Go(func() { get(&stalledWriter{answers[i], stalled, release}) })
	}
	for range answers {
		<-stalled
	}
	rejected := httptest.NewRecorder()
	get(rejected)
	c.Assert(rejected.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(rejected.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	close(release)
	readers.Wait()
	for _, answer := range answers {
		c.Assert(answer.Code, qt.Equals, http.StatusOK)
	}
	w := httptest.NewRecorder()
	get(w)
	c.Assert(w.Code, qt.Equals, http.StatusOK)
}
