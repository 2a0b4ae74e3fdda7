package outbound_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
)

// faultRun is one simulated run with three sidecars, two flawed endpoints, clients, and a faulty network.
type faultRun struct {
	testNet   *network
	sidecars  []*sidecar
	endpoints []*flawedEndpoint

	mu          sync.Mutex
	lastRequest int
	status      map[string]int    // status of each answered request, by request ID
	kind        map[string]string // route kind of each request, by request ID
	violations  []string
	givenUp     int // number of requests that their clients gave up
}

func newFaultRun(seed uint64) *faultRun {
	return &faultRun{testNet: newNetwork(seed, true), status: map[string]int{}, kind: map[string]string{}}
}

func (f *faultRun) violated(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// sentRequest is one request of a client, and its encoded text.
type sentRequest struct {
	id, uri, text string
}

// newRequest returns a request of a random kind.
func (f *faultRun) newRequest() sentRequest {
	kind := []string{"idempotent", "non_idempotent", "non_idempotent", "downlink"}[f.testNet.draw(4)]
	f.mu.Lock()
	f.lastRequest++
	id := fmt.Sprintf("%08x", f.lastRequest)
	f.kind[id] = kind
	f.mu.Unlock()
	uri := "/" + kind + "/" + id
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s", uri, id,
		60+f.testNet.draw(1500), len(id), id)
	return sentRequest{id, uri, text}
}

// runClient sends requests to a sidecar on persistent connections, one or two at a time. It gives up waiting for some answers.
func (f *faultRun) runClient(to string, requests int) {
	var conn net.Conn
	var reader *bufio.Reader
	for sent := 0; sent < requests; {
		if conn == nil {
			conn = f.testNet.connectClient(to)
			reader = bufio.NewReader(conn)
		}
		var batch []sentRequest
		for range 1 + f.testNet.draw(10)/9 {
			batch = append(batch, f.newRequest())
		}
		sent += len(batch)
		if ok := f.sendBatch(conn, reader, batch); !ok {
			closeQuietly(conn)
			conn = nil
		}
		time.Sleep(time.Duration(f.testNet.draw(30)) * time.Millisecond)
	}
	if conn != nil {
		closeQuietly(conn)
	}
}

// sendBatch sends requests on one connection and reads their answers. It returns false if the connection can no longer be used.
func (f *faultRun) sendBatch(conn net.Conn, reader *bufio.Reader, batch []sentRequest) bool {
	if f.testNet.draw(12) == 0 {
		_ = conn.SetDeadline(time.Now().Add(time.Duration(f.testNet.draw(300)) * time.Millisecond)) // ignores the error of a closed connection
	}
	all := ""
	for _, r := range batch {
		all += r.text
	}
	go func() { _, _ = io.WriteString(conn, all) }() // the sidecar reads the second request while it answers the first
	for _, r := range batch {
		err := f.readAnswer(reader, r)
		if err == nil {
			continue
		}
		var netError net.Error
		if !errors.As(err, &netError) || !netError.Timeout() {
			f.violated("request %s: reading its answer: got error %v, want none or a timeout", r.id, err)
		}
		f.mu.Lock()
		f.givenUp++
		f.mu.Unlock()
		return false
	}
	return true
}

// readAnswer reads one answer, and checks that it belongs to the given request.
func (f *faultRun) readAnswer(reader *bufio.Reader, sent sentRequest) error {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if err := response.Body.Close(); err != nil {
		return err
	}
	id := response.Header.Get("Attempt-Id")
	complete := id == sent.id && string(body) == answerText(sent.id, sent.uri, sent.id) && response.Header.Get("Endpoint-Seal") != ""
	switch {
	case response.StatusCode == http.StatusOK && !complete:
		f.violated("request %s: got an answer with ID %s, %d bytes, want its own complete and sealed answer", sent.id, id, len(body))
	case id != "" && id != sent.id:
		f.violated("request %s: got status %d with the ID of request %s", sent.id, response.StatusCode, id)
	}
	f.mu.Lock()
	f.status[sent.id] = response.StatusCode
	f.mu.Unlock()
	return nil
}

