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

// Variable names the environment variable that holds the file's path.
const Variable = "QUINCEGAP_NODE_FILE"

// Settings are those of one process.
type Settings struct {
	Name, Role, Class     string
	IP, Zone, Region      string
	InitialStart          bool
	Folder                string // for data; empty where there is no disk
	App, Service          string // the endpoint beside it, and its service; empty on machines without one
	MemoryMB, Descriptors int
	LinkMbps              float64
	Ports                 [2]int // the first and last port for connections between processes
	Seeds                 []string
	Inbound, Outbound     string
	Readiness, Control    string
	Regions               map[string]string // by zone
	Keepalive             time.Duration
	Tolerated             int // machines with a disk that may be lost at once
	Bounds                Bounds
}

// Bounds are the limits that the system has to keep, times and counts.
type Bounds struct {
	Contact, Drain, Grace, ConfigApply, Ack time.Duration
	BudgetRatio, BudgetSlack                float64
	BudgetWindow, QuotaWindow               time.Duration
	QuotaOverage, QuotaSlack                float64
}

// Internal is the address at which this process's peers reach it.
func (s *Settings) Internal() string { return s.Peer(s.IP) }

// Peer is the internal address of the process at an IP: all machines have the same ports.
func (s *Settings) Peer(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(s.Ports[0])) }

// SeedPeers are the seeds' internal addresses.
func (s *Settings) SeedPeers() []string {
	var out []string
	for _, a := range s.Seeds {
		if host, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, s.Peer(host))
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
	s, err := Read(data)
	return s, trace.Wrap(err, "settings file %s", path)
}

// Read reads settings.
func Read(data []byte) (*Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, trace.BadParameter("not TOML: %v", err)
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	r := reader{root: gjson.ParseBytes(text)}
	s := &Settings{
		Name: r.text("ownNode.nodeName", true), Role: r.text("ownNode.role", false),
		Class: r.text("ownNode.machineClass", false), IP: r.text("ownNode.ipAddress", true),
		Zone: r.text("ownNode.zone", true), Region: r.text("ownNode.region", false),
		InitialStart: r.flag("ownNode.initialStart"), Folder: r.text("ownNode.dataDirectory", false),
		App: r.address("ownNode.applicationAddr"), Service: r.text("ownNode.serviceName", false),
		MemoryMB: int(r.number("ownNode.limitSet.memoryMb", 256)), Descriptors: int(r.number("ownNode.limitSet.fdLimit", 1024)),
		LinkMbps: r.number("ownNode.limitSet.linkMbps", 0),
		Inbound:  r.address("network.listenAddresses.inbound"), Outbound: r.address("network.listenAddresses.outbound"),
		Readiness: r.address("network.listenAddresses.readiness"), Control: r.address("network.listenAddresses.control"),
		Keepalive: r.time("platformProfile.keepalive", 1500*time.Millisecond), Regions: map[string]string{},
		Tolerated: int(r.number("termTable.faultTolerance.machines", 0)),
	}
	const b = "termTable.boundSet."
	s.Bounds = Bounds{
		Contact: r.time(b+"contact", 3*time.Second), Drain: r.time(b+"drain", 2500*time.Millisecond),
		Grace: r.time(b+"grace", 6*time.Second), ConfigApply: r.time(b+"configApply", 2500*time.Millisecond),
		Ack: r.time(b+"ack", 5*time.Second), BudgetRatio: r.number(b+"retryBudgetRatio", 0.2),
		BudgetSlack: r.number(b+"retryBudgetSlack", 0), BudgetWindow: r.time(b+"retryWindow", 10*time.Second),
		QuotaWindow: r.time(b+"quotaWindow", 5*time.Second), QuotaOverage: r.number(b+"quotaOverage", 0),
		QuotaSlack: r.number(b+"quotaSlack", 0),
	}
	ports := r.root.Get("network.internalPorts").Array()
	if len(ports) != 2 || ports[0].Int() < 1 || ports[1].Int() > 65535 || ports[1].Int() < ports[0].Int() {
		r.fault("network.internalPorts", "two ports, the first and the last")
	} else {
		s.Ports = [2]int{int(ports[0].Int()), int(ports[1].Int())}
	}
	for i, x := range r.root.Get("network.seedNodes").Array() {
		if _, _, err := net.SplitHostPort(x.String()); err != nil {
			r.fault(fmt.Sprintf("network.seedNodes.%d", i), "an address like 10.0.0.4:8080")
			continue
		}
		s.Seeds = append(s.Seeds, x.String())
	}
	r.root.Get("network.zones").ForEach(func(k, v gjson.Result) bool {
		s.Regions[k.String()] = v.String()
		return true
	})
	if len(r.faults) > 0 {
		return nil, trace.BadParameter("%s", strings.Join(r.faults, "; "))
	}
	return s, nil
}

// reader reads fields and collects every fault.
type reader struct {
	root   gjson.Result
	faults []string
}

func (r *reader) fault(path, want string) {
	r.faults = append(r.faults, fmt.Sprintf("%s: wanted %s, found %q", path, want, r.root.Get(path).String()))
}

func (r *reader) text(path string, must bool) string {
	x := r.root.Get(path)
	if x.Exists() && x.Type != gjson.String || must && x.String() == "" {
		r.fault(path, "a text")
	}
	return x.String()
}

func (r *reader) address(path string) string {
	s := r.text(path, false)
	if _, _, err := net.SplitHostPort(s); s != "" && err != nil {
		r.fault(path, "an address like 10.0.0.4:8080")
	}
	return s
}

func (r *reader) flag(path string) bool {
	x := r.root.Get(path)
	if x.Exists() && !x.IsBool() {
		r.fault(path, "true or false")
	}
	return x.Bool()
}

func (r *reader) number(path string, or float64) float64 {
	x := r.root.Get(path)
	if !x.Exists() {
		return or
	}
	if x.Type != gjson.Number || x.Float() < 0 {
		r.fault(path, "a number that is not negative")
	}
	return x.Float()
}

func (r *reader) time(path string, or time.Duration) time.Duration {
	x := r.root.Get(path)
	if !x.Exists() {
		return or
	}
	d, err := time.ParseDuration(x.String())
	if err != nil || d < 0 {
		r.fault(path, "a time like 1500ms or 2.5s")
	}
	return d
}
