package rehearse

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
)

// responder is what an attempt came on: a connection of HTTP/1.1, or a stream of HTTP/3. Its methods are called with
// server.mu held, and do not wait.
type responder interface {
	answer(status int, rejected bool, load, body string)
	garble()          // sends an answer that cannot be used
	reset()           // ends without an answer
	release(*attempt) // the attempt has ended
}

// attempt is an attempt that a server has received.
type attempt struct {
	id             uint64 // numbers attempts, and is the job's id in the model
	responder      responder
	incarnation    int    // of the server when its connection began
	request        string // X-Txn
	key            string // Idempotency-Key
	class          int    // -1 if unknown
	origin         int    // the arrival, -1 if unknown
	expires        time.Duration
	workAfterCalls time.Duration // work that comes after the calls to the next tier
	afterCalls     bool          // it does that work
	work           time.Duration // that the server has done for it
	muted          bool          // it gets no answer: its machine is silent, or loses it
	ended          chan struct{} // closed when it has ended
}

// newAttempt returns an attempt whose request has been read to its end.
func (s *server) newAttempt(on responder, incarnation int, header http.Header) *attempt {
	request := header.Get("X-Txn")
	attempt := &attempt{
		id:          s.rehearsal.attempts.Add(1),
		responder:   on,
		incarnation: incarnation,
		request:     request,
		key:         header.Get("Idempotency-Key"),
		origin:      arrivalOf(request),
		ended:       make(chan struct{}),
	}
	attempt.class, _ = s.rehearsal.class(header.Get("X-Lane"))
	if left, err := parseRemaining(header.Get("X-Remaining")); err == nil {
		attempt.expires = s.rehearsal.now() + left
	}
	return attempt
}

// beginAttempt records an attempt, and offers it to the model unless a fault happens to it. It returns false if the connection is to
// end. s.mu is held.
func (s *server) beginAttempt(attempt *attempt, firstByteAt time.Duration) bool {
	now := s.rehearsal.now()
	s.rehearsal.counters.attempts.Add(1)
	s.rehearsal.record(audit.Event{
		At: now, FirstByteAt: firstByteAt, Kind: audit.AttemptReceived, Request: attempt.request, AttemptID: attempt.id,
		Server: s.index, Sidecar: -1, Origin: attempt.origin,
	})
	switch {
	case s.silent || attempt.incarnation != s.incarnation || s.model == nil:
		attempt.muted = true
		return true
	case attempt.class < 0:
		s.answer(attempt, audit.Failed)
		return true
	case s.drawFault("lose"):
		attempt.muted = true
		return true
	case s.drawFault("reset"):
		s.finish(attempt, audit.Dropped)
		attempt.responder.reset()
		return false
	case s.drawFault("refuse"):
		s.answer(attempt, audit.Rejected)
		return true
	case s.drawFault("fail"):
		s.answer(attempt, audit.Failed)
		return true
	}
	s.offer(attempt, now)
	return true
}

// drawFault reports whether a fault happens to an attempt.
func (s *server) drawFault(name string) bool {
	return s.faults[name] > 0 && s.random.Float64() < s.faults[name]
}

// offer offers an attempt to the model. s.mu is held.
func (s *server) offer(attempt *attempt, now time.Duration) {
	before, after := s.rehearsal.plan.WorkOf(attempt.request, s.spec.Tier, s.rehearsal.countAttempt(attempt.request))
	attempt.workAfterCalls = after
	s.advance()
	switch s.model.Offer(now, attempt.id, before, attempt.expires) {
	case emulator.Accepted:
		s.calls[attempt.id] = attempt
		s.rehearsal.recordExecution(s, attempt.key, s.rehearsal.plan.Classes[attempt.class])
		s.resetTimer()
	case emulator.Rejected:
		s.answer(attempt, audit.Rejected)
	case emulator.Collapsed:
		s.collapse()
	}
}

