package http1

import (
	"testing"
	"time"

	"quincegap/internal/network/exchange"
)

func TestPool(t *testing.T) {
	endpoint := &exchange.Endpoint{ID: 1}
	other := &exchange.Endpoint{ID: 2}
	endpoint.Open.Store(true)
	other.Open.Store(true)
	p := pool{idle: map[*exchange.Endpoint][]*conn{}, maxOpen: 3, maxIdle: time.Minute}
	var conns []*conn
	for range 3 {
		if c, ok := p.acquire(endpoint, time.Now()); c != nil || !ok {
			t.Fatalf("acquire below the limit: got %v, %v; want nil, true", c, ok)
		}
		c, _ := tcpPair(t)
		conns = append(conns, c)
	}
	if _, ok := p.acquire(endpoint, time.Now()); ok {
		t.Error("acquire succeeded though the limit on connections was reached")
	}
	for _, c := range conns {
		p.release(endpoint, c)
	}
	if c, _ := p.acquire(endpoint, time.Now()); c != conns[2] {
		t.Error("acquire did not return the most recently used connection")
	}
	if c, ok := p.acquire(other, time.Now()); c != nil || !ok || len(p.idle[endpoint]) != 1 || conns[0].alive() {
		t.Error("at the limit, acquire did not close the connection that had been idle the longest to allow a new one")
	}
	p.release(other, nil)
	p.release(endpoint, conns[2])
	if c, _ := p.acquire(endpoint, time.Now().Add(2*p.maxIdle)); c != nil || p.open != 1 {
		t.Error("acquire did not close a connection that had been idle for longer than maxIdle")
	}
	p.release(endpoint, nil)
	c, _ := tcpPair(t)
	p.open++
	p.release(endpoint, c)
	p.sweep(time.Now().Add(2 * p.maxIdle))
	if p.open != 0 || len(p.idle) != 0 || c.alive() {
		t.Error("sweep did not close a connection that had been idle for longer than maxIdle")
	}
	c, _ = tcpPair(t)
	p.open++
	endpoint.Open.Store(false)
	p.release(endpoint, c)
	if p.open != 0 || len(p.idle) != 0 {
		t.Error("release did not close a connection to a draining endpoint")
	}
}

func TestAliveDetectsUnsolicitedBytes(t *testing.T) {
	c, far := tcpPair(t)
	if !c.alive() {
		t.Fatal("a new connection is not alive")
	}
	send(far, "HTTP/1.1 408 Request Timeout\r\n\r\n")
	for end := time.Now().Add(testTimeout); c.alive(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection is still alive %v after an unsolicited response", testTimeout)
		}
	}
}
