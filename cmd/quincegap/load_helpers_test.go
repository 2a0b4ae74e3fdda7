package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// lastTxn is the number of the last request of any test. Request ids and keys are made from it.
var lastTxn atomic.Int64

// book sends a booking with a new id and a new key, and returns the status.
func (p *process) book(client *http.Client, body string) (int, error) {
	if p.transport != nil {
		client = &http.Client{Transport: p.transport}
	}
	n := lastTxn.Add(1)
	return post(client, p.url, "book-trip", fmt.Sprintf("t%d", n), fmt.Sprintf("k%d", n), body)
}

// post sends a request and returns the status of the response. If the body of the response is incomplete it returns a status and an error;
// without a response it returns the status 0 and an error.
func post(client *http.Client, url, class, txn, key, body string) (status int, err error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/trips", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Txn", txn)
	request.Header.Set("X-Lane", class)
	request.Header.Set("X-Remaining", "6000m")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer closeNow(response.Body)
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// send sends a request on a new connection. It returns no error if only the body of the response is incomplete.
func send(url, class, txn, key string) (status int, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if status, err = post(client, url, class, txn, key, "trip"); status != 0 {
		err = nil
	}
	return status, err
}

// startCallers has n callers book without pause until stop is called, and counts the bookings that are served. A booking that is not
// served fails the test.
func (p *process) startCallers(n int, served *atomic.Int64) (stop func()) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-done:
					return
				default:
				}
				if status, err := p.book(client, "trip"); err != nil || status != http.StatusOK {
					p.tb.Errorf("a booking of a caller: got status %d, error %v, want status 200", status, err)
					return
				}
				served.Add(1)
			}
		})
	}
	stop = sync.OnceFunc(func() {
		close(done)
		callers.Wait()
	})
	p.tb.Cleanup(stop)
	return stop
}

// awaitMore waits until a count of bookings has grown by n. It stops the test after testTimeout, and at once if the test has failed
// already.
func awaitMore(tb testing.TB, count *atomic.Int64, n int64) {
	tb.Helper()
	want := count.Load() + n
	for deadline := time.Now().Add(testTimeout); count.Load() < want; time.Sleep(time.Millisecond) {
		if tb.Failed() || time.Now().After(deadline) {
			tb.Fatalf("waiting for more bookings: %d of %d have not happened", want-count.Load(), n)
		}
	}
}

// maxOutstanding limits the bookings of a stream that are in flight at once; 3 to 5 are usual. While the machine does not run the sidecar,
// more bookings would queue in its sockets and then arrive in a burst. That would be no even pace, and not the sidecar's fault.
const maxOutstanding = 16

// minMachineStall is the shortest stall of the machine that excuses a stream for skipping bookings.
const minMachineStall = 20 * time.Millisecond

// startStream sends bookings at an even pace, with at most maxOutstanding in flight, until stop is called. stop returns the number of
// bookings that were sent and of those that were rejected. A booking that is neither served nor rejected fails the test. So does a booking
// that is skipped because too many are in flight, unless the machine has stalled, as the sidecar is too slow otherwise.
func (p *process) startStream(interval time.Duration) (stop func() (sent, rejected int64)) {
	var sent, rejected atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	outstanding := make(chan struct{}, maxOutstanding)
	done, ended := make(chan struct{}), make(chan struct{})
	var machine stalls
	skipped := 0
	book := func() {
		defer func() { <-outstanding }()
		switch status, err := p.book(client, "trip"); {
		case err != nil:
			p.tb.Errorf("a booking of the stream failed: %v", err)
		case status == http.StatusServiceUnavailable:
			rejected.Add(1)
		case status != http.StatusOK:
			p.tb.Errorf("a booking of the stream: got status %d, want 200 or 503", status)
		}
	}
	go func() {
		defer close(ended)
		var bookings sync.WaitGroup
		defer bookings.Wait()
		bookings.Go(func() { machine.run(done) })
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			select {
			case outstanding <- struct{}{}:
				sent.Add(1)
				bookings.Go(book)
			default:
				skipped++
			}
		}
	}()
	return func() (int64, int64) {
		close(done)
		<-ended
		client.CloseIdleConnections()
		if skipped > 0 && machine.longest() < minMachineStall {
			p.tb.Errorf("%d bookings were in flight at once, though the machine stalled for %v at most", maxOutstanding, machine.longest())
		}
		return sent.Load(), rejected.Load()
	}
}
