// Package settings reads the settings file that the platform writes for each process; its path is in QUINCEGAP_NODE_FILE. Fields are
// read by their gjson paths; unknown ones are ignored.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	toml "github.com/pelletier/go-toml/v2"
	"github.com/tidwall/gjson"
)

// EnvironmentVariable names the environment variable that holds the file's path.
const EnvironmentVariable = "QUINCEGAP_NODE_FILE"

// Settings are those of one process.
type Settings struct {
	Name, Role, MachineClass         string
	IP, Zone, Region                 string
	InitialStart                     bool
	DataDirectory                    string // for data; empty where there is no disk
	ApplicationAddress, Service      string // the endpoint beside it, and its service; empty on machines without one
	MemoryMB, FileDescriptors        int
	LinkMbps                         float64
	InternalPorts                    [2]int // the first and last port for connections between processes
	Seeds                            []string
	InboundAddress, OutboundAddress  string
	ReadinessAddress, ControlAddress string
	RegionOfZone                     map[string]string // by zone
	KeepaliveInterval                time.Duration
	ToleratedMachines                int // machines with a disk that may be lost at once
	Bounds                           Bounds
}

// Bounds are the limits that the system has to keep, times and counts.
type Bounds struct {
	Contact, Drain, Grace, ConfigApply, Ack time.Duration
	RetryBudgetRatio, RetryBudgetSlack      float64
	RetryBudgetWindow, QuotaWindow          time.Duration
	QuotaOverage, QuotaSlack                float64
}

// InternalAddress is the address at which this process's peers reach it.
func (s *Settings) InternalAddress() string { return s.PeerAddress(s.IP) }

// PeerAddress is the internal address of the process at an IP: all machines have the same ports.
func (s *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}

// SeedAddresses are the seeds' internal addresses.
func (s *Settings) SeedAddresses() []string {
	var out []string
	for _, a := range s.Seeds {
		if host, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, s.PeerAddress(host))
		}
	}
	return out
}

// Load reads a settings file. The error names the file, and each field that can't be used.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(data)
	return s, trace.Wrap(err, "settings file %s", path)
}

// Parse reads settings.
func Parse(data []byte) (*Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, trace.BadParameter("not TOML: %v", err)
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	r := parser{root: gjson.ParseBytes(text)}
	s := &Settings{
		Name: r.text("ownNode.nodeName", true), Role: r.text("ownNode.role", false),
		MachineClass: r.text("ownNode.machineClass", false), IP: r.text("ownNode.ipAddress", true),
		Zone: r.text("ownNode.zone", true), Region: r.text("ownNode.region", false),
		InitialStart: r.flag("ownNode.initialStart"), DataDirectory: r.text("ownNode.dataDirectory", false),
		ApplicationAddress: r.address("ownNode.applicationAddr"), Service: r.text("ownNode.serviceName", false),
		MemoryMB: int(r.number("ownNode.limitSet.memoryMb", 256)), FileDescriptors: int(r.number("ownNode.limitSet.fdLimit", 1024)),
		LinkMbps:       r.number("ownNode.limitSet.linkMbps", 0),
		InboundAddress: r.address("network.listenAddresses.inbound"), OutboundAddress: r.address("network.listenAddresses.outbound"),
		ReadinessAddress: r.address("network.listenAddresses.readiness"), ControlAddress: r.address("network.listenAddresses.control"),
		KeepaliveInterval: r.time("platformProfile.keepalive", 1500*time.Millisecond), RegionOfZone: map[string]string{},
		ToleratedMachines: int(r.number("termTable.faultTolerance.machines", 0)),
	}
	const b = "termTable.boundSet."
	s.Bounds = Bounds{
		Contact: r.time(b+"contact", 3*time.Second), Drain: r.time(b+"drain", 2500*time.Millisecond),
		Grace: r.time(b+"grace", 6*time.Second), ConfigApply: r.time(b+"configApply", 2500*time.Millisecond),
		Ack: r.time(b+"ack", 5*time.Second), RetryBudgetRatio: r.number(b+"retryBudgetRatio", 0.2),
		RetryBudgetSlack: r.number(b+"retryBudgetSlack", 0), RetryBudgetWindow: r.time(b+"retryWindow", 10*time.Second),
		QuotaWindow: r.time(b+"quotaWindow", 5*time.Second), QuotaOverage: r.number(b+"quotaOverage", 0),
		QuotaSlack: r.number(b+"quotaSlack", 0),
	}
	ports := r.root.Get("network.internalPorts").Array()
	if len(ports) != 2 || ports[0].Int() < 1 || ports[1].Int() > 65535 || ports[1].Int() < ports[0].Int() {
		r.fault("network.internalPorts", "two ports, the first and the last")
	} else {
		s.InternalPorts = [2]int{int(ports[0].Int()), int(ports[1].Int())}
	}
	for i, x := range r.root.Get("network.seedNodes").Array() {
		if _, _, err := net.SplitHostPort(x.String()); err != nil {
			r.fault(fmt.Sprintf("network.seedNodes.%d", i), "an address like 10.0.0.4:8080")
			continue
		}
		s.Seeds = append(s.Seeds, x.String())
	}
	r.root.Get("network.zones").ForEach(func(k, v gjson.Result) bool {
		s.RegionOfZone[k.String()] = v.String()
		return true
	})
	if len(r.faults) > 0 {
		return nil, trace.BadParameter("%s", strings.Join(r.faults, "; "))
	}
	return s, nil
}

// parser reads fields and collects every fault.
type parser struct {
	root   gjson.Result
	faults []string
}

func (p *parser) fault(path, want string) {
	p.faults = append(p.faults, fmt.Sprintf("%s: wanted %s, found %q", path, want, p.root.Get(path).String()))
}

func (p *parser) text(path string, must bool) string {
	x := p.root.Get(path)
	if x.Exists() && x.Type != gjson.String || must && x.String() == "" {
		p.fault(path, "a text")
	}
	return x.String()
}

func (p *parser) address(path string) string {
	s := p.text(path, false)
	if _, _, err := net.SplitHostPort(s); s != "" && err != nil {
		p.fault(path, "an address like 10.0.0.4:8080")
	}
	return s
}

func (p *parser) flag(path string) bool {
	x := p.root.Get(path)
	if x.Exists() && !x.IsBool() {
		p.fault(path, "true or false")
	}
	return x.Bool()
}

func (p *parser) number(path string, or float64) float64 {
	x := p.root.Get(path)
	if !x.Exists() {
		return or
	}
	if x.Type != gjson.Number || x.Float() < 0 {
		p.fault(path, "a number that is not negative")
	}
	return x.Float()
}

func (p *parser) time(path string, or time.Duration) time.Duration {
	x := p.root.Get(path)
	if !x.Exists() {
		return or
	}
	d, err := time.ParseDuration(x.String())
	if err != nil || d < 0 {
		p.fault(path, "a time like 1500ms or 2.5s")
	}
	return d
}
