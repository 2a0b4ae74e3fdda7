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

// serverCertificateName is the host name in the certificate of HTTP/3 servers.
const serverCertificateName = "boxes.rehearsal.example.org"

// previousEndTimeout bounds how long a start waits for the previous incarnation to release the UDP socket.
const previousEndTimeout = 2 * time.Second

// stream is the HTTP/3 stream of an attempt. Its handler waits for the response function.
type stream struct {
	response chan func(http.ResponseWriter) // writes the response; buffer size 1
}

// respond makes the handler run f, unless another response is already pending.
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
		_, _ = io.WriteString(w, body) // the sidecar may have closed the stream
	})
}

// garble sends a Content-Length greater than the body, then aborts the stream.
func (s *stream) garble() {
	s.respond(func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "500")
		_, _ = io.WriteString(w, "served")        // errors are ignored: the stream is aborted below,
		_ = http.NewResponseController(w).Flush() // after the partial body was sent
		panic(http.ErrAbortHandler)
	})
}

func (s *stream) reset() {
	s.respond(func(w http.ResponseWriter) { h3.ResetStream(w, qh3.ErrCodeInternalError) })
}

// startHTTP3 starts the HTTP/3 endpoint, if the server's tier uses HTTP/3 in addition to HTTP/1.1.
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

// stopHTTP3 stops the HTTP/3 endpoint without notifying its peers. The caller holds s.mu.
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
	s.muted.Store(true) // suppress the packets that would close the connections
	ended := make(chan struct{})
	go func() {
		endpoint.Kill()
		close(ended)
	}()
	s.previousEnded = ended
}

// awaitPreviousEnd waits until the previous incarnation of the server has released its UDP socket, for at most previousEndTimeout.
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

// serveStream serves one HTTP/3 request, and cancels its attempt if the sidecar cancels the request.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, incarnation int) {
	firstByteAt := s.rehearsal.now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return
	}
	stream := &stream{response: make(chan func(http.ResponseWriter), 1)}
	s.rehearsal.counters.http3.Add(1)
	s.mu.Lock()
	attempt := s.newAttempt(stream, incarnation, r.Header)
	if s.incarnation == incarnation {
		s.streams[stream] = attempt
	}
	s.beginAttempt(attempt, firstByteAt)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.streams, stream)
		s.mu.Unlock()
	}()
	select {
	case respond := <-stream.response:
		respond(w)
	case <-r.Context().Done():
		s.mu.Lock()
		s.cancel(attempt)
		s.mu.Unlock()
	}
}

// createCertificate creates the certificate of all servers, writes the certificate of its authority to a file for the sidecars, and
// returns the path of that file.
func (r *rehearsal) createCertificate(dir string) (string, error) {
	issuer, err := authority.New()
	if err != nil {
		return "", err
	}
	if r.certificate, err = issuer.Pair(serverCertificateName); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "boxes-ca.pem")
	return path, os.WriteFile(path, issuer.PEM(), 0o600)
}

// usesHTTP3 reports whether any tier uses HTTP/3.
func (r *rehearsal) usesHTTP3() bool {
	return slices.ContainsFunc(r.plan.Tiers, func(t *scenario.Tier) bool { return t.HTTP3 })
}
