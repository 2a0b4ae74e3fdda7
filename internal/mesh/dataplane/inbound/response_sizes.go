package inbound

const (
	// responseSizeWeight is the weight of one answer in the mean size of its route's answers.
	responseSizeWeight = 0.1
	// largeResponse is the mean size in bytes above which a route's answers count as large. Package transport paces messages above this
	// size on the machine's link.
	largeResponse = 16 << 10
	// maxTrackedRoutes bounds the number of routes whose answer sizes are tracked.
	maxTrackedRoutes = 4096
)

// responseSizes tracks the mean size of answers, by route, and the expected bytes of large answers that have not been sent yet. Such
// answers may occupy the machine's link for longer than the endpoint takes to produce them.
type responseSizes struct {
	mean     map[string]float64 // mean answer size in bytes, by route
	expected float64            // expected bytes of the large answers to pending requests
}

// largeSize returns the expected size in bytes of a route's answers; 0 if they are not large.
func (s *responseSizes) largeSize(route string) float64 {
	if size := s.mean[route]; size > largeResponse {
		return size
	}
	return 0
}

// expect adds the expected size of a pending request's answer.
func (s *responseSizes) expect(bytes float64) { s.expected += bytes }

// release subtracts the bytes that expect added for a request that has ended.
func (s *responseSizes) release(bytes float64) { s.expected = max(s.expected-bytes, 0) }

// observe adds the size of an answer to its route's mean. Once maxTrackedRoutes routes are tracked, no further route is added.
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
