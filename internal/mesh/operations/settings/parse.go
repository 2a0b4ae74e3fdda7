package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"net"

	"github.com/gravitational/trace"
	toml "github.com/pelletier/go-toml/v2"
	"github.com/tidwall/gjson"
)

const (
	maxPort  = 65535         // highest port number
	maxCount = math.MaxInt32 // largest number of anything that is counted; its MiB fit into an int64 in bytes
)

// Parse parses the text of a settings file. It fails with an *InvalidError if fields are invalid, and with another trace.BadParameter if
// the text is not TOML.
func Parse(data []byte) (*Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, trace.BadParameter("not TOML: %v", err)
	}
	text, err := json.Marshal(encodable(tree))
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	fields := parser{root: gjson.ParseBytes(text)}
	var settings Settings
	fields.node(&settings)
	fields.listenAddresses(&settings)
	settings.KeepaliveInterval = fields.duration(pathKeepalive, defaultKeepalive)
	settings.ToleratedMachines = fields.count(pathToleratedMachines, 0)
	settings.Bounds = fields.bounds()
	settings.InternalPorts = fields.internalPorts()
	settings.Seeds = fields.seeds()
	settings.RegionOfZone = fields.regionOfZone()
	if len(fields.invalid) > 0 {
		return nil, &InvalidError{Fields: fields.invalid}
	}
	return &settings, nil
}

// encodable returns a value of a TOML file with each infinite number and each NaN, which JSON does not have, as text. Where a number is
// wanted, the text is then reported as invalid.
func encodable(value any) any {
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			value[key] = encodable(element)
		}
	case []any:
		for i, element := range value {
			value[i] = encodable(element)
		}
	case float64:
		if math.IsInf(value, 0) || math.IsNaN(value) {
			return fmt.Sprint(value)
		}
	}
	return value
}

// parser parses the fields of a settings file, and collects errors for the invalid ones.
type parser struct {
	root    gjson.Result // whole file
	invalid []FieldError // errors for the invalid fields, in the order in which the fields were parsed
}

// node parses the fields that describe the process and its machine.
func (p *parser) node(settings *Settings) {
	settings.Name = p.requiredText(pathName)
	settings.Role = p.text(pathRole)
	settings.MachineClass = p.text(pathMachineClass)
	settings.IP = p.ipAddress(pathIP)
	settings.Zone = p.requiredText(pathZone)
	settings.Region = p.text(pathRegion)
	settings.InitialStart = p.flag(pathInitialStart)
	settings.DataDirectory = p.text(pathDataDirectory)
	settings.ApplicationAddress = p.address(pathApplicationAddress)
	settings.Service = p.text(pathService)
	settings.MemoryMB = p.count(pathMemoryMB, defaultMemoryMB)
	settings.FileDescriptors = p.count(pathFileDescriptors, defaultFileDescriptors)
	settings.LinkMbps = p.number(pathLinkMbps, 0)
}

// listenAddresses parses the addresses on which the process listens.
func (p *parser) listenAddresses(settings *Settings) {
	settings.InboundAddress = p.address(pathInbound)
	settings.OutboundAddress = p.address(pathOutbound)
	settings.ReadinessAddress = p.address(pathReadiness)
	settings.ControlAddress = p.address(pathControl)
}

// bounds parses the bounds that the platform's rules set.
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

// internalPorts parses the first and the last internal port. It returns zeros if they are invalid.
func (p *parser) internalPorts() [2]int {
	values := p.root.Get(pathInternalPorts).Array()
	if len(values) != 2 {
		p.addInvalid(pathInternalPorts, wantedPorts)
		return [2]int{}
	}
	first, last := values[0].Int(), values[1].Int()
	if first < 1 || last > maxPort || last < first {
		p.addInvalid(pathInternalPorts, wantedPorts)
		return [2]int{}
	}
	return [2]int{int(first), int(last)}
}

// seeds parses the addresses of the seeds. It omits invalid ones.
func (p *parser) seeds() []string {
	var seeds []string
	for i, value := range p.root.Get(pathSeeds).Array() {
		if _, _, err := net.SplitHostPort(value.String()); err != nil {
			p.addInvalid(fmt.Sprintf("%s.%d", pathSeeds, i), wantedAddress)
			continue
		}
		seeds = append(seeds, value.String())
	}
	return seeds
}

// regionOfZone parses the region of each zone.
func (p *parser) regionOfZone() map[string]string {
	regions := map[string]string{}
	p.root.Get(pathZones).ForEach(func(zone, region gjson.Result) bool {
		regions[zone.String()] = region.String()
		return true
	})
	return regions
}
