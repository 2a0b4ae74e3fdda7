package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"
	toml "github.com/pelletier/go-toml/v2"
	"github.com/tidwall/gjson"
)

// Paths of fields.
const (
	pathName               = "ownNode.nodeName"
	pathRole               = "ownNode.role"
	pathMachineClass       = "ownNode.machineClass"
	pathIP                 = "ownNode.ipAddress"
	pathZone               = "ownNode.zone"
	pathRegion             = "ownNode.region"
	pathInitialStart       = "ownNode.initialStart"
	pathDataDirectory      = "ownNode.dataDirectory"
	pathApplicationAddress = "ownNode.applicationAddr"
	pathService            = "ownNode.serviceName"
	pathMemoryMB           = "ownNode.limitSet.memoryMb"
	pathFileDescriptors    = "ownNode.limitSet.fdLimit"
	pathLinkMbps           = "ownNode.limitSet.linkMbps"

	pathInternalPorts = "network.internalPorts"
	pathSeeds         = "network.seedNodes"
	pathInbound       = "network.listenAddresses.inbound"
	pathOutbound      = "network.listenAddresses.outbound"
	pathReadiness     = "network.listenAddresses.readiness"
	pathControl       = "network.listenAddresses.control"
	pathZones         = "network.zones"

	pathKeepalive         = "platformProfile.keepalive"
	pathToleratedMachines = "termTable.faultTolerance.machines"

	pathContact           = "termTable.boundSet.contact"
	pathDrain             = "termTable.boundSet.drain"
	pathGrace             = "termTable.boundSet.grace"
	pathConfigApply       = "termTable.boundSet.configApply"
	pathAck               = "termTable.boundSet.ack"
	pathRetryBudgetRatio  = "termTable.boundSet.retryBudgetRatio"
	pathRetryBudgetSlack  = "termTable.boundSet.retryBudgetSlack"
	pathRetryBudgetWindow = "termTable.boundSet.retryWindow"
	pathQuotaWindow       = "termTable.boundSet.quotaWindow"
	pathQuotaOverage      = "termTable.boundSet.quotaOverage"
	pathQuotaSlack        = "termTable.boundSet.quotaSlack"
)

// Defaults of fields that are left out.
const (
	defaultMemoryMB        = 256
	defaultFileDescriptors = 1024
	defaultKeepalive       = 1500 * time.Millisecond

	defaultContact           = 3 * time.Second
	defaultDrain             = 2500 * time.Millisecond
	defaultGrace             = 6 * time.Second
	defaultConfigApply       = 2500 * time.Millisecond
	defaultAck               = 5 * time.Second
	defaultRetryBudgetRatio  = 0.2
	defaultRetryBudgetWindow = 10 * time.Second
	defaultQuotaWindow       = 5 * time.Second
)

const maxPort = 65535

// FieldError says what is wrong with one field.
type FieldError struct {
	Path   string // of the field, like ownNode.ipAddress
	Wanted string // for people
	Found  string // empty if the field is left out
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: wanted %s, found %q", e.Path, e.Wanted, e.Found)
}

// InvalidError says which fields of a settings file can't be used: one at least. For package trace it is a BadParameter.
type InvalidError struct{ Fields []FieldError }

// Error implements error.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "; ")
}

// Unwrap has trace.IsBadParameter report true.
func (e *InvalidError) Unwrap() error { return &trace.BadParameterError{Message: e.Error()} }

// Parse parses the text of a settings file. The error is an *InvalidError, or another trace.BadParameter if the text is not TOML.
func Parse(data []byte) (*Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, trace.BadParameter("not TOML: %v", err)
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	p := parser{root: gjson.ParseBytes(text)}
	var settings Settings
	p.node(&settings)
	p.listenAddresses(&settings)
	settings.KeepaliveInterval = p.duration(pathKeepalive, defaultKeepalive)
	settings.ToleratedMachines = int(p.number(pathToleratedMachines, 0))
	settings.Bounds = p.bounds()
	settings.InternalPorts = p.ports()
	settings.Seeds = p.seeds()
	settings.RegionOfZone = p.zones()
	if len(p.faults) > 0 {
		return nil, &InvalidError{Fields: p.faults}
	}
	return &settings, nil
}

// parser reads fields and collects all faults.
type parser struct {
	root   gjson.Result
	faults []FieldError
}

// node parses the process's own table.
func (p *parser) node(settings *Settings) {
	settings.Name = p.requiredText(pathName)
	settings.Role = p.text(pathRole)
	settings.MachineClass = p.text(pathMachineClass)
	settings.IP = p.requiredText(pathIP)
	settings.Zone = p.requiredText(pathZone)
	settings.Region = p.text(pathRegion)
	settings.InitialStart = p.flag(pathInitialStart)
	settings.DataDirectory = p.text(pathDataDirectory)
	settings.ApplicationAddress = p.address(pathApplicationAddress)
	settings.Service = p.text(pathService)
	settings.MemoryMB = int(p.number(pathMemoryMB, defaultMemoryMB))
	settings.FileDescriptors = int(p.number(pathFileDescriptors, defaultFileDescriptors))
	settings.LinkMbps = p.number(pathLinkMbps, 0)
}

