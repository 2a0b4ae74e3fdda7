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

// responder sends the response to an attempt on the HTTP/1.1 connection or HTTP/3 stream that carried it. The caller holds
// server.mu, so the methods must not block.
type responder interface {
	answer(status int, rejected bool, load, body string)
	garble()          // sends a malformed response
	reset()           // ends the connection or stream without a response
	release(*attempt) // tells the connection or stream that the attempt has ended
}

// attempt is one attempt at a request, as received by a server.
type attempt struct {
	id             uint64 // number of the attempt, unique in the rehearsal; also its job id in the server model
	responder      responder
	incarnation    int           // the server's incarnation when the connection was opened
	request        string        // value of the X-Txn header
	key            string        // value of the Idempotency-Key header
	class          int           // index of the request's class; -1 if unknown
	origin         int           // index of the arrival that caused the request; -1 if unknown
	expires        time.Duration // deadline on the rehearsal's clock
	workAfterCalls time.Duration // work to do after the calls to the next tier
	afterCalls     bool          // whether the calls to the next tier have completed
	work           time.Duration // work that the server has done for the attempt
	muted          bool          // whether the attempt gets no response: its machine is silent, or the attempt was lost
	ended          chan struct{} // closed when the attempt has ended
}

// newAttempt returns the attempt for a request that has been read completely.
func (s *server) newAttempt(responder responder, incarnation int, header http.Header) *attempt {
	request := header.Get("X-Txn")
	attempt := &attempt{
		id:          s.rehearsal.attempts.Add(1),
		responder:   responder,
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

// beginAttempt records an attempt, and offers it to the model unless a fault is injected. It returns false if the connection must be
// closed. The caller holds s.mu.
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

// drawFault reports whether to inject the named fault into an attempt, drawn at random with the fault's configured probability.
func (s *server) drawFault(name string) bool {
	return s.faults[name] > 0 && s.random.Float64() < s.faults[name]
}

// offer submits an attempt to the model, which accepts it, rejects it or collapses. The caller holds s.mu.
func (s *server) offer(attempt *attempt, now time.Duration) {
	before, after := s.rehearsal.plan.WorkOf(attempt.request, s.spec.Tier, s.rehearsal.countAttempt(attempt.request))
	attempt.workAfterCalls = after
	s.advance()
	switch s.model.Offer(now, attempt.id, before, attempt.expires) {
	case emulator.Accepted:
		s.accepted[attempt.id] = attempt
		s.rehearsal.recordExecution(s, attempt.key, s.rehearsal.plan.Classes[attempt.class])
		s.resetTimer()
	case emulator.Rejected:
		s.answer(attempt, audit.Rejected)
	case emulator.Collapsed:
		s.collapse()
	}
}

// callNextTier makes an attempt's calls to the next tier one after another, then resumes the attempt in the model. If a call fails, so
// does the attempt.
func (s *server) callNextTier(attempt *attempt) {
	for i := range s.tier().CallsPerRequest {
		if !s.callOnce(attempt, i) {
			s.failAttempt(attempt)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted[attempt.id] != attempt {
		return // the attempt was canceled, or the server was stopped, during the calls
	}
	s.advance()
	attempt.afterCalls = true
	s.model.Resume(s.rehearsal.now(), attempt.id, attempt.workAfterCalls)
	s.resetTimer()
}

// callOnce makes one of an attempt's calls through the server's sidecar, and reports whether the call was served.
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

// failAttempt fails an attempt because one of its calls was not served.
func (s *server) failAttempt(attempt *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted[attempt.id] != attempt {
		return
	}
	completed := s.model.Release(s.rehearsal.now(), attempt.id)
	s.answer(attempt, audit.Failed)
	s.complete(completed)
	s.resetTimer()
}

// answer ends an attempt and sends its response, if it gets one. The caller holds s.mu.
func (s *server) answer(attempt *attempt, result audit.AttemptResult) {
	if attempt.muted {
		delete(s.accepted, attempt.id)
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

// finish records the end of an attempt, unless it has already ended. The caller holds s.mu.
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
	delete(s.accepted, attempt.id)
	attempt.responder.release(attempt)
}

// cancel ends an attempt that its sidecar has abandoned. The caller holds s.mu.
func (s *server) cancel(attempt *attempt) {
	if s.model == nil || s.accepted[attempt.id] != attempt {
		s.finish(attempt, audit.Canceled)
		return
	}
	s.advance()
	if s.accepted[attempt.id] != attempt { // advancing the model has ended the attempt
		s.resetTimer()
		return
	}
	done := s.model.WorkDone(attempt.id)
	stopped, expired := s.model.Cancel(s.rehearsal.now(), attempt.id)
	if !stopped {
		done = 0 // the server continues the abandoned attempt: count all of its work
		attempt.work += attempt.workAfterCalls
	}
	attempt.work += done
	s.finish(attempt, audit.Canceled)
	s.complete(expired)
	s.resetTimer()
}

// parseRemaining parses the X-Remaining header: a number of milliseconds with the suffix m, or of microseconds with the suffix u. It
// fails if the rest is not a number.
func parseRemaining(text string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		digits, _ = strings.CutSuffix(text, "u")
		unit = time.Microsecond
	}
	amount, err := strconv.ParseFloat(digits, 64)
	return time.Duration(amount * float64(unit)), err
}

// arrivalOf returns the index of the arrival that caused a request, taken from the request's id. It returns -1 if the id was not made
// by a caller or server of the rehearsal.
func arrivalOf(request string) int {
	digits, _, _ := strings.Cut(strings.TrimPrefix(request, "r"), "t")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return -1
	}
	return n
}
