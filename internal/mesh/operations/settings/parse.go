package settings

import (
	"encoding/json"
	"fmt"
	"net"

	"github.com/gravitational/trace"
	toml "github.com/pelletier/go-toml/v2"
	"github.com/tidwall/gjson"
)

const maxPort = 65535

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
	if len(p.invalid) > 0 {
		return nil, &InvalidError{Fields: p.invalid}
	}
	return &settings, nil
}

// parser parses fields, and collects the invalid ones.
type parser struct {
	root    gjson.Result
	invalid []FieldError
}

// node parses the fields of the process itself.
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

// listenAddresses parses the addresses at which the process listens.
func (p *parser) listenAddresses(settings *Settings) {
	settings.InboundAddress = p.address(pathInbound)
	settings.OutboundAddress = p.address(pathOutbound)
	settings.ReadinessAddress = p.address(pathReadiness)
	settings.ControlAddress = p.address(pathControl)
}

// bounds parses the bounds of the platform's rules.
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

// ports parses the first and the last internal port.
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

// seeds parses the addresses of the seeds, without invalid ones.
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

// zones parses the region of each zone.
func (p *parser) zones() map[string]string {
	regions := map[string]string{}
	p.root.Get(pathZones).ForEach(func(zone, region gjson.Result) bool {
		regions[zone.String()] = region.String()
		return true
	})
	return regions
}
