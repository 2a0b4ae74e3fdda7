//go:build review

package lab

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is one try of a client.
type Request struct {
	ID, Method, Host, Path string
	Key                    string
	Body                   []byte
	TimeRemaining          time.Duration
	LeaveAfter             time.Duration // the client closes its connection after this time; 0 if it stays
}

// Answer is what the client got. Err is set if there was no complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	Took   time.Duration
}

// Send sends a request to a sidecar on a new connection, as a client on its machine does.
func (m *Machine) Send(r Request) Answer {
	limit := r.TimeRemaining + 500*time.Millisecond
	if r.LeaveAfter > 0 {
		limit = r.LeaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+m.Outbound()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = r.Host
	req.Header.Set("Attempt-Id", r.ID)
	req.Header.Set("Time-Remaining", strconv.FormatInt(r.TimeRemaining.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set("Key", r.Key)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer resp.Body.Close() //nolint:errcheck // nothing more is read
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err, Took: time.Since(began)}
}
