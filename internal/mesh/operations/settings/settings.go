package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// EnvironmentVariable is the name of the environment variable that has the path of the settings file.
const EnvironmentVariable = "QUINCEGAP_NODE_FILE"

// Settings are the settings of one process. Addresses have the form host:port, and are empty if the process has none.
type Settings struct {
	Name         string // name of the node
	Role         string // role of the process in the platform's terms; not used for decisions
	MachineClass string // class of the machine in the platform's terms; not used for decisions
	IP           string // IP address of the machine
	Zone         string // zone of the machine
	Region       string // region of the machine

	InitialStart  bool   // whether the whole system starts for the first time, with empty disks
	DataDirectory string // folder for stored data; empty on a machine without a disk

	ApplicationAddress string // address of the endpoint on this machine; empty on a machine without one
	Service            string // name of the endpoint's service

	MemoryMB        int     // limit of the process's memory in MiB; 256 by default
	FileDescriptors int     // limit of the process's open file descriptors; 1,024 by default
	LinkMbps        float64 // capacity of the machine's link in megabits per second; 0, the default, for no limit

	InternalPorts [2]int   // first and last port for connections between processes; only the first one is used
	Seeds         []string // control addresses of the processes through which this one joins the mesh

	InboundAddress   string // address for requests to the endpoint; not used, because InternalAddress receives them
	OutboundAddress  string // address to which clients and the endpoint on this machine send requests
	ReadinessAddress string // address that serves the readiness of the process
	ControlAddress   string // address that serves control calls of endpoints, operators and tools

	RegionOfZone      map[string]string // region of each zone, by the zone's name
	KeepaliveInterval time.Duration     // time between two keepalives of an endpoint; 1.5 s by default
	ToleratedMachines int               // number of machines with a disk whose simultaneous failure is tolerated
	Bounds            Bounds            // bounds that the platform's rules set
}

// Bounds are the bounds that the platform's rules set, and that the system has to meet.
type Bounds struct {
	Contact     time.Duration // time for which a machine has to be in contact with the others before the rules count on it; 3 s by default
	Drain       time.Duration // time from the acknowledgement of an endpoint's draining until no caller sends requests to it; 2.5 s by default
	Grace       time.Duration // time from the signal to terminate until the process is killed; 6 s by default
	ConfigApply time.Duration // time from the commit of a configuration until all processes have applied it; 2.5 s by default
	Ack         time.Duration // time from an operator's call until its acknowledgement, if the core processes can give one; 5 s by default

	RetryBudgetRatio  float64       // allowed retries per request; 0.2 by default
	RetryBudgetSlack  float64       // number of retries that are allowed in each window in addition to the ratio
	RetryBudgetWindow time.Duration // window in which requests and retries are counted; 10 s by default

	QuotaWindow  time.Duration // window in which a tenant's requests are counted; 5 s by default
	QuotaOverage float64       // requests above a tenant's limit that may be admitted in a window, as a fraction of the limit
	QuotaSlack   float64       // number of requests above the limit that may be admitted in a window in addition to the overage
}

// InternalAddress returns the address at which other processes of the mesh reach this one.
func (s *Settings) InternalAddress() string { return s.PeerAddress(s.IP) }

// PeerAddress returns the internal address of the process on the machine with an IP address. All machines use the same port.
func (s *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}

// SeedAddresses returns the internal addresses of the seeds. It omits seeds whose address is invalid.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, s.PeerAddress(host))
		}
	}
	return addresses
}

// Load reads and parses the settings file of a program. The error names the file. If the file can't be read, it is trace.NotFound or
// another error of package trace. If an address on which the program listens is missing, it wraps an *InvalidError: the file may have been
// cut. Otherwise it wraps the error of Parse.
func Load(path string, program Program) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(data)
	if err == nil {
		err = s.checkAddresses(program)
	}
	if err != nil {
		return nil, trace.Wrap(err, "settings file %s", path)
	}
	return s, nil
}
