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

// Bounds of the bodies of clients' requests, beyond those of the configuration.
const (
	// initialBodyCapacity bounds the bytes that are allocated for a body before it comes.
	initialBodyCapacity = 64 << 10
	// maxDiscardBytes bounds what is still read of the body of a request that was rejected.
	maxDiscardBytes = 1 << 20
	// discardTimeout bounds the time in which it is awaited.
	discardTimeout = time.Second
)

// errBodyCapacity says that the bodies of all requests together have reached Options.MaxBodyBytes.
var errBodyCapacity = errors.New("the bodies of requests under way have reached their bound")

// readBody reads a request's body completely: only then can it go to an endpoint, and to another one after that. The kind says why the
// request is rejected. What is counted for the body is to be given back by releaseBody.
func (p *Proxy) readBody(config *configuration.Config, w http.ResponseWriter, req *http.Request, r *request) outcome.Kind {
	declaredEmpty := req.ContentLength == 0 && len(req.Header[headerContentLength]) > 0
	r.forward.HasBody = req.ContentLength > 0 || len(req.TransferEncoding) > 0 || declaredEmpty
	if req.Body == nil || req.Body == http.NoBody {
		return outcome.None
	}
	if req.ContentLength > config.Limits.BodyMax {
		return outcome.BodyTooLarge
	}
	controller := http.NewResponseController(w)
	p.bodyReads.begin(controller, time.Now().Add(r.deadline-p.Now()))
	defer p.bodyReads.end(controller)
	var body []byte
	if req.ContentLength >= 0 {
		body = make([]byte, 0, min(req.ContentLength+1, initialBodyCapacity))
	}
	body, err := readAll(http.MaxBytesReader(w, req.Body, config.Limits.BodyMax), body, func(n int) bool {
		r.bodyBytes += int64(n)
		return p.bodyBytes.Add(int64(n)) <= p.options.MaxBodyBytes
	})
	if err != nil {
		return p.classifyBodyError(err)
	}
	r.forward.Body = body
	return outcome.None
}

// releaseBody gives back what is counted for a request's body.
func (p *Proxy) releaseBody(r *request) { p.bodyBytes.Add(-r.bodyBytes) }

// classifyBodyError returns how a request ends whose body could not be read.
func (p *Proxy) classifyBodyError(err error) outcome.Kind {
	var tooLarge *http.MaxBytesError
	var netError net.Error
	switch {
	case errors.Is(err, errBodyCapacity):
		return outcome.Overloaded
	case errors.As(err, &tooLarge):
		return outcome.BodyTooLarge
	case errors.As(err, &netError) && netError.Timeout():
		if p.shutdown.rejecting.Load() {
			return outcome.ShuttingDown
		}
		return outcome.BodyTimeout
	}
	return outcome.Malformed
}

// readAll appends what a reader has to a buffer. reserve is called with the number of bytes as they come, and
// returns whether there is room for them; if there is not the error is errBodyCapacity.
func readAll(reader io.Reader, buf []byte, reserve func(n int) bool) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := reader.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 && !reserve(n) {
			return nil, errBodyCapacity
		}
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// discardBody reads what comes of the body of a request that is answered already, within bounds. A connection that is closed with bytes
// unread is reset, and a reset takes an answer away that the client has not read yet.
func discardBody(w http.ResponseWriter, req *http.Request) {
	if req.Header.Get(headerExpect) != "" { // the client waits for a go-ahead before it sends any
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)) // fails on a closed connection alone
	_, _ = io.CopyN(io.Discard, req.Body, maxDiscardBytes)                            // the connection ends if there is more, or it breaks
}

// bodyReads are the requests whose bodies are being read. Once this process is about to end none is waited for any more, so that each
// such request has an answer too. SetReadDeadline fails on a closed connection alone, on which reading fails as well; so its errors are
// not looked at.
type bodyReads struct {
	mu      sync.Mutex
	stopped bool
	open    map[*http.ResponseController]struct{}
}

// begin bounds the reading of a body by a time.
func (b *bodyReads) begin(controller *http.ResponseController, deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		deadline = time.Now()
	}
	if b.open == nil {
		b.open = map[*http.ResponseController]struct{}{}
	}
	b.open[controller] = struct{}{}
	_ = controller.SetReadDeadline(deadline)
}

// end takes the bound back: it would count as the end of the client while its request is served.
func (b *bodyReads) end(controller *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, controller)
	_ = controller.SetReadDeadline(time.Time{})
}

// stop ends the reading of all bodies, now and from now on.
func (b *bodyReads) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for controller := range b.open {
		_ = controller.SetReadDeadline(time.Now())
	}
}
