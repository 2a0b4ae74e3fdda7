package controlplane

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/membudget"
)

// spaces is a reader of a number of spaces, which are not held in memory.
func spaces(n int64) io.Reader { return io.LimitReader(spaceReader{}, n) }

type spaceReader struct{}

func (spaceReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = ' '
	}
	return len(b), nil
}

// postBody posts a body of a given length, or of one that is not announced if length is negative.
func postBody(ctx context.Context, handler http.Handler, body io.Reader, length int64) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/configuration/replace", body)
	request.ContentLength = length
	request.Header.Set(baseVersionHeader, "0")
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

// Bodies that are refused as too large were held in memory first, and a few of them at once exceeded the memory of a machine.
func TestRefusedBodiesAreNotHeld(t *testing.T) {
	c := qt.New(t)
	const size, bodies = 40 << 20, 8
	memory := OrderMemory{Bodies: membudget.NewPool(2 * maxBodyBytes)}
	handler := (&operatorAPI{memory: memory}).handler()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bodies {
		c.Check(postBody(t.Context(), handler, spaces(size), size).Code, qt.Equals, http.StatusRequestEntityTooLarge)
	}
	c.Check(postBody(t.Context(), handler, bytes.NewReader(make([]byte, maxBodyBytes+1)), -1).Code, qt.Equals, http.StatusRequestEntityTooLarge)
	runtime.ReadMemStats(&after)
	// The body without a length is read up to the limit, with the growth of its buffer.
	c.Check(after.TotalAlloc-before.TotalAlloc < 8*maxBodyBytes, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
	c.Check(memory.Bodies.Used(), qt.Equals, int64(0))
}

// stalledReader returns its content only once release is closed.
type stalledReader struct {
	content io.Reader
	started chan struct{} // receives a signal at the first read
	release chan struct{}
	once    sync.Once
}

func (s *stalledReader) Read(b []byte) (int, error) {
	s.once.Do(func() { s.started <- struct{}{} })
	<-s.release
	return s.content.Read(b)
}

// Concurrent bodies were read without a bound on their memory. Those that do not fit wait, and are then rejected; all memory is released.
func TestConcurrentBodiesStayWithinMemory(t *testing.T) {
	c := qt.New(t)
	const size = 1 << 20
	memory := OrderMemory{Bodies: membudget.NewPool(2 * size)}
	handler := (&operatorAPI{memory: memory}).handler()
	started, release := make(chan struct{}, 3), make(chan struct{})
	codes := make(chan int, 2)
	post := func() int {
		// The content is shorter than announced: the answer is 408 once it was read.
		body := &stalledReader{content: spaces(size - 1), started: started, release: release}
		return postBody(t.Context(), handler, body, size).Code
	}
	for range 2 {
		go func() { codes <- post() }()
		<-started
	}
	c.Check(memory.Bodies.Used(), qt.Equals, int64(2*size))
	rejected := postBody(t.Context(), handler, spaces(size), size)
	c.Check(rejected.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(rejected.Header().Get("Retry-After"), qt.Equals, retryAfterSeconds)
	close(release)
	for range 2 {
		c.Check(<-codes, qt.Equals, http.StatusRequestTimeout)
	}
	c.Check(memory.Bodies.Used(), qt.Equals, int64(0))
}

// Changes that are parsed and committed at once were not bounded. A change waits until those before it are done, and takes its memory back.
func TestConcurrentChangesStayWithinMemory(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		server := core.server(0)
		text := config(1, "")
		size := int64(len(text)) * processingFactor
		pool := membudget.NewPool(size)
		server.api.memory.Processing = pool
		core.c.Assert(pool.Reserve(1), qt.IsTrue)
		core.c.Check(postBody(ctx, server.Handler(), bytes.NewReader(text), int64(len(text))).Code, qt.Equals, http.StatusServiceUnavailable)
		go func() {
			time.Sleep(callTimeout / 2)
			pool.Release(1)
		}()
		core.c.Check(postBody(ctx, server.Handler(), bytes.NewReader(text), int64(len(text))).Code, qt.Equals, http.StatusOK)
		core.c.Check(pool.Used(), qt.Equals, int64(0))
	})
}

// Readers that got the same value at the same time each held a copy of it. They share the one that the process has learned.
func TestReadersShareTheValue(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.server(0).Replace(ctx, 0, config(1, "")).Outcome, qt.Equals, Committed)
		server := core.server(1)
		first, err := server.ReadLatest(ctx)
		core.c.Assert(err, qt.IsNil)
		const readers = 3 * maxConcurrentReads
		same := make(chan bool, readers)
		for range readers {
			go func() {
				value, err := server.ReadLatest(ctx)
				same <- err == nil && &value.Body[0] == &first.Body[0]
			}()
		}
		for range readers {
			core.c.Check(<-same, qt.IsTrue)
		}
	})
}

// The number of reads at a time was not bounded, and each may hold the value of every voter. A read above the bound ends with its context.
func TestConcurrentReadsAreBounded(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		reads := core.server(0).register.reads
		for range maxConcurrentReads {
			reads <- struct{}{}
		}
		waiting, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := core.server(0).ReadLatest(waiting)
		core.c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
		<-reads
		_, err = core.server(0).ReadLatest(ctx)
		core.c.Check(err, qt.IsNil)
	})
}
