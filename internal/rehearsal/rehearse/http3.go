package rehearse

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	qh3 "github.com/quic-go/quic-go/http3"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/h3"
)

// serverCertificateName is in the certificates of servers that speak HTTP/3.
const serverCertificateName = "boxes.rehearsal.example.org"

// previousEndTimeout is how long a start waits for the UDP socket of an earlier incarnation.
const previousEndTimeout = 2 * time.Second

// stream is the stream of an attempt that came over HTTP/3. Its handler waits for the response.
type stream struct {
	response chan func(http.ResponseWriter) // holds one
}

// respond has the handler respond, unless it has a response already.
func (s *stream) respond(f func(http.ResponseWriter)) {
	select {
	case s.response <- f:
	default:
	}
}

func (s *stream) release(*attempt) {}

func (s *stream) answer(status int, rejected bool, load, body string) {
	s.respond(func(w http.ResponseWriter) {
		if load != "" {
			w.Header().Set("X-Pressure", load)
		}
		if rejected {
			w.Header().Set("X-Turned-Away", "1")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body) // the sidecar may have gone
	})
}

// garble promises a longer body than it writes.
func (s *stream) garble() {
	s.respond(func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "500")
		_, _ = io.WriteString(w, "served")        // the stream is aborted in any case,
		_ = http.NewResponseController(w).Flush() // once this is out
		panic(http.ErrAbortHandler)
	})
}

func (s *stream) reset() {
	s.respond(func(w http.ResponseWriter) { h3.ResetStream(w, qh3.ErrCodeInternalError) })
}

// startHTTP3 serves HTTP/3 beside HTTP/1.1, where the server's tier does.
func (s *server) startHTTP3(incarnation int) error {
	if !s.tier().HTTP3 {
		return nil
	}
	s.muted.Store(false)
	endpoint, err := h3.Start(
		s.rehearsal.serverAddress(s.spec.Slot), s.rehearsal.certificate, h3.Options{Muted: &s.muted},
		func(w http.ResponseWriter, r *http.Request) { s.serveStream(w, r, incarnation) })
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.http3Endpoint = endpoint
	s.mu.Unlock()
	return nil
}

// stopHTTP3 ends the endpoint of HTTP/3 without notifying its peers. s.mu is held.
func (s *server) stopHTTP3() {
	for stream, attempt := range s.streams {
		s.finish(attempt, audit.Dropped)
		stream.respond(func(http.ResponseWriter) { panic(http.ErrAbortHandler) })
		delete(s.streams, stream)
	}
	endpoint := s.http3Endpoint
	if endpoint == nil {
		return
	}
	s.http3Endpoint = nil
	s.muted.Store(true) // no packet of its end gets out
	ended := make(chan struct{})
	go func() {
		endpoint.Kill()
		close(ended)
	}()
	s.previousEnded = ended
}

// awaitPreviousEnd waits until an earlier incarnation of the server has released its UDP socket.
func (s *server) awaitPreviousEnd(ctx context.Context) {
	s.mu.Lock()
	ended := s.previousEnded
	s.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(previousEndTimeout):
	}
}

// serveStream serves one request over HTTP/3.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, incarnation int) {
	firstByteAt := s.rehearsal.now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return
	}
	on := &stream{response: make(chan func(http.ResponseWriter), 1)}
	s.rehearsal.counters.http3.Add(1)
	s.mu.Lock()
	attempt := s.newAttempt(on, incarnation, r.Header)
	if s.incarnation == incarnation {
		s.streams[on] = attempt
	}
	s.beginAttempt(attempt, firstByteAt)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.streams, on)
		s.mu.Unlock()
	}()
	select {
	case respond := <-on.response:
		respond(w)
	case <-r.Context().Done():
		s.mu.Lock()
		s.cancel(attempt)
		s.mu.Unlock()
	}
}

// createCertificate creates the certificate of all servers, writes that of its authority to a file for sidecars, and returns the file's
// path.
func (r *rehearsal) createCertificate(dir string) (string, error) {
	a, err := authority.New()
	if err != nil {
		return "", err
	}
	if r.certificate, err = a.Pair(serverCertificateName); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "boxes-ca.pem")
	return path, os.WriteFile(path, a.PEM(), 0o600)
}

// usesHTTP3 reports whether a tier speaks HTTP/3.
func (r *rehearsal) usesHTTP3() bool {
	return slices.ContainsFunc(r.plan.Tiers, func(t *scenario.Tier) bool { return t.HTTP3 })
}
