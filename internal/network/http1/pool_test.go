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
	connPool := pool{idle: map[*exchange.Endpoint][]*conn{}, maxOpen: 3, maxIdle: time.Minute}
	var conns []*conn
	for range 3 {
		if c, ok := connPool.acquire(endpoint, time.Now()); c != nil || !ok {
			t.Fatalf("acquire below the limit: got %v, %v; want nil, true", c, ok)
		}
		c, _ := tcpPair(t)
		conns = append(conns, c)
	}
	if _, ok := connPool.acquire(endpoint, time.Now()); ok {
		t.Error("acquire succeeded though the limit on connections was reached")
	}
	for _, c := range conns {
		connPool.release(endpoint, c)
	}
	if c, _ := connPool.acquire(endpoint, time.Now()); c != conns[2] {
		t.Error("acquire did not return the most recently used connection")
	}
	if c, ok := connPool.acquire(other, time.Now()); c != nil || !ok || len(connPool.idle[endpoint]) != 1 || conns[0].alive() {
		t.Error("at the limit, acquire did not close the connection that had been idle the longest to allow a new one")
	}
	connPool.release(other, nil)
	connPool.release(endpoint, conns[2])
	if c, _ := connPool.acquire(endpoint, time.Now().Add(2*connPool.maxIdle)); c != nil || connPool.open != 1 {
		t.Error("acquire did not close a connection that had been idle for longer than maxIdle")
	}
	connPool.release(endpoint, nil)
	c, _ := tcpPair(t)
	connPool.open++
	connPool.release(endpoint, c)
	connPool.sweep(time.Now().Add(2 * connPool.maxIdle))
	if connPool.open != 0 || len(connPool.idle) != 0 || c.alive() {
		t.Error("sweep did not close a connection that had been idle for longer than maxIdle")
	}
	c, _ = tcpPair(t)
	connPool.open++
	endpoint.Open.Store(false)
	connPool.release(endpoint, c)
	if connPool.open != 0 || len(connPool.idle) != 0 {
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
