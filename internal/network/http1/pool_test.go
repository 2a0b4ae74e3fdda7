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
			t.Fatal(c, ok)
		}
		c, _ := tcpPair(t)
		conns = append(conns, c)
	}
	if _, ok := p.acquire(endpoint, time.Now()); ok {
		t.Error("more connections than the bound")
	}
	for _, c := range conns {
		p.release(endpoint, c)
	}
	if c, _ := p.acquire(endpoint, time.Now()); c != conns[2] {
		t.Error("not the most recently used one")
	}
	if c, ok := p.acquire(other, time.Now()); c != nil || !ok || len(p.idle[endpoint]) != 1 || conns[0].alive() {
		t.Error("the one that has been idle the longest did not make room")
	}
	p.release(other, nil)
	p.release(endpoint, conns[2])
	if c, _ := p.acquire(endpoint, time.Now().Add(2*p.maxIdle)); c != nil || p.open != 1 {
		t.Error("a connection outlived its idle time")
	}
	p.release(endpoint, nil)
	c, _ := tcpPair(t)
	p.open++
	p.release(endpoint, c)
	p.sweep(time.Now().Add(2 * p.maxIdle))
	if p.open != 0 || len(p.idle) != 0 || c.alive() {
		t.Error("swept connections are still there")
	}
	c, _ = tcpPair(t)
	p.open++
	endpoint.Open.Store(false)
	p.release(endpoint, c)
	if p.open != 0 || len(p.idle) != 0 {
		t.Error("a connection to a draining endpoint is kept")
	}
}

func TestAliveSeesWhatCameWhileIdle(t *testing.T) {
	c, far := tcpPair(t)
	if !c.alive() {
		t.Fatal("a fresh connection is not alive")
	}
	send(far, "HTTP/1.1 408 Request Timeout\r\n\r\n")
	for end := time.Now().Add(testTimeout); c.alive(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an answer that nobody asked for goes unseen")
		}
	}
}
