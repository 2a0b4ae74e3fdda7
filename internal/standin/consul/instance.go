package consul

import (
	"net"
	"strconv"
	"time"
)

// Check is the result of a health check.
type Check struct {
	CheckID string
	Name    string
	Status  string // one of passing, warning and critical
}

// Instance is one instance of a service on a node.
type Instance struct {
	Service       string // service name; if empty, the instance belongs to all services
	Node          string
	ID            string
	Address       string
	Port          int
	Meta          map[string]string
	Tags          []string
	PassingWeight int // weight while checks pass; 0 counts as 1
	WarningWeight int
	Checks        []Check

	createIndex uint64 // index at which the instance was registered; 0 until Server.Update sets it
}

// key returns a key that is unique among all instances.
func (i *Instance) key() string { return i.Node + "/" + i.ID }

// WithAddress returns a copy of the instance with its address and port set from host:port. It panics if hostPort is invalid, because
// callers pass constants.
func (i Instance) WithAddress(hostPort string) Instance {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil {
		panic(err)
	}
	if i.Port, err = strconv.Atoi(port); err != nil {
		panic(err)
	}
	i.Address = host
	return i
}

// Fault describes how the server misbehaves. The zero value injects no faults.
type Fault struct {
	Hang              bool          // queries get no response until the fault is removed
	Refuse            bool          // the connection is closed without a response
	Status            int           // HTTP status of an error response to each query; 0 for none
	Reset             bool          // the connection is reset in the middle of the body
	Truncate          bool          // the body ends in the middle, without an error
	Empty             bool          // health, and the catalog unless CatalogUnaffected, return 200 with an empty list
	FirstHalf         bool          // health, and the catalog unless CatalogUnaffected, return only the first half of the list
	NoLeader          bool          // responses carry X-Consul-KnownLeader: false
	NoIndex           bool          // responses lack X-Consul-Index
	ContentHash       bool          // responses carry X-Consul-ContentHash to block on, instead of X-Consul-Index
	LastContact       time.Duration // value of X-Consul-LastContact in responses to stale reads
	Lag               time.Duration // delay until queries see a change
	IndexBack         uint64        // amount by which the reported index is lowered
	Body              string        // body of responses instead of the list; empty for none
	CatalogUnaffected bool          // the catalog returns the correct list despite Empty, FirstHalf and Body
	CatalogHangs      bool          // catalog queries get no response
}
