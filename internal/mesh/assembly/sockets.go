package assembly

import "quincegap/internal/mesh/transport/sockets"

// acceptMemoryFraction is the fraction of the machine's memory for the connections that wait to be accepted by a listener.
const acceptMemoryFraction = 0.02

// Sizes of receive buffers in bytes. A link crosses networks on which much is in transit; clients and the endpoint are on the same machine.
const (
	clientReceiveBytes    = 16 << 10
	minClientReceiveBytes = 4 << 10
	controlReceiveBytes   = 32 << 10
	linkReceiveBytes      = 128 << 10
	minLinkReceiveBytes   = 16 << 10
)

// socketGroups are the connections of a process.
type socketGroups struct {
	clients *sockets.Group // clients, probes and the endpoint
	control *sockets.Group // endpoints, operators and tools
	links   *sockets.Group
}

// newSocketGroups returns the groups of a machine with a number of bytes of memory.
func newSocketGroups(machineBytes int64, pools *memoryPools) socketGroups {
	acceptBytes := int64(acceptMemoryFraction * float64(machineBytes))
	return socketGroups{
		clients: sockets.NewGroup(sockets.Options{
			ReceiveBytes: clientReceiveBytes, MinReceiveBytes: minClientReceiveBytes, Memory: pools.receive, AcceptBytes: acceptBytes,
		}),
		control: sockets.NewGroup(sockets.Options{
			ReceiveBytes: controlReceiveBytes, MinReceiveBytes: minClientReceiveBytes, Memory: pools.receive, AcceptBytes: acceptBytes,
		}),
		// Peers send nothing but their hello before it is answered, so that those that wait to be accepted are not bounded.
		links: sockets.NewGroup(sockets.Options{
			ReceiveBytes: linkReceiveBytes, MinReceiveBytes: minLinkReceiveBytes, Memory: pools.linkReceive,
		}),
	}
}

// usage returns the usage of all groups.
func (s *socketGroups) usage() (total sockets.Usage) {
	for _, group := range []*sockets.Group{s.clients, s.control, s.links} {
		usage := group.Usage()
		total.Connections += usage.Connections
		total.UnreadBytes += usage.UnreadBytes
	}
	return total
}
