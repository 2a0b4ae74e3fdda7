package assembly

import (
	"runtime/debug"

	"quincegap/internal/mesh/transport/membudget"
)

// Fractions of the machine's memory. What is left is for everything else that the process holds, and for garbage that is not collected yet.
const (
	requestMemoryFraction     = 0.3  // for the bodies of clients' requests, and as much for the calls of peers
	allRequestsMemoryFraction = 0.7  // for both together, on machines where largestRequestBytes is more than requestMemoryFraction
	answerMemoryFraction      = 0.06 // for answers, beyond what requests may use
	heapFraction              = 0.88 // the runtime's soft limit of all memory, less the receive buffers of open connections
	receiveMemoryFraction     = 0.05 // for the receive buffers of clients, and as much for those of links
)

// heapLimitStep is the change of the receive buffers in bytes from which the soft limit of memory follows it.
const heapLimitStep = 1 << 20

// largestRequestBytes is the size of the largest request: the largest body that a configuration may allow, and its header. It is more than
// controlplane.MaxProcessingBytes.
const largestRequestBytes = 68 << 20

// memoryPools are the pools that the messages of a process share its memory by.
type memoryPools struct {
	bodies      *membudget.Pool // bodies of clients' requests, or of operators' changes
	calls       *membudget.Pool // calls of peers
	answers     *membudget.Pool // answers of the endpoint and of peers, which may also use what requests leave
	processing  *membudget.Pool // what operators' changes take while they are parsed and committed
	connections *membudget.Pool // clients' connections and headers
	receive     *membudget.Pool // receive buffers of connections
	linkReceive *membudget.Pool // receive buffers of links
}

// receiveBytes returns the memory of the receive buffers of all open connections.
func (m *memoryPools) receiveBytes() int64 { return m.receive.Used() + m.linkReceive.Used() }

// heapLimit is the runtime's soft limit of memory.
type heapLimit struct {
	reservedBytes int64 // memory that the limit leaves to receive buffers
	set           bool
}

// adjust sets the limit for a machine with a number of bytes of memory, so that it leaves room for receive buffers. The runtime stops all
// goroutines for that, so small changes of the buffers are passed over.
func (h *heapLimit) adjust(machineBytes, receiveBytes int64) {
	if change := receiveBytes - h.reservedBytes; h.set && max(change, -change) < heapLimitStep {
		return
	}
	h.set = true
	h.reservedBytes = receiveBytes
	debug.SetMemoryLimit(int64(heapFraction*float64(machineBytes)) - receiveBytes)
}

// newMemoryPools returns the pools of a machine with a number of bytes of memory. Each pool fits the largest request if the others are
// empty.
func newMemoryPools(machineBytes int64) memoryPools {
	fraction := func(f float64) int64 { return int64(f * float64(machineBytes)) }
	requestLimit := max(fraction(requestMemoryFraction), largestRequestBytes)
	allRequests := max(min(2*requestLimit, fraction(allRequestsMemoryFraction)), largestRequestBytes)
	total := allRequests + fraction(answerMemoryFraction)
	budget := new(membudget.Budget)
	return memoryPools{
		bodies:      budget.Pool(requestLimit, allRequests),
		calls:       budget.Pool(requestLimit, allRequests),
		answers:     budget.Pool(total, total),
		processing:  budget.Pool(requestLimit, allRequests),
		connections: budget.Pool(requestLimit, allRequests),
		receive:     budget.Pool(fraction(receiveMemoryFraction), total),
		linkReceive: budget.Pool(fraction(receiveMemoryFraction), total),
	}
}
