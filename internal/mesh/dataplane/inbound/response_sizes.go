package inbound

const (
	// responseSizeWeight is the weight of one answer in the mean size of its route's answers.
	responseSizeWeight = 0.1
	// largeResponse is the mean size in bytes above which answers count as large. Larger messages than that are paced on the machine's
	// link (package transport).
	largeResponse = 16 << 10
	// maxTrackedRoutes bounds the routes whose sizes are tracked.
	maxTrackedRoutes = 4096
)

// responseSizes tracks the mean size of answers, by route, and the expected bytes of large answers that have not been sent yet: they may
// occupy the machine's link for longer than the endpoint takes to produce them.
type responseSizes struct {
	mean     map[string]float64 // bytes, by route
	expected float64            // bytes of the large answers to pending requests
}

// largeSize returns the expected size in bytes of an answer to a request of a route; 0 if it is not large.
func (s *responseSizes) largeSize(route string) float64 {
	if size := s.mean[route]; size > largeResponse {
		return size
	}
	return 0
}

// expect adds the expected size of a pending request's answer.
func (s *responseSizes) expect(bytes float64) { s.expected += bytes }

// release subtracts what expect has added, once the request has ended.
func (s *responseSizes) release(bytes float64) { s.expected = max(s.expected-bytes, 0) }

// observe adds the size of an answer to its route's mean. Routes beyond maxTrackedRoutes are not tracked.
func (s *responseSizes) observe(route string, bytes int) {
	size, known := s.mean[route]
	if !known {
		if len(s.mean) >= maxTrackedRoutes {
			return
		}
		size = float64(bytes)
	}
	s.mean[route] = size + responseSizeWeight*(float64(bytes)-size)
}
