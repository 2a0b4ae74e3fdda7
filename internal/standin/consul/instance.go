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
	Status  string // passing, warning or critical
}

// Instance is one instance of a service, on a node.
type Instance struct {
	Service       string // that it is an instance of; of all if empty
	Node          string
	ID            string
	Address       string
	Port          int
	Meta          map[string]string
	Tags          []string
	PassingWeight int // 1 if 0
	WarningWeight int
	Checks        []Check

	createIndex uint64
}

// key identifies an instance among all.
func (i *Instance) key() string { return i.Node + "/" + i.ID }

// WithAddress returns the instance at a host:port. It panics on any other text: the caller wrote it.
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

// Fault is what the server does wrong. The zero value is a server without faults.
type Fault struct {
	Hang              bool          // answer nothing, until the fault is gone
	Refuse            bool          // close the connection at once
	Status            int           // answer with this status
	Reset             bool          // reset in the middle of the body
	Truncate          bool          // end the body in the middle, as if it were complete
	Empty             bool          // an empty list with 200, from health and, unless CatalogUnaffected, from the catalogue
	FirstHalf         bool          // the first half of the list, likewise
	NoLeader          bool          // X-Consul-KnownLeader: false
	NoIndex           bool          // no X-Consul-Index
	ContentHash       bool          // X-Consul-ContentHash in place of it, to block on
	LastContact       time.Duration // X-Consul-LastContact of stale reads
	Lag               time.Duration // delay until queries see a change
	IndexBack         uint64        // by how much the index is lower than it was
	Body              string        // answer with this instead of the list
	CatalogUnaffected bool          // the catalogue's list is right, in spite of Empty, FirstHalf and Body
	CatalogHangs      bool          // the catalogue answers nothing
}