// callNextTier makes an attempt's calls to the next tier, one after another, and then resumes its work.
func (s *server) callNextTier(attempt *attempt) {
	for i := range s.tier().CallsPerRequest {
		if !s.callOnce(attempt, i) {
			s.failAttempt(attempt)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[attempt.id] != attempt {
		return // canceled meanwhile, or the server has ended
	}
	s.advance()
	attempt.afterCalls = true
	s.model.Resume(s.rehearsal.now(), attempt.id, attempt.workAfterCalls)
	s.resetTimer()
}

// callOnce makes one of an attempt's calls through the server's own sidecar, and reports whether it was served.
func (s *server) callOnce(attempt *attempt, number int) bool {
	call := callerRequest{
		request:  fmt.Sprintf("%s.%d-%d", attempt.request, attempt.id, number),
		class:    attempt.class,
		timeLeft: attempt.expires - s.rehearsal.now(),
		origin:   attempt.origin,
	}
	if attempt.key != "" {
		call.key = fmt.Sprintf("%s.%d", attempt.key, number)
	}
	return call.timeLeft > 0 && s.rehearsal.callThrough(s.index, call, attempt.ended)
}

// failAttempt answers an attempt one of whose calls was not served.
func (s *server) failAttempt(attempt *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[attempt.id] != attempt {
		return
	}
	more := s.model.Release(s.rehearsal.now(), attempt.id)
	s.answer(attempt, audit.Failed)
	s.complete(more)
	s.resetTimer()
}

// answer ends an attempt with an answer. s.mu is held.
func (s *server) answer(attempt *attempt, result audit.AttemptResult) {
	if attempt.muted {
		delete(s.calls, attempt.id)
		return
	}
	if result == audit.Served && s.random.Float64() < s.faults["garble"] {
		result = audit.Garbled
	}
	s.finish(attempt, result)
	switch result {
	case audit.Failed:
		attempt.responder.answer(http.StatusInternalServerError, false, s.loadReport(), "failed\n")
	case audit.Rejected:
		attempt.responder.answer(http.StatusServiceUnavailable, true, s.loadReport(), "no room\n")
	case audit.Garbled:
		attempt.responder.garble()
	default:
		attempt.responder.answer(http.StatusOK, false, s.loadReport(), fmt.Sprintf("served %s by %s\n", attempt.request, s.spec.UID))
	}
}

// finish records the end of an attempt, unless it has ended already. s.mu is held.
func (s *server) finish(attempt *attempt, result audit.AttemptResult) {
	select {
	case <-attempt.ended:
		return
	default:
	}
	close(attempt.ended)
	s.rehearsal.record(audit.Event{
		At: s.rehearsal.now(), Kind: audit.AttemptEnded, Request: attempt.request, AttemptID: attempt.id, Result: result, Work: attempt.work,
		Server: s.index, Sidecar: -1, Origin: attempt.origin,
	})
	delete(s.calls, attempt.id)
	attempt.responder.release(attempt)
}

// cancel ends an attempt that its sidecar has given up. s.mu is held.
func (s *server) cancel(attempt *attempt) {
	if s.model == nil || s.calls[attempt.id] != attempt {
		s.finish(attempt, audit.Canceled)
		return
	}
	s.advance()
	if s.calls[attempt.id] != attempt { // it has ended just now
		s.resetTimer()
		return
	}
	done := s.model.WorkDone(attempt.id)
	stopped, expired := s.model.Cancel(s.rehearsal.now(), attempt.id)
	if !stopped {
		done = 0 // the server goes on for nobody: all of the work will be done
		attempt.work += attempt.workAfterCalls
	}
	attempt.work += done
	s.finish(attempt, audit.Canceled)
	s.complete(expired)
	s.resetTimer()
}

// parseRemaining parses X-Remaining: milliseconds with m behind them, or microseconds with u.
func parseRemaining(text string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		digits, _ = strings.CutSuffix(text, "u")
		unit = time.Microsecond
	}
	f, err := strconv.ParseFloat(digits, 64)
	return time.Duration(f * float64(unit)), err
}

// arrivalOf returns the arrival from the id of a request that one of the callers or servers has made; -1 if it is another's.
func arrivalOf(request string) int {
	digits, _, _ := strings.Cut(strings.TrimPrefix(request, "r"), "t")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return -1
	}
	return n
}
