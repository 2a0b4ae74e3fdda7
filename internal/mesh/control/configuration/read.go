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
	headerMax     = 16 << 10
	bodyMax       = 64 << 20
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// faultsMax bounds how many faults an error lists.
const faultsMax = 100

// Read reads a configuration. The error is a trace.BadParameter that lists every fault by its path, with what was expected.
// Unknown fields are ignored, and a known one is a fault only if it can't be used: an operator whose valid
// configuration is refused gives it up.
func Read(raw []byte) (*Config, error) {
	if tooDeep(raw) || !gjson.ValidBytes(raw) {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	root := gjson.ParseBytes(raw)
	if !root.IsObject() {
		return nil, trace.BadParameter("the body: expected one whole JSON object")
	}
	r := reader{names: map[string]string{}, fields: fields{}}
	c := &Config{Raw: raw, hosts: map[string]*branch{}, holders: map[string]*Tenant{}}
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

// tooDeep reports whether lists and objects may lie so deep within each other that a parser's stack would overflow, which would
// end the process. What we know lies five deep.
func tooDeep(raw []byte) bool {
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

// reader gathers the faults.
type reader struct {
	faults []string
	fields fields            // of the route that is being read
	names  map[string]string // texts that are kept, each once, and not as a part of the whole body
}

func (r *reader) fault(path, expected string, args ...any) {
	if len(r.faults) < faultsMax {
		r.faults = append(r.faults, path+": expected "+fmt.Sprintf(expected, args...))
	}
}

func (r *reader) keep(s string) string {
	k, ok := r.names[s]
	if !ok {
		k = strings.Clone(s)
		r.names[k] = k
	}
	return k
}

func there(v gjson.Result) bool { return v.Exists() && v.Type != gjson.Null }

func (r *reader) version(v gjson.Result) Version {
	version, err := ParseVersion(v.Str)
	if v.Type != gjson.String || err != nil || version == 0 {
		r.fault(fieldConfigVersion, "r and a number above 0, not %s", found(v))
	}
	return version
}

// found is what is there in place of what was expected.
func found(v gjson.Result) string {
	switch {
	case !v.Exists():
		return "nothing"
	case len(v.Raw) > 60:
		return v.Raw[:60] + "..."
	}
	return v.Raw
}

// each calls f for the elements of a list; what isn't there is an empty one.
func (r *reader) each(path string, list gjson.Result, f func(path string, v gjson.Result)) {
	if !there(list) {
		return
	}
	if !list.IsArray() {
		r.fault(path, "a list, not %s", found(list))
		return
	}
	i := 0
	list.ForEach(func(_, v gjson.Result) bool {
		f(path+"."+strconv.Itoa(i), v)
		i++
		return true
	})
}

// objects is each for a list of objects.
func (r *reader) objects(path string, list gjson.Result, f func(path string, v gjson.Result)) {
	r.each(path, list, func(path string, v gjson.Result) {
		if !v.IsObject() {
			r.fault(path, "an object, not %s", found(v))
			return
		}
		f(path, v)
	})
}

func (r *reader) text(path string, v gjson.Result) string {
	if v.Type != gjson.String {
		r.fault(path, "a text, not %s", found(v))
		return ""
	}
	return r.keep(v.Str)
}

func (r *reader) name(path string, v gjson.Result) string {
	s := r.text(path, v)
	if s == "" && v.Type == gjson.String {
		r.fault(path, "a text that isn't empty")
	}
	return s
}

func (r *reader) number(path string, v gjson.Result, missing float64) float64 {
	if !there(v) {
		return missing
	}
	if v.Type != gjson.Number || math.IsInf(v.Num, 0) || math.IsNaN(v.Num) {
		r.fault(path, "a number, not %s", found(v))
		return missing
	}
	return v.Num
}

// whole is a number without its fraction, within what an int32 holds.
func (r *reader) whole(path string, v gjson.Result, missing int) int {
	return int(max(math.MinInt32, min(math.MaxInt32, r.number(path, v, float64(missing)))))
}

// span reads a time: a number and its unit, ms or s.
func (r *reader) span(path string, v gjson.Result, missing time.Duration) time.Duration {
	if !there(v) {
		return missing
	}
	d, ok := parseSpan(v.Str)
	if v.Type != gjson.String || !ok {
		r.fault(path, "a number with its unit, ms or s, not %s", found(v))
	}
	return d
}

func parseSpan(s string) (time.Duration, bool) {
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

func (r *reader) flag(path string, v gjson.Result) bool {
	if there(v) && !v.IsBool() {
		r.fault(path, "true or false, not %s", found(v))
	}
	return v.Type == gjson.True
}

func (r *reader) services(c *Config, table gjson.Result) {
	r.objects(fieldServiceTable, table, func(path string, v gjson.Result) {
		s := Service{
			Name:          r.name(path+"."+fieldName, v.Get(fieldName)),
			HealthPath:    defaultHealthPath,
			ConnectionCap: max(0, r.whole(path+"."+fieldConnectionCap, v.Get(fieldConnectionCap), 0)),
		}
		if p := v.Get(fieldHealthPath); there(p) {
			s.HealthPath = r.text(path+"."+fieldHealthPath, p)
		}
		c.Services = append(c.Services, s)
	})
}

func (r *reader) routes(c *Config, table gjson.Result) {
	if !table.Exists() {
		r.fault(fieldRouteTable, "a list, not nothing")
	}
	known := map[string]bool{}
	for i := range c.Services {
		known[c.Services[i].Name] = true
	}
	var paths []string
	r.objects(fieldRouteTable, table, func(path string, v gjson.Result) {
		c.Routes = append(c.Routes, r.route(path, v, known))
		paths = append(paths, path)
	})
	for i := range c.Routes { // which don't move any more
		if other := c.plant(&c.Routes[i]); other != nil {
			r.fault(paths[i], "a host and a prefix of its own, not those of %q: %q %q", other.Name, other.Host, other.Prefix)
		}
	}
}

// fields are the fields of a route by their names. Of a field that is there twice the first one counts, as in gjson's paths,
// which would go through the route once for each.
type fields map[string]gjson.Result

func (f fields) Get(name string) gjson.Result { return f[name] }

func (r *reader) route(path string, object gjson.Result, known map[string]bool) Route {
	v := r.fields
	clear(v)
	object.ForEach(func(key, value gjson.Result) bool {
		if _, ok := v[key.Str]; !ok {
			v[key.Str] = value
		}
		return true
	})
	route := Route{
		Host:        r.name(path+"."+fieldHostName, v.Get(fieldHostName)),
		Prefix:      r.text(path+"."+fieldPathPrefix, v.Get(fieldPathPrefix)),
		Timeout:     r.span(path+"."+fieldTimeout, v.Get(fieldTimeout), 0),
		Target:      r.span(path+"."+fieldTarget, v.Get(fieldTarget), 0),
		Priority:    r.whole(path+"."+fieldPriority, v.Get(fieldPriority), 0),
		MaxAttempts: max(1, r.whole(path+"."+fieldMaxAttempts, v.Get(fieldMaxAttempts), 1)),
		Public:      r.flag(path+"."+fieldPublicAccess, v.Get(fieldPublicAccess)),
	}
	if name := v.Get(fieldName); there(name) {
		route.Name = r.text(path+"."+fieldName, name)
	}
	switch v.Get(fieldRouteKind).String() {
	case kindIdempotent:
		route.Kind = Idempotent
	case kindDownlink:
		route.Kind = Downlink
	}
	if route.Timeout <= 0 {
		r.fault(path+"."+fieldTimeout, "a time above 0, not %s", found(v.Get(fieldTimeout)))
	}
	refer := func(path string, v gjson.Result) string {
		s := r.name(path, v)
		if s != "" && !known[s] {
			r.fault(path, "a service of serviceTable, not %q", s)
		}
		return s
	}
	var sum float64
	r.objects(path+"."+fieldTrafficSplit, v.Get(fieldTrafficSplit), func(path string, v gjson.Result) {
		s := Share{Service: refer(path+"."+fieldServiceName, v.Get(fieldServiceName)),
			Weight: r.number(path+"."+fieldWeight, v.Get(fieldWeight), 0)}
		if s.Weight < 0 {
			r.fault(path+"."+fieldWeight, "0 or more, not %s", found(v.Get(fieldWeight)))
		}
		sum += s.Weight
		route.Split = append(route.Split, s)
	})
	service := v.Get(fieldServiceName)
	switch {
	case there(service):
		if s := refer(path+"."+fieldServiceName, service); len(route.Split) == 0 {
			route.Split = []Share{{Service: s, Weight: 1}}
		}
	case len(route.Split) == 0:
		r.fault(path, "a serviceName or a trafficSplit")
	}
	if len(route.Split) > 0 && sum <= 0 && !there(service) {
		r.fault(path+"."+fieldTrafficSplit, "a weight above 0")
	} else if sum <= 0 && there(service) {
		route.Split = []Share{{Service: r.keep(service.Str), Weight: 1}}
	}
	return route
}

func (r *reader) limits(c *Config, v gjson.Result) {
	if there(v) && !v.IsObject() {
		r.fault(fieldLimitSet, "an object, not %s", found(v))
		return
	}
	size := func(name string, missing int64) int64 {
		if n := r.number(fieldLimitSet+"."+name, v.Get(name), 0); n >= 1 {
			return int64(min(n, 1<<62))
		}
		return missing
	}
	span := func(name string, missing time.Duration) time.Duration {
		if d := r.span(fieldLimitSet+"."+name, v.Get(name), 0); d > 0 {
			return d
		}
		return missing
	}
	c.Limits = Limits{
		HeaderMax: size(fieldHeaderMaxBytes, headerMax), BodyMax: size(fieldBodyMaxBytes, bodyMax),
		HeaderTimeout: span(fieldHeaderTimeout, headerTimeout), IdleTimeout: span(fieldIdleTimeout, idleTimeout),
	}
}

func (r *reader) tenants(c *Config, table gjson.Result) {
	c.Keyed = there(table)
	holders := map[string]int{}
	r.objects(fieldTenantTable, table, func(path string, v gjson.Result) {
		t := Tenant{
			Name:     r.name(path+"."+fieldName, v.Get(fieldName)),
			Priority: r.whole(path+"."+fieldPriority, v.Get(fieldPriority), 0),
			Rate:     max(0, r.number(path+"."+fieldRatePerS, v.Get(fieldRatePerS), 0)),
			Burst:    max(0, r.number(path+"."+fieldBurstSize, v.Get(fieldBurstSize), 0)),
		}
		at := len(c.Tenants)
		r.each(path+"."+fieldAccessKeys, v.Get(fieldAccessKeys), func(path string, v gjson.Result) {
			key := r.name(path, v)
			if key == "" {
				return
			}
			switch holder, held := holders[key]; {
			case !held:
				holders[key] = at
				t.Keys = append(t.Keys, key)
			case holder != at:
				r.fault(path, "a key of its own, not one of tenant %q", c.Tenants[holder].Name)
			}
		})
		c.Tenants = append(c.Tenants, t)
	})
	for key, at := range holders {
		c.holders[key] = &c.Tenants[at]
	}
}
