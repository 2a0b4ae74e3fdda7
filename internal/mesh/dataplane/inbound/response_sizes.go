package inbound

const (
	// responseSizeWeight is the weight of one answer in the mean size of its route's answers.
	responseSizeWeight = 0.1
	// largeResponse is the mean size in bytes above which answers wait for their turn on the machine's link.
	largeResponse = 16 << 10
	// maxTrackedRoutes bounds the routes whose sizes are tracked.
	maxTrackedRoutes = 4096
)

// responseSizes tracks the mean size of answers, by route, and how much is to come of the large ones: they may fill the machine's
// link for longer than the endpoint takes for them.
type responseSizes struct {
	mean     map[string]float64 // bytes, by route
	expected float64            // bytes of the large answers to requests under way
}

// largeSize returns the expected size in bytes of the answer to a request of a route if it is large; 0 if not.
func (s *responseSizes) largeSize(route string) float64 {
	if size := s.mean[route]; size > largeResponse {
		return size
	}
	return 0
}

// expect counts the answer to a request that has arrived.
func (s *responseSizes) expect(bytes float64) { s.expected += bytes }

// release takes back what expect has counted, once the request has ended.
func (s *responseSizes) release(bytes float64) { s.expected = max(s.expected-bytes, 0) }

// observe takes the size of an answer into its route's mean.
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