// listenAddresses parses where the process listens.
func (p *parser) listenAddresses(settings *Settings) {
	settings.InboundAddress = p.address(pathInbound)
	settings.OutboundAddress = p.address(pathOutbound)
	settings.ReadinessAddress = p.address(pathReadiness)
	settings.ControlAddress = p.address(pathControl)
}

// bounds parses the figures of the rules.
func (p *parser) bounds() Bounds {
	return Bounds{
		Contact:           p.duration(pathContact, defaultContact),
		Drain:             p.duration(pathDrain, defaultDrain),
		Grace:             p.duration(pathGrace, defaultGrace),
		ConfigApply:       p.duration(pathConfigApply, defaultConfigApply),
		Ack:               p.duration(pathAck, defaultAck),
		RetryBudgetRatio:  p.number(pathRetryBudgetRatio, defaultRetryBudgetRatio),
		RetryBudgetSlack:  p.number(pathRetryBudgetSlack, 0),
		RetryBudgetWindow: p.duration(pathRetryBudgetWindow, defaultRetryBudgetWindow),
		QuotaWindow:       p.duration(pathQuotaWindow, defaultQuotaWindow),
		QuotaOverage:      p.number(pathQuotaOverage, 0),
		QuotaSlack:        p.number(pathQuotaSlack, 0),
	}
}

// ports are two ports in order.
func (p *parser) ports() [2]int {
	values := p.root.Get(pathInternalPorts).Array()
	if len(values) != 2 {
		p.fault(pathInternalPorts, wantedPorts)
		return [2]int{}
	}
	first, last := values[0].Int(), values[1].Int()
	if first < 1 || last > maxPort || last < first {
		p.fault(pathInternalPorts, wantedPorts)
		return [2]int{}
	}
	return [2]int{int(first), int(last)}
}

// seeds are addresses; one that is none is left out.
func (p *parser) seeds() []string {
	var seeds []string
	for i, value := range p.root.Get(pathSeeds).Array() {
		if _, _, err := net.SplitHostPort(value.String()); err != nil {
			p.fault(fmt.Sprintf("%s.%d", pathSeeds, i), wantedAddress)
			continue
		}
		seeds = append(seeds, value.String())
	}
	return seeds
}

// zones is the region of each zone.
func (p *parser) zones() map[string]string {
	regions := map[string]string{}
	p.root.Get(pathZones).ForEach(func(zone, region gjson.Result) bool {
		regions[zone.String()] = region.String()
		return true
	})
	return regions
}

// What was wanted, for people.
const (
	wantedText     = "a text"
	wantedAddress  = "an address like 10.0.0.4:8080"
	wantedFlag     = "true or false"
	wantedNumber   = "a number that is not negative"
	wantedDuration = "a time like 1500ms or 2.5s"
	wantedPorts    = "two ports, the first and the last"
)

// fault notes that a field can't be used.
func (p *parser) fault(path, wanted string) {
	p.faults = append(p.faults, FieldError{Path: path, Wanted: wanted, Found: p.root.Get(path).String()})
}

// text is a text that may be left out.
func (p *parser) text(path string) string {
	value := p.root.Get(path)
	if value.Exists() && value.Type != gjson.String {
		p.fault(path, wantedText)
	}
	return value.String()
}

// requiredText is a text that is not empty.
func (p *parser) requiredText(path string) string {
	value := p.root.Get(path)
	if value.Type != gjson.String || value.String() == "" {
		p.fault(path, wantedText)
	}
	return value.String()
}

// address is a host:port that may be left out.
func (p *parser) address(path string) string {
	address := p.text(path)
	if address == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		p.fault(path, wantedAddress)
	}
	return address
}

// flag is false if it is left out.
func (p *parser) flag(path string) bool {
	value := p.root.Get(path)
	if value.Exists() && !value.IsBool() {
		p.fault(path, wantedFlag)
	}
	return value.Bool()
}

// number is a number that is not negative, fallback if it is left out.
func (p *parser) number(path string, fallback float64) float64 {
	value := p.root.Get(path)
	if !value.Exists() {
		return fallback
	}
	if value.Type != gjson.Number || value.Float() < 0 {
		p.fault(path, wantedNumber)
	}
	return value.Float()
}

// duration is a time that is not negative, fallback if it is left out.
func (p *parser) duration(path string, fallback time.Duration) time.Duration {
	value := p.root.Get(path)
	if !value.Exists() {
		return fallback
	}
	d, err := time.ParseDuration(value.String())
	if err != nil || d < 0 {
		p.fault(path, wantedDuration)
	}
	return d
}
