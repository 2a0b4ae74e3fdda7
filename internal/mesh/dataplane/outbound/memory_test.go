package outbound

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/membudget"
)

// largeBodyConfig has a route whose latency target is a second, so that a body waits for memory for 250 ms.
const largeBodyConfig = `{"configVersion":"r1","routeTable":[{"name":"upload","hostName":"h","pathPrefix":"/","routeKind":"non_idempotent",
"timeout":"60s","target":"1000ms","priority":1,"serviceName":"s","maxAttempts":1,"publicAccess":false}],
"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],
"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

// largeBodyBytes is the size of the large bodies in the tests of memory.
const largeBodyBytes = 12 << 20

// startHub starts a hub on loopback until the end of the test.
func startHub(t *testing.T, incarnation uint64) *transport.Hub {
	t.Helper()
	links := listen(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	hub := transport.NewHub(transport.Hello{Incarnation: incarnation, Address: links.Addr().String()}, time.Now(), 72<<20, log)
	hub.LimitRate(1e9)
	var listening sync.WaitGroup
	listening.Go(func() { _ = hub.Listen(links) })
	t.Cleanup(func() {
		hub.Close()
		_ = links.Close() // Close of the hub does not close it
		listening.Wait()
	})
	return hub
}

// startLargeBodies starts a sidecar and, behind a second sidecar, an endpoint. It returns the address of the first sidecar.
func startLargeBodies(t *testing.T, bodyMemory *membudget.Pool, endpoint http.Handler) (address string) {
	t.Helper()
	application := httptest.NewServer(endpoint)
	t.Cleanup(application.Close)
	callerHub, endpointHub := startHub(t, 1), startHub(t, 2)
	log := logrus.New()
	log.SetOutput(io.Discard)
	beside := inbound.New(application.Listener.Addr().String(), endpointHub.Now, log, nil)
	beside.Register(endpointHub)
	beside.UpdateEndpoint(admission.Endpoint{ID: "s-1", Service: "s", Slots: 8}, admission.Serving)
	proxy := New(Options{
		Hub: callerHub, Inbound: inbound.New("127.0.0.1:1", callerHub.Now, log, nil), Log: log, Seed: 1, BodyMemory: bodyMemory,
	})
	config, err := configuration.Parse([]byte(largeBodyConfig))
	qt.Assert(t, err, qt.IsNil)
	proxy.Configure(config)
	proxy.UpdateEndpoints("s", []discovery.Endpoint{
		{ID: "s-1", Service: "s", SidecarAddress: endpointHub.Self().Address, Zone: "z", State: discovery.Serving, Slots: 8},
	})
	return serve(t, proxy)
}

// patternReader reads length bytes, each of which differs from the next ones, without holding them.
type patternReader struct{ position, length int }

// Read implements io.Reader.
func (p *patternReader) Read(b []byte) (n int, err error) {
	for n < len(b) && p.position < p.length {
		b[n] = byte(p.position % 251)
		n++
		p.position++
	}
	if n == 0 && len(b) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// checkPattern reads a body completely, and reports whether it has the bytes of a patternReader of largeBodyBytes.
func checkPattern(body io.Reader) bool {
	want := &patternReader{length: largeBodyBytes}
	got, expected := make([]byte, 32<<10), make([]byte, 32<<10)
	for {
		n, err := body.Read(got)
		m, _ := io.ReadFull(want, expected[:n])
		if m != n || !bytes.Equal(got[:n], expected[:n]) {
			return false
		}
		if err != nil {
			return err == io.EOF && want.position == largeBodyBytes
		}
	}
}

// peakHeap calls f and returns by how much the live heap has grown meanwhile at most.
func peakHeap(f func()) (bytes int64) {
	liveHeap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	start := liveHeap()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return bytes
		default:
			bytes = max(bytes, liveHeap()-start)
		}
	}
}

// Sidecars held each byte of a large body up to four times: as it grew, in the call to the other sidecar, as that received it, and in the
// request to the endpoint. Uploads within bodyMaxBytes took them over their machine's memory. Each of the two sidecars may hold it once.
func TestLargeBodyIsHeldOnceInEachSidecar(t *testing.T) {
	for _, test := range []struct {
		name          string
		contentLength int64
	}{
		{"with a length", largeBodyBytes},
		{"in chunks", -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			intact := make(chan bool, 1)
			address := startLargeBodies(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				intact <- checkPattern(r.Body)
				seal(w, r)
			}))
			peak := peakHeap(func() {
				status, _ := sendLarge(t, address, http.MethodPost, &patternReader{length: largeBodyBytes}, test.contentLength)
				qt.Check(t, status, qt.Equals, http.StatusOK)
			})
			qt.Check(t, <-intact, qt.IsTrue)
			qt.Check(t, peak < 2*largeBodyBytes*5/4, qt.IsTrue, qt.Commentf("peak of %d MB for %d MB", peak>>20, largeBodyBytes>>20))
		})
	}
}

// The same for answers: each of the two sidecars may hold a large answer once.
func TestLargeAnswerIsHeldOnceInEachSidecar(t *testing.T) {
	for _, sized := range []bool{true, false} {
		t.Run(fmt.Sprintf("with a length %t", sized), func(t *testing.T) {
			address := startLargeBodies(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if sized {
					w.Header().Set("Content-Length", fmt.Sprint(largeBodyBytes))
				}
				seal(w, r)
				_, _ = io.Copy(w, &patternReader{length: largeBodyBytes}) // the client's answer shows an error
			}))
			peak := peakHeap(func() {
				status, intact := sendLarge(t, address, http.MethodGet, nil, 0)
				qt.Check(t, status, qt.Equals, http.StatusOK)
				qt.Check(t, intact, qt.IsTrue)
			})
			qt.Check(t, peak < 2*largeBodyBytes*5/4, qt.IsTrue, qt.Commentf("peak of %d MB for %d MB", peak>>20, largeBodyBytes>>20))
		})
	}
}

// A large body that found no memory was rejected after it had been read in part, so that small bodies starved it. It must wait before it is
// read, for a quarter of the latency target at most.
func TestLargeBodyWaitsForMemory(t *testing.T) {
	const bodyBytes = minReservedBody // of a rejected request the sidecar reads as much, so that the client gets the answer
	memory := membudget.NewPool(bodyBytes)
	address := startLargeBodies(t, memory, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the client's answer shows an error
		seal(w, r)
	}))
	memory.Charge(1)
	rejected, _ := sendLarge(t, address, http.MethodPost, &patternReader{length: bodyBytes}, bodyBytes)
	qt.Assert(t, rejected, qt.Equals, http.StatusServiceUnavailable)
	time.AfterFunc(100*time.Millisecond, func() { memory.Release(1) })
	served, _ := sendLarge(t, address, http.MethodPost, &patternReader{length: bodyBytes}, bodyBytes)
	qt.Assert(t, served, qt.Equals, http.StatusOK)
	qt.Assert(t, memory.Used(), qt.Equals, int64(0))
}

// seal sets the header fields of an endpoint's answer.
func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(inbound.HeaderAttemptID, r.Header.Get(inbound.HeaderAttemptID))
	w.Header().Set(inbound.HeaderEndpointSeal, "seal")
}

// sendLarge sends a request to a sidecar. It returns the status of the answer, and whether its body is that of a patternReader.
func sendLarge(t *testing.T, address, method string, body io.Reader, contentLength int64) (status int, intact bool) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+"/x", body)
	qt.Assert(t, err, qt.IsNil)
	request.Host = "h"
	request.ContentLength = contentLength
	request.Header.Set(inbound.HeaderAttemptID, "a-1")
	client := &http.Transport{DisableKeepAlives: true}
	response, err := client.RoundTrip(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close() //nolint:errcheck // the body is read to its end
	return response.StatusCode, checkPattern(response.Body)
}
