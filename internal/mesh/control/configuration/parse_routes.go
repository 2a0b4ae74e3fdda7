package configuration

import "github.com/tidwall/gjson"

// parseRoutes reads the routes and builds their index. The services must have been read before.
func (p *parser) parseRoutes(c *Config, table gjson.Result) {
	if !table.Exists() {
		p.addFault(fieldRouteTable, "a list, not nothing")
	}
	services := map[string]bool{}
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	var paths []string
	p.forEachObject(fieldRouteTable, table, func(path string, v gjson.Result) {
		c.Routes = append(c.Routes, p.parseRoute(path, v, services))
		paths = append(paths, path)
	})
	for i := range c.Routes { // not before all are read: the index has pointers, and append moves routes
		if other := c.addToIndex(&c.Routes[i]); other != nil {
			p.addFault(paths[i], "a host and a prefix of its own, not those of %q: %q %q", other.Name, other.Host, other.Prefix)
		}
	}
}

// fieldSet has the fields of a route by name, so that the route's text is read only once. Of a repeated field the first one counts, as
// with gjson's Get.
type fieldSet map[string]gjson.Result

func (f fieldSet) read(object gjson.Result) {
	clear(f)
	object.ForEach(func(key, value gjson.Result) bool {
		if _, ok := f[key.Str]; !ok {
			f[key.Str] = value
		}
		return true
	})
}

func (p *parser) parseRoute(path string, object gjson.Result, services map[string]bool) Route {
	fields := p.route
	fields.read(object)
	route := Route{
		Host:        p.name(path+"."+fieldHostName, fields[fieldHostName]),
		Prefix:      p.text(path+"."+fieldPathPrefix, fields[fieldPathPrefix]),
		Timeout:     p.duration(path+"."+fieldTimeout, fields[fieldTimeout], 0),
		Target:      p.duration(path+"."+fieldTarget, fields[fieldTarget], 0),
		Priority:    p.integer(path+"."+fieldPriority, fields[fieldPriority], 0),
		MaxAttempts: max(1, p.integer(path+"."+fieldMaxAttempts, fields[fieldMaxAttempts], 1)),
		Public:      p.boolean(path+"."+fieldPublicAccess, fields[fieldPublicAccess]),
	}
	if name := fields[fieldName]; isPresent(name) {
		route.Name = p.text(path+"."+fieldName, name)
	}
	switch fields[fieldRouteKind].String() {
	case kindIdempotent:
		route.Kind = Idempotent
	case kindDownlink:
		route.Kind = Downlink
	}
	if route.Timeout <= 0 {
		p.addFault(path+"."+fieldTimeout, "a time above 0, not %s", describe(fields[fieldTimeout]))
	}
	route.Split = p.parseSplit(path, fields, services)
	return route
}

// parseSplit reads the services of a route: those of its trafficSplit if one has a weight above 0, else its serviceName.
func (p *parser) parseSplit(path string, fields fieldSet, services map[string]bool) []WeightedService {
	var split []WeightedService
	var sum float64
	splitPath := path + "." + fieldTrafficSplit
	p.forEachObject(splitPath, fields[fieldTrafficSplit], func(path string, v gjson.Result) {
		share := WeightedService{
			Service: p.service(path+"."+fieldServiceName, v.Get(fieldServiceName), services),
			Weight:  p.number(path+"."+fieldWeight, v.Get(fieldWeight), 0),
		}
		if share.Weight < 0 {
			p.addFault(path+"."+fieldWeight, "0 or more, not %s", describe(v.Get(fieldWeight)))
		}
		sum += share.Weight
		split = append(split, share)
	})
	single := fields[fieldServiceName]
	if isPresent(single) {
		service := p.service(path+"."+fieldServiceName, single, services)
		if sum <= 0 {
			return []WeightedService{{Service: service, Weight: 1}}
		}
		return split
	}
	switch {
	case len(split) == 0:
		p.addFault(path, "a serviceName or a trafficSplit")
	case sum <= 0:
		p.addFault(splitPath, "a weight above 0")
	}
	return split
}

// service reads the name of a service, which must be in the service table.
func (p *parser) service(path string, v gjson.Result, services map[string]bool) string {
	name := p.name(path, v)
	if name != "" && !services[name] {
		p.addFault(path, "a service of serviceTable, not %q", name)
	}
	return name
}
