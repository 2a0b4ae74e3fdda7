package inbound

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
)

func TestResponseSizesFollowTheMean(t *testing.T) {
	c := qt.New(t)
	sizes := responseSizes{mean: map[string]float64{}}
	sizes.observe("pull", 100_000)
	c.Check(sizes.largeSize("pull"), qt.Equals, 100_000.0)
	sizes.observe("pull", 0)
	c.Check(sizes.largeSize("pull"), qt.Equals, 90_000.0)
	sizes.observe("read", largeResponse)
	c.Check(sizes.largeSize("read"), qt.Equals, 0.0)
	c.Check(sizes.largeSize("unknown"), qt.Equals, 0.0)

	sizes.expect(90_000)
	sizes.release(90_000)
	sizes.release(1)
	c.Check(sizes.expected, qt.Equals, 0.0)
	for i := range 2 * maxTrackedRoutes {
		sizes.observe(strconv.Itoa(i), 1)
	}
	c.Check(sizes.mean, qt.HasLen, maxTrackedRoutes)
}

// A peer's request whose answer would be late because of the machine's link is rejected at once. The same request from a client on this
// machine is accepted, as its answer is not sent over the link.
func TestALargeAnswerThatWouldBeLateIsRejected(t *testing.T) {
	c := qt.New(t)
	proxy := New("", func() time.Duration { return time.Hour }, logrus.New(), nil)
	proxy.UpdateEndpoint(admission.Endpoint{ID: "i-1", Slots: 0}, admission.Serving)
	proxy.sizes.observe("pull", 100_000)
	var backlogQueries []float64
	proxy.linkBacklog = func(moreBytes float64) time.Duration {
		backlogQueries = append(backlogQueries, moreBytes)
		return time.Duration(moreBytes) * 10 * time.Microsecond
	}
	target, deadline := time.Hour+1500*time.Millisecond, time.Hour+3*time.Second
	responses := make(chan *ForwardResponse, 3)
	done := func(response *ForwardResponse) { responses <- response }
	request := &ForwardRequest{Route: "pull"}
	cancel := proxy.forward(request, target, deadline, true, done) // sending the answer takes a second
	defer cancel()
	proxy.forward(request, target, deadline, true, done) // sending this answer after the first one takes two seconds
	c.Check((<-responses).Kind, qt.Equals, outcome.AtCapacity)
	c.Check(backlogQueries, qt.DeepEquals, []float64{100_000, 200_000})
	c.Check(proxy.Pending(), qt.Equals, 1)
	cancel = proxy.Forward(request, target, deadline, done)
	defer cancel()
	c.Check(proxy.Pending(), qt.Equals, 2)
}
