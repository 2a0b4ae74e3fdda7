package assembly

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxWorkAfterDisconnect is how long an endpoint may continue to work on an idempotent request after its client has disconnected.
const maxWorkAfterDisconnect = 500 * time.Millisecond

// Clients close their connections while endpoints beside other sidecars work on their requests. The endpoints are notified, and the
// requests are not retried at other endpoints.
func TestClientDisconnectsCancelTheirRequests(t *testing.T) {
	const clients = 4
	mesh := newMesh(t, 10)
	mesh.waitFirstConfiguration("", "k1")
	mesh.waitServed("access-0", "/read/x")
	endpoints := []string{"access-2", "access-3"}
	count := func() (runs, abandoned int) {
		for _, name := range endpoints {
			runs += len(mesh.applications[name].Executions())
			abandoned += mesh.applications[name].Abandoned()
		}
		return runs, abandoned
	}
	mesh.waitServedByAll("access-0", "/read/x", endpoints...)
	for _, name := range endpoints {
		defer mesh.applications[name].Hold()()
	}
	before, _ := count()
	var connections []net.Conn
	for i := range clients {
		conn, err := mesh.dial(mesh.machines["access-0"])
		mesh.Assert(err, qt.IsNil)
		_, err = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: leaves-%d\r\n"+
			"Key: k1\r\nTime-Remaining: 2000\r\n\r\n", i)
		mesh.Assert(err, qt.IsNil)
		connections = append(connections, conn)
	}
	mesh.waitFor("all requests are in flight", func() bool { runs, _ := count(); return runs >= before+clients })
	disconnected := time.Now()
	for _, conn := range connections {
		mesh.Assert(conn.Close(), qt.IsNil)
	}
	mesh.waitFor("the endpoints have abandoned all requests", func() bool { runs, abandoned := count(); return abandoned == runs-before })
	mesh.Check(time.Since(disconnected) < maxWorkAfterDisconnect, qt.IsTrue,
		qt.Commentf("the endpoints worked for %v after the clients had disconnected", time.Since(disconnected)))
	time.Sleep(maxWorkAfterDisconnect - time.Since(disconnected))
	runsThen, _ := count()
	time.Sleep(maxWorkAfterDisconnect)
	runs, _ := count()
	mesh.Check(runs, qt.Equals, runsThen, qt.Commentf("a request reached an endpoint long after its client had disconnected"))
}

// A request whose route is removed from the configuration while it is in flight is served. The next request to that path gets 404.
func TestARequestOutlivesItsRoute(t *testing.T) {
	mesh := newMesh(t, 11)
	mesh.waitFirstConfiguration(longRoute, "k1")
	mesh.waitServed("access-2", "/book/x")
	endpoints := []string{"access-0", "access-1"}
	runs := func() (n int) {
		for _, name := range endpoints {
			n += len(mesh.applications[name].Executions())
		}
		return n
	}
	var releases []func()
	for _, name := range endpoints {
		releases = append(releases, mesh.applications[name].Hold())
	}
	before := runs()
	answers := make(chan clientExchange, 1)
	go func() {
		c := &testClient{mesh: mesh, machine: "access-2"}
		defer c.close()
		a, _ := c.do("POST", "/book/long/x")
		answers <- a
	}()
	mesh.waitFor("the request is in flight", func() bool { return runs() > before })
	withoutBooking := bytes.Replace(mesh.configuration(2, "", "k1"), []byte("/book/"), []byte("/other/"), 1)
	mesh.Assert(mesh.replaceConfiguration(1, withoutBooking), qt.Equals, http.StatusOK)
	mesh.waitFor("the route is gone", func() bool {
		a, _ := mesh.send("access-2", "GET", "/book/long/x", "k1", nil)
		return a.status == http.StatusNotFound
	})
	for _, release := range releases {
		release()
	}
	a := <-answers
	mesh.Check(a.answered && a.status == http.StatusOK, qt.IsTrue, qt.Commentf("want an answer with status 200, got %+v", a))
}
