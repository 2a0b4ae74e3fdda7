package assembly

import (
	"quincegap/internal/mesh/transport/membudget"
	"quincegap/internal/mesh/transport/sockets"
)

// Fractions of the machine's memory for the connections that wait to be accepted by a listener.
const (
	clientAcceptMemoryFraction  = 0.02
	controlAcceptMemoryFraction = 0.01
	probeAcceptMemoryFraction   = 0.005
	linkAcceptMemoryFraction    = 0.04
)

// Sizes of receive buffers in bytes. A link crosses networks on which much is in transit; clients and the endpoint are on the same machine.
const (
	clientReceiveBytes    = 16 << 10
	minClientReceiveBytes = 4 << 10
	controlReceiveBytes   = 32 << 10
	probeReceiveBytes     = 4 << 10
	linkReceiveBytes      = 128 << 10
	minLinkReceiveBytes   = 16 << 10
)

// socketGroups are the connections of a process.
type socketGroups struct {
	clients *sockets.Group // clients and the endpoint
	control *sockets.Group // endpoints, operators and tools
	probes  *sockets.Group // the platform's readiness probes
	links   *sockets.Group
}

// newSocketGroups returns the groups of a machine with a number of bytes of memory.
func newSocketGroups(machineBytes int64, pools *memoryPools) socketGroups {
	group := func(receiveBytes, minReceiveBytes int, memory *membudget.Pool, acceptFraction float64) *sockets.Group {
		return sockets.NewGroup(sockets.Options{
			ReceiveBytes:    receiveBytes,
			MinReceiveBytes: minReceiveBytes,
			Memory:          memory,
			AcceptBytes:     int64(acceptFraction * float64(machineBytes)),
		})
	}
	return socketGroups{
		clients: group(clientReceiveBytes, minClientReceiveBytes, pools.receive, clientAcceptMemoryFraction),
		control: group(controlReceiveBytes, minClientReceiveBytes, pools.receive, controlAcceptMemoryFraction),
		probes:  group(probeReceiveBytes, probeReceiveBytes, pools.receive, probeAcceptMemoryFraction),
		links:   group(linkReceiveBytes, minLinkReceiveBytes, pools.linkReceive, linkAcceptMemoryFraction),
	}
}

// usage returns the usage of all groups.
func (s *socketGroups) usage() (total sockets.Usage) {
	for _, group := range []*sockets.Group{s.clients, s.control, s.probes, s.links} {
		usage := group.Usage()
		total.Connections += usage.Connections
		total.UnreadBytes += usage.UnreadBytes
	}
	return total
}