// start starts three sidecars, two of them with endpoints.
func (f *faultRun) start(t *testing.T) {
	t.Helper()
	var known []discovery.Endpoint
	for i, name := range []string{"a", "b", "c"} {
		s := startSidecar(t, f.testNet, name, uint64(i+1))
		f.sidecars = append(f.sidecars, s)
		if i == 0 {
			continue
		}
		endpoint := startEndpoint(f.testNet, name+endpointPort, "i-"+name, true)
		f.endpoints = append(f.endpoints, endpoint)
		s.inbound.UpdateEndpoint(admission.Endpoint{ID: endpoint.id, Service: "s", Slots: 3}, admission.Serving)
		known = append(known, servingEndpoint(endpoint.id, name, 3))
	}
	for _, s := range f.sidecars {
		s.outbound.UpdateEndpoints("s", known)
	}
}

// freezeNodes suspends the processes on the nodes with endpoints at random times.
func (f *faultRun) freezeNodes(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+f.testNet.draw(500)) * time.Millisecond):
			f.testNet.node([]string{"b", "c"}[f.testNet.draw(2)]).freeze(time.Duration(f.testNet.draw(1200)) * time.Millisecond)
		}
	}
}

// play runs the clients, and then checks how often each request was executed.
func (f *faultRun) play(t *testing.T) {
	t.Helper()
	f.start(t)
	var clients, freezer sync.WaitGroup
	for i := range 10 {
		clients.Go(func() { f.runClient(f.sidecars[i%3].name, 12) })
	}
	stop := make(chan struct{})
	freezer.Go(func() { f.freezeNodes(stop) })
	clients.Wait()
	close(stop)
	freezer.Wait()
	time.Sleep(10 * time.Second) // any late execution of a request that was given up happens now
	for _, s := range f.sidecars {
		s.close()
	}
	for _, e := range f.endpoints {
		e.close()
	}
	time.Sleep(time.Second) // lets the hubs' goroutines end
	for id, kind := range f.kind {
		f.checkExecutions(id, kind)
	}
}

// checkExecutions checks how often a request was executed.
func (f *faultRun) checkExecutions(id, kind string) {
	executed := 0
	for _, e := range f.endpoints {
		executed += e.executions(id)
	}
	if kind == "non_idempotent" && executed > 1 {
		f.violated("request %s of kind %s was executed %d times, want once at most", id, kind, executed)
	}
	switch status := f.status[id]; status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if executed > 0 {
			f.violated("request %s of kind %s got status %d, which means not executed, but it was executed", id, kind, status)
		}
	}
}

// Endpoints send random invalid, duplicate, late and reset answers, connections between sidecars are reset at any byte or drop all
// data, processes are suspended, and clients give up. Still, each answer belongs to its request, a request that is not idempotent is
// executed at most once, and a request that is reported as not executed is never executed.
func TestAnswersUnderFaults(t *testing.T) {
	seeds := 6
	if os.Getenv("SOAK") != "" {
		seeds = 400
	}
	total := map[int]int{}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			run := newFaultRun(uint64(seed))
			run.play(t)
			for _, status := range run.status {
				total[status]++
			}
			total[0] += run.givenUp
			for _, violation := range run.violations {
				t.Errorf("run with seed %d: %s", seed, violation)
			}
		})
		if t.Failed() {
			break
		}
	}
	t.Logf("number of answers by status (0: given up): %v", total)
	if total[200] == 0 || total[502] == 0 || total[503] == 0 || total[504] == 0 || total[0] == 0 {
		t.Errorf("number of answers by status (0: given up): got %v, want some of each of 200, 502, 503, 504 and 0", total)
	}
}
