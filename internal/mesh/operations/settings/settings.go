package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// EnvironmentVariable names the environment variable that holds the file's path.
const EnvironmentVariable = "QUINCEGAP_NODE_FILE"

// Settings are those of one process. Addresses are host:port, and empty where the process has none.
type Settings struct {
	Name         string // of the node
	Role         string // as the platform calls it; no decision rests on it
	MachineClass string // likewise
	IP           string // of the machine
	Zone         string
	Region       string

	InitialStart  bool   // the whole system starts for the first time, with empty disks
	DataDirectory string // empty where there is no disk

	ApplicationAddress string // of the endpoint beside this process; empty on machines without one
	Service            string // that the endpoint belongs to

	MemoryMB        int     // that the process may use, in MiB
	FileDescriptors int     // that it may have open
	LinkMbps        float64 // of the machine's link, in megabits a second; 0 is not limited

	InternalPorts [2]int   // first and last port for links between processes; the first one is used
	Seeds         []string // control addresses of processes to start with

	InboundAddress   string // where requests of users' clients to the endpoint come in
	OutboundAddress  string // where the endpoint calls other services
	ReadinessAddress string
	ControlAddress   string // where endpoints, operators and tools call

	RegionOfZone      map[string]string
	KeepaliveInterval time.Duration // between two keepalives of an endpoint
	ToleratedMachines int           // machines with a disk that may be lost at the same time
	Bounds            Bounds
}

// Bounds are the figures of the rules that the system has to keep, by their names in the settings file.
type Bounds struct {
	Contact     time.Duration // for which a machine has to reach the others until the rules count on it
	Drain       time.Duration // from the acknowledgement that an endpoint drains until no caller sends to it
	Grace       time.Duration // from the signal to end until the process is killed
	ConfigApply time.Duration // from the commit of a configuration until it is applied everywhere
	Ack         time.Duration // from an operator's call until its acknowledgement, while the core processes can give one

	RetryBudgetRatio  float64       // retries allowed for each request
	RetryBudgetSlack  float64       // further retries in each window
	RetryBudgetWindow time.Duration // in which retries are counted

	QuotaWindow  time.Duration // in which requests of a tenant are counted
	QuotaOverage float64       // part of what a tenant's limit allows in a window that may pass beyond it
	QuotaSlack   float64       // further requests that may pass beyond it
}

// InternalAddress is the address at which this process's peers reach it.
func (s *Settings) InternalAddress() string { return s.PeerAddress(s.IP) }

// PeerAddress is the internal address of the process at an IP address: all machines have the same ports.
func (s *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}

// SeedAddresses are the seeds' internal addresses.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, s.PeerAddress(host))
		}
	}
	return addresses
}

// Load reads a settings file. The error names the file: trace.NotFound and the like if it can't be read, else that of Parse.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(data)
	return s, trace.Wrap(err, "settings file %s", path)
}
