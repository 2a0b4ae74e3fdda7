package configuration

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"
)

// The limits of a configuration that doesn't give them.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// maxFaults bounds how many faults an error lists.
const maxFaults = 100

// Parse reads a configuration. The error is a trace.BadParameter that lists every fault by its path, with what was expected.
// Unknown fields are ignored, and a known one is a fault only if it can't be used: an operator whose valid
// configuration is refused gives it up.
func Parse(raw []byte) (*Config, error) {
	if exceedsMaxDepth(raw) || !gjson.ValidBytes(raw) {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	root := gjson.ParseBytes(raw)
	if !root.IsObject() {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	r := parser{interned: map[string]string{}, fields: fieldSet{}}
	c := &Config{Raw: raw, routesByHost: map[string]*prefixNode{}, tenantsByKey: map[string]*Tenant{}}
	c.Version = r.version(root.Get(fieldConfigVersion))
	r.services(c, root.Get(fieldServiceTable))
	r.routes(c, root.Get(fieldRouteTable))
	r.limits(c, root.Get(fieldLimitSet))
	r.tenants(c, root.Get(fieldTenantTable))
	if len(r.faults) > 0 {
		return nil, trace.BadParameter("%s", strings.Join(r.faults, "; "))
	}
	return c, nil
}

// exceedsMaxDepth reports whether lists and objects may lie so deep within each other that a parser's stack would overflow, which would
// end the process. What we know lies five deep.
func exceedsMaxDepth(raw []byte) bool {
	depth, text := 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case text && c == '\\':
			i++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			if depth++; depth > 1000 {
				return true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return false
}

// parser gathers the faults.
type parser struct {
	faults   []string
	fields   fieldSet          // of the route that is being read
	interned map[string]string // texts that are kept, each once, and not as a part of the whole body
}

func (p *parser) addFault(path, expected string, args ...any) {
	if len(p.faults) < maxFaults {
		p.faults = append(p.faults, path+": expected "+fmt.Sprintf(expected, args...))
	}
}

func (p *parser) intern(s string) string {
	k, ok := p.interned[s]
	if !ok {
		k = strings.Clone(s)
		p.interned[k] = k
	}
	return k
}

func isPresent(v gjson.Result) bool { return v.Exists() && v.Type != gjson.Null }

func (p *parser) version(v gjson.Result) Version {
	version, err := ParseVersion(v.Str)
	if v.Type != gjson.String || err != nil || version == 0 {
		p.addFault(fieldConfigVersion, "r and a number above 0, not %s", describe(v))
	}
	return version
}

// describe is what is there in place of what was expected.
func describe(v gjson.Result) string {
	switch {
	case !v.Exists():
		return "nothing"
	case len(v.Raw) > 60:
		return v.Raw[:60] + "..."
	}
	return v.Raw
}

// forEach calls f for the elements of a list; what isn't there is an empty one.
func (p *parser) forEach(path string, list gjson.Result, f func(path string, v gjson.Result)) {
	if !isPresent(list) {
		return
	}
	if !list.IsArray() {
		p.addFault(path, "a list, not %s", describe(list))
		return
	}
	i := 0
	list.ForEach(func(_, v gjson.Result) bool {
		f(path+"."+strconv.Itoa(i), v)
		i++
		return true
	})
}

// forEachObject is each for a list of objects.
func (p *parser) forEachObject(path string, list gjson.Result, f func(path string, v gjson.Result)) {
	p.forEach(path, list, func(path string, v gjson.Result) {
		if !v.IsObject() {
			p.addFault(path, "an object, not %s", describe(v))
			return
		}
		f(path, v)
	})
}

func (p *parser) text(path string, v gjson.Result) string {
	if v.Type != gjson.String {
		p.addFault(path, "a text, not %s", describe(v))
		return ""
	}
	return p.intern(v.Str)
}

func (p *parser) name(path string, v gjson.Result) string {
	s := p.text(path, v)
	if s == "" && v.Type == gjson.String {
		p.addFault(path, "a text that isn't empty")
	}
	return s
}

func (p *parser) number(path string, v gjson.Result, missing float64) float64 {
	if !isPresent(v) {
		return missing
	}
	if v.Type != gjson.Number || math.IsInf(v.Num, 0) || math.IsNaN(v.Num) {
		p.addFault(path, "a number, not %s", describe(v))
		return missing
	}
	return v.Num
}

// integer is a number without its fraction, within what an int32 holds.
func (p *parser) integer(path string, v gjson.Result, missing int) int {
	return int(max(math.MinInt32, min(math.MaxInt32, p.number(path, v, float64(missing)))))
}

// duration reads a time: a number and its unit, ms or s.
func (p *parser) duration(path string, v gjson.Result, missing time.Duration) time.Duration {
	if !isPresent(v) {
		return missing
	}
	d, ok := parseDuration(v.Str)
	if v.Type != gjson.String || !ok {
		p.addFault(path, "a number with its unit, ms or s, not %s", describe(v))
	}
	return d
}

func parseDuration(s string) (time.Duration, bool) {
	unit := float64(time.Second)
	number, ok := strings.CutSuffix(s, unitMilliseconds)
	if ok {
		unit = float64(time.Millisecond)
	} else if number, ok = strings.CutSuffix(s, unitSeconds); !ok {
		return 0, false
	}
	x, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, false
	}
	return time.Duration(max(-1<<62, min(1<<62, math.Round(x*unit)))), true
}

func (p *parser) boolean(path string, v gjson.Result) bool {
	if isPresent(v) && !v.IsBool() {
		p.addFault(path, "true or false, not %s", describe(v))
	}
	return v.Type == gjson.True
}

func (p *parser) services(c *Config, table gjson.Result) {
	p.forEachObject(fieldServiceTable, table, func(path string, v gjson.Result) {
		s := Service{
			Name:          p.name(path+"."+fieldName, v.Get(fieldName)),
			HealthPath:    defaultHealthPath,
			ConnectionCap: max(0, p.integer(path+"."+fieldConnectionCap, v.Get(fieldConnectionCap), 0)),
		}
		if result := v.Get(fieldHealthPath); isPresent(result) {
			s.HealthPath = p.text(path+"."+fieldHealthPath, result)
		}
		c.Services = append(c.Services, s)
	})
}

func (p *parser) routes(c *Config, table gjson.Result) {
	if !table.Exists() {
		p.addFault(fieldRouteTable, "a list, not nothing")
	}
	known := map[string]bool{}
	for i := range c.Services {
		known[c.Services[i].Name] = true
	}
	var paths []string
	p.forEachObject(fieldRouteTable, table, func(path string, v gjson.Result) {
		c.Routes = append(c.Routes, p.route(path, v, known))
		paths = append(paths, path)
	})
	for i := range c.Routes { // which don't move any more
		if other := c.addToIndex(&c.Routes[i]); other != nil {
			p.addFault(paths[i], "a host and a prefix of its own, not those of %q: %q %q", other.Name, other.Host, other.Prefix)
		}
	}
}

// fieldSet are the fields of a route by their names. Of a field that is there twice the first one counts, as in gjson's paths,
// which would go through the route once for each.
type fieldSet map[string]gjson.Result

func (f fieldSet) Get(name string) gjson.Result { return f[name] }

func (p *parser) route(path string, object gjson.Result, known map[string]bool) Route {
	v := p.fields
	clear(v)
	object.ForEach(func(key, value gjson.Result) bool {
		if _, ok := v[key.Str]; !ok {
			v[key.Str] = value
		}
		return true
	})
	route := Route{
		Host:        p.name(path+"."+fieldHostName, v.Get(fieldHostName)),
		Prefix:      p.text(path+"."+fieldPathPrefix, v.Get(fieldPathPrefix)),
		Timeout:     p.duration(path+"."+fieldTimeout, v.Get(fieldTimeout), 0),
		Target:      p.duration(path+"."+fieldTarget, v.Get(fieldTarget), 0),
		Priority:    p.integer(path+"."+fieldPriority, v.Get(fieldPriority), 0),
		MaxAttempts: max(1, p.integer(path+"."+fieldMaxAttempts, v.Get(fieldMaxAttempts), 1)),
		Public:      p.boolean(path+"."+fieldPublicAccess, v.Get(fieldPublicAccess)),
	}
	if name := v.Get(fieldName); isPresent(name) {
		route.Name = p.text(path+"."+fieldName, name)
	}
	switch v.Get(fieldRouteKind).String() {
	case kindIdempotent:
		route.Kind = Idempotent
	case kindDownlink:
		route.Kind = Downlink
	}
	if route.Timeout <= 0 {
		p.addFault(path+"."+fieldTimeout, "a time above 0, not %s", describe(v.Get(fieldTimeout)))
	}
	refer := func(path string, v gjson.Result) string {
		s := p.name(path, v)
		if s != "" && !known[s] {
			p.addFault(path, "a service of serviceTable, not %q", s)
		}
		return s
	}
	var sum float64
	p.forEachObject(path+"."+fieldTrafficSplit, v.Get(fieldTrafficSplit), func(path string, v gjson.Result) {
		s := WeightedService{
			Service: refer(path+"."+fieldServiceName, v.Get(fieldServiceName)),
			Weight:  p.number(path+"."+fieldWeight, v.Get(fieldWeight), 0),
		}
		if s.Weight < 0 {
			p.addFault(path+"."+fieldWeight, "0 or more, not %s", describe(v.Get(fieldWeight)))
		}
		sum += s.Weight
		route.Split = append(route.Split, s)
	})
	service := v.Get(fieldServiceName)
	switch {
	case isPresent(service):
		if s := refer(path+"."+fieldServiceName, service); len(route.Split) == 0 {
			route.Split = []WeightedService{{Service: s, Weight: 1}}
		}
	case len(route.Split) == 0:
		p.addFault(path, "a serviceName or a trafficSplit")
	}
	if len(route.Split) > 0 && sum <= 0 && !isPresent(service) {
		p.addFault(path+"."+fieldTrafficSplit, "a weight above 0")
	} else if sum <= 0 && isPresent(service) {
		route.Split = []WeightedService{{Service: p.intern(service.Str), Weight: 1}}
	}
	return route
}

func (p *parser) limits(c *Config, v gjson.Result) {
	if isPresent(v) && !v.IsObject() {
		p.addFault(fieldLimitSet, "an object, not %s", describe(v))
		return
	}
	size := func(name string, missing int64) int64 {
		if n := p.number(fieldLimitSet+"."+name, v.Get(name), 0); n >= 1 {
			return int64(min(n, 1<<62))
		}
		return missing
	}
	span := func(name string, missing time.Duration) time.Duration {
		if d := p.duration(fieldLimitSet+"."+name, v.Get(name), 0); d > 0 {
			return d
		}
		return missing
	}
	c.Limits = Limits{
		HeaderMax: size(fieldHeaderMaxBytes, defaultMaxHeaderBytes), BodyMax: size(fieldBodyMaxBytes, defaultMaxBodyBytes),
		HeaderTimeout: span(fieldHeaderTimeout, defaultHeaderTimeout), IdleTimeout: span(fieldIdleTimeout, defaultIdleTimeout),
	}
}

func (p *parser) tenants(c *Config, table gjson.Result) {
	c.HasTenantTable = isPresent(table)
	holders := map[string]int{}
	p.forEachObject(fieldTenantTable, table, func(path string, v gjson.Result) {
		t := Tenant{
			Name:     p.name(path+"."+fieldName, v.Get(fieldName)),
			Priority: p.integer(path+"."+fieldPriority, v.Get(fieldPriority), 0),
			Rate:     max(0, p.number(path+"."+fieldRatePerS, v.Get(fieldRatePerS), 0)),
			Burst:    max(0, p.number(path+"."+fieldBurstSize, v.Get(fieldBurstSize), 0)),
		}
		at := len(c.Tenants)
		p.forEach(path+"."+fieldAccessKeys, v.Get(fieldAccessKeys), func(path string, v gjson.Result) {
			key := p.name(path, v)
			if key == "" {
				return
			}
			switch holder, held := holders[key]; {
			case !held:
				holders[key] = at
				t.Keys = append(t.Keys, key)
			case holder != at:
				p.addFault(path, "a key of its own, not one of tenant %q", c.Tenants[holder].Name)
			}
		})
		c.Tenants = append(c.Tenants, t)
	})
	for key, at := range holders {
		c.tenantsByKey[key] = &c.Tenants[at]
	}
}
