package outbound_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outbound"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/membudget"
)

const answersConfig = `{"configVersion":"r1","routeTable":[
{"name":"read","hostName":"h","pathPrefix":"/idempotent/","routeKind":"idempotent",
"timeout":"2000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false},
{"name":"book","hostName":"h","pathPrefix":"/non_idempotent/","routeKind":"non_idempotent",
"timeout":"2000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false},
{"name":"pull","hostName":"h","pathPrefix":"/downlink/","routeKind":"downlink",
"timeout":"2000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false}],
"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],
"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":1000000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

// The ports on each node of the network.
const (
	linkPort     = ":7"
	clientPort   = ":8"
	endpointPort = ":9"
)

var errNoListener = errors.New("no listener at this address")

// sidecar is one process of the data plane on a node of a network.
type sidecar struct {
	name      string
	hub       *transport.Hub
	inbound   *inbound.Proxy
	outbound  *outbound.Proxy
	server    *http.Server
	listeners []*listener
	serving   sync.WaitGroup
}

func startSidecar(t *testing.T, network *network, name string, incarnation uint64) *sidecar {
	t.Helper()
	started := &sidecar{name: name}
	log := quietLog()
	hello := transport.Hello{Incarnation: incarnation, Address: name + linkPort, Name: name}
	started.hub = transport.NewHub(hello, time.Now(), 64<<20, log)
	started.hub.SetDialer(func(_ context.Context, address string, _ time.Duration) (net.Conn, error) {
		return network.dial(name, address)
	})
	started.inbound = inbound.New(name+endpointPort, started.hub.Now, log, nil)
	started.inbound.SetDialer(func(_ context.Context, address string, _ time.Duration) (net.Conn, error) {
		return network.dialLocal(address)
	})
	started.inbound.Register(started.hub)
	started.outbound = outbound.New(outbound.Options{
		Hub: started.hub, Inbound: started.inbound, Service: "client", Log: log, Seed: incarnation, BodyMemory: membudget.NewPool(64 << 20),
		Bounds: settings.Bounds{RetryBudgetRatio: 10, RetryBudgetSlack: 1e6, RetryBudgetWindow: 10 * time.Second},
	})
	config, err := configuration.Parse([]byte(answersConfig))
	qt.Assert(t, err, qt.IsNil)
	started.outbound.Configure(config)
	links, clients := network.listen(name+linkPort), network.listen(name+clientPort)
	started.listeners = []*listener{links, clients}
	started.server = started.outbound.Server()
	started.serving.Go(func() { _ = started.hub.Listen(links) })
	started.serving.Go(func() { _ = started.server.Serve(started.outbound.Listener(clients)) })
	return started
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (s *sidecar) close() {
	s.hub.Close()
	_ = s.server.Close() // returns only errors of closing listeners, and these listeners return none
	for _, l := range s.listeners {
		l.close()
	}
	s.serving.Wait()
}

// closeQuietly closes a connection. It ignores the error, as the other side may have closed or reset the connection before.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

// pair is a caller's sidecar a, and a sidecar b beside an endpoint without flaws, on a network without faults.
type pair struct {
	testNet  *network
	a, b     *sidecar
	endpoint *flawedEndpoint
}

func startPair(t *testing.T) *pair {
	t.Helper()
	network := newNetwork(1, false)
	started := &pair{testNet: network, a: startSidecar(t, network, "a", 1), b: startSidecar(t, network, "b", 2)}
	started.endpoint = startEndpoint(network, "b"+endpointPort, "i-b", false)
	started.b.inbound.UpdateEndpoint(admission.Endpoint{ID: "i-b", Service: "s", Slots: 3}, admission.Serving)
	started.a.outbound.UpdateEndpoints("s", []discovery.Endpoint{servingEndpoint("i-b", "b", 3)})
	return started
}

// servingEndpoint returns an endpoint of service s, which is beside a node's sidecar.
func servingEndpoint(id, node string, slots int) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Service: "s", SidecarAddress: node + linkPort, Zone: "z", State: discovery.Serving, Slots: slots}
}

func (p *pair) close() {
	p.a.close()
	p.b.close()
	p.endpoint.close()
	time.Sleep(time.Second) // lets the remaining goroutines end; takes no real time
}

// connect opens a client's connection to sidecar a.
func (p *pair) connect() net.Conn { return p.testNet.connectClient("a") }

// ask sends a request to sidecar a on a new connection, and returns the status of its answer.
func (p *pair) ask(t *testing.T, method, id string, remaining time.Duration) int {
	t.Helper()
	conn := p.connect()
	defer closeQuietly(conn)
	return askOn(t, conn, method, fmt.Sprintf("%s /non_idempotent/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\n\r\n",
		method, id, remaining.Milliseconds()))
}

// askOn sends a request on a connection, reads the complete answer, and returns its status.
func askOn(t *testing.T, conn net.Conn, method, request string) int {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, request) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// executions returns how often the endpoint has executed a request.
func (p *pair) executions(id string) int { return p.endpoint.executions(id) }

// startPeer starts only the hub of a sidecar b, on which the test registers methods.
func startPeer(n *network) (peer *transport.Hub, stop func()) {
	peer = transport.NewHub(transport.Hello{Incarnation: 2, Address: "b" + linkPort}, time.Now(), 1<<20, quietLog())
	links := n.listen("b" + linkPort)
	var listening sync.WaitGroup
	listening.Go(func() { _ = peer.Listen(links) })
	return peer, func() {
		peer.Close()
		links.close()
		listening.Wait()
	}
}
