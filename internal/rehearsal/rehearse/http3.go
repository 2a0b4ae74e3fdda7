package rehearse

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	qh3 "github.com/quic-go/quic-go/http3"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/h3"
)

// serverCertificateName is in the certificates of servers that speak HTTP/3.
const serverCertificateName = "boxes.rehearsal.example.org"

// stream is an attempt that came over HTTP/3. Its handler waits for what is to be said.
type stream struct {
	response chan func(http.ResponseWriter) // holds one
}

func (s *stream) respond(f func(http.ResponseWriter)) {
	select {
	case s.response <- f:
	default: // something has been said
	}
}

func (s *stream) release(*attempt) {}

func (s *stream) answer(status int, turnedAway bool, load, body string) {
	s.respond(func(w http.ResponseWriter) {
		if load != "" {
			w.Header().Set("X-Pressure", load)
		}
		if turnedAway {
			w.Header().Set("X-Turned-Away", "1")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body) // the sidecar may have gone
	})
}

// garble says that more comes than does.
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

// startHTTP3 has the server speak HTTP/3 beside HTTP/1.1, where its tier does.
func (b *server) startHTTP3(life int) error {
	if !b.rehearsal.plan.Tiers[b.spec.Tier].HTTP3 {
		return nil
	}
	b.muted.Store(false)
	e, err := h3.Start(b.rehearsal.serverAddress(b.spec.Slot), b.rehearsal.certificate, h3.Options{Muted: &b.muted}, func(w http.ResponseWriter, r *http.Request) { b.stream(w, r, life) })
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.http3Endpoint = e
	b.mu.Unlock()
	return nil
}

// stopHTTP3 ends it without a word. b.mu is held.
func (b *server) stopHTTP3() {
	for s, k := range b.streams {
		b.finish(k, audit.Dropped)
		s.respond(func(http.ResponseWriter) { panic(http.ErrAbortHandler) })
		delete(b.streams, s)
	}
	if e := b.http3Endpoint; e != nil {
		b.http3Endpoint = nil
		b.muted.Store(true) // no word of its end gets out
		done := make(chan struct{})
		go func() {
			e.Kill()
			close(done)
		}()
		b.previousEnded = done
	}
}

// stream serves one request over HTTP/3.
func (b *server) stream(w http.ResponseWriter, r *http.Request, life int) {
	first := b.rehearsal.now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return
	}
	s := &stream{response: make(chan func(http.ResponseWriter), 1)}
	b.rehearsal.counters.http3.Add(1)
	b.mu.Lock()
	k := b.newAttempt(s, life, r.Header)
	if b.incarnation == life {
		b.streams[s] = k
	}
	b.beginAttempt(k, first)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.streams, s)
		b.mu.Unlock()
	}()
	select {
	case f := <-s.response:
		f(w)
	case <-r.Context().Done():
		b.mu.Lock()
		b.cancel(k)
		b.mu.Unlock()
	}
}

// createCertificate makes the certificate of all servers, and a file with its authority for sidecars; the file's name is returned.
func (w *rehearsal) createCertificate(dir string) (string, error) {
	a, err := authority.New()
	if err != nil {
		return "", err
	}
	if w.certificate, err = a.Pair(serverCertificateName); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "boxes-ca.pem")
	return path, os.WriteFile(path, a.PEM(), 0o600)
}

// usesHTTP3 tells whether a tier does.
func (w *rehearsal) usesHTTP3() bool {
	for _, t := range w.plan.Tiers {
		if t.HTTP3 {
			return true
		}
	}
	return false
}

// http3File is what the product's file of a sidecar says whose servers speak HTTP/3.
const http3File = `[http3-endpoints]
http3_to_endpoints = "prefer"
http3_ca_file = %q
http3_server_name = %q
http3_silence = "2s"

`

// awaitPreviousEnd waits until an earlier incarnation of the server has let go of its UDP socket.
func (b *server) awaitPreviousEnd(ctx context.Context) {
	b.mu.Lock()
	dying := b.previousEnded
	b.mu.Unlock()
	if dying == nil {
		return
	}
	select {
	case <-dying:
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
	}
}
