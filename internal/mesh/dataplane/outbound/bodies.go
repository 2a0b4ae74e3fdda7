package outbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/outcome"
)

// Bounds of the bodies of clients' requests beyond those of the configuration.
const (
	initialBodyCapacity = 64 << 10    // bytes that are made room for before they come
	maxDiscardBytes     = 1 << 20     // bytes of the body of a request that was turned away that are still read
	discardTimeout      = time.Second // in which they are awaited
)

// readBody reads a request's body whole: only then can it go to an endpoint, and to another one after that.
func (p *Proxy) readBody(conf *configuration.Config, w http.ResponseWriter, q *http.Request, r *request) outcome.Kind {
	forwardRequest := &r.forward
	forwardRequest.HasBody = q.ContentLength > 0 || len(q.TransferEncoding) > 0 || q.ContentLength == 0 && len(q.Header["Content-Length"]) > 0
	if q.Body == nil || q.Body == http.NoBody {
		return 0
	}
	if q.ContentLength > conf.Limits.BodyMax {
		return outcome.BodyTooLarge
	}
	controller := http.NewResponseController(w)
	p.bodyReads.begin(controller, time.Now().Add(r.deadline-p.Now()))
	defer p.bodyReads.end(controller)
	if q.ContentLength >= 0 {
		forwardRequest.Body = make([]byte, 0, min(q.ContentLength+1, initialBodyCapacity))
	}
	body, err := readAll(http.MaxBytesReader(w, q.Body, conf.Limits.BodyMax), forwardRequest.Body, func(n int) bool {
		r.bodyBytes += int64(n)
		return p.bodyBytes.Add(int64(n)) <= p.options.MaxBodyBytes
	})
	var large *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyCapacity):
		return outcome.Overloaded
	case errors.As(err, &large):
		return outcome.BodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout() && p.shuttingDown.Load():
		return outcome.ShuttingDown
	case errors.As(err, &timeout) && timeout.Timeout():
		return outcome.BodyTimeout
	case err != nil:
		return outcome.Malformed
	}
	forwardRequest.Body = body
	return 0
}

var errBodyCapacity = errors.New("no room for the body")

// readAll reads a body; room is told of the bytes as they come, and says whether there is room for them.
func readAll(r io.Reader, b []byte, room func(n int) bool) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if n > 0 && !room(n) {
			return nil, errBodyCapacity
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// discardBody reads what comes of the body of a request that is answered already, within bounds. A connection that is closed with bytes
// unread is reset, and a reset takes an answer away that the client has not read yet.
func discardBody(w http.ResponseWriter, q *http.Request) {
	if q.Header.Get("Expect") != "" { // the client awaits a word before it sends any
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, q.Body, maxDiscardBytes) // the connection ends if there is more, or it breaks
}

// bodyReads are the requests whose bodies are still being read. Once this process is about to end none is waited for any more, so that
// each such request has an answer too.
type bodyReads struct {
	mu      sync.Mutex
	stopped bool
	open    map[*http.ResponseController]struct{}
}

// begin bounds the reading of a body by a time.
func (b *bodyReads) begin(c *http.ResponseController, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		until = time.Now()
	}
	if b.open == nil {
		b.open = map[*http.ResponseController]struct{}{}
	}
	b.open[c] = struct{}{}
	_ = c.SetReadDeadline(until)
}

// writeAnswer takes the bound back: it would count as the end of the client while its request is served.
func (b *bodyReads) end(c *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, c)
	_ = c.SetReadDeadline(time.Time{})
}

// stop ends the reading of all bodies, now and from now on.
func (b *bodyReads) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for c := range b.open {
		_ = c.SetReadDeadline(time.Now())
	}
}
