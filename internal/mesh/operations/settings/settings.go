package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// EnvironmentVariable is the name of the environment variable with the file's path.
const EnvironmentVariable = "QUINCEGAP_NODE_FILE"

// Settings are the settings of one process. Addresses are host:port, and empty if the process has none.
type Settings struct {
	Name         string // of the node
	Role         string // as the platform names it; not used for decisions
	MachineClass string // likewise
	IP           string // of the machine
	Zone         string
	Region       string

	InitialStart  bool   // the whole system starts for the first time, with empty disks
	DataDirectory string // empty on a machine without a disk

	ApplicationAddress string // of the endpoint beside this process; empty on a machine without one
	Service            string // of the endpoint

	MemoryMB        int     // bound on the process's memory, in MiB; 256 by default
	FileDescriptors int     // bound on its open file descriptors; 1,024 by default
	LinkMbps        float64 // rate of the machine's link, in megabits per second; 0, the default, for no bound

	InternalPorts [2]int   // first and last port for links between processes; the first one is used
	Seeds         []string // control addresses of the processes by which this one joins the mesh

	InboundAddress   string // not used: requests to the endpoint are received at InternalAddress
	OutboundAddress  string // at which clients, and the endpoint on this machine, send their requests
	ReadinessAddress string
	ControlAddress   string // at which endpoints, operators and tools call

	RegionOfZone      map[string]string
	KeepaliveInterval time.Duration // between two keepalives of an endpoint; 1.5 s by default
	ToleratedMachines int           // number of machines with a disk that may fail at the same time
	Bounds            Bounds
}

// Bounds are the bounds of the platform's rules, which the system has to keep.
type Bounds struct {
	Contact     time.Duration // for which a machine must have been in contact with the others before the rules rely on it; 3 s by default
	Drain       time.Duration // from the acknowledgement that an endpoint drains until no caller sends to it; 2.5 s by default
	Grace       time.Duration // from the signal to terminate until the process is killed; 6 s by default
	ConfigApply time.Duration // from the commit of a configuration until it is applied everywhere; 2.5 s by default
	Ack         time.Duration // from an operator's call until its acknowledgement, if the core processes can give one; 5 s by default

	RetryBudgetRatio  float64       // retries for each request; 0.2 by default
	RetryBudgetSlack  float64       // further retries in each window
	RetryBudgetWindow time.Duration // in which requests and retries are counted; 10 s by default

	QuotaWindow  time.Duration // in which a tenant's requests are counted; 5 s by default
	QuotaOverage float64       // requests beyond a tenant's limit that may pass in a window, as a fraction of what the limit allows
	QuotaSlack   float64       // further requests beyond the limit that may pass in a window
}

// InternalAddress returns the address at which peers reach this process.
func (s *Settings) InternalAddress() string { return s.PeerAddress(s.IP) }

// PeerAddress returns the internal address of the process on a machine, by the machine's IP address: all machines use the same ports.
func (s *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}

// SeedAddresses returns the internal addresses of the seeds.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, s.PeerAddress(host))
		}
	}
	return addresses
}

// Load reads and parses a settings file. The error names the file; it is trace.NotFound or another error of package trace if the file can't
// be read, else that of Parse.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(data)
	return s, trace.Wrap(err, "settings file %s", path)
}
