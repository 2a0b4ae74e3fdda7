package configuration

import "github.com/tidwall/gjson"

// parseRoutes parses routeTable and builds the index of the routes. It needs config.Services, so parseServices must be called before.
func (p *parser) parseRoutes(config *Config, table gjson.Result) {
	if !table.Exists() {
		p.addFault(fieldRouteTable, "a list, not nothing")
	}
	services := map[string]bool{}
	for i := range config.Services {
		services[config.Services[i].Name] = true
	}
	var paths []string
	p.forEachObject(fieldRouteTable, table, func(path string, value gjson.Result) {
		config.Routes = append(config.Routes, p.parseRoute(path, value, services))
		paths = append(paths, path)
	})
	for i := range config.Routes { // after all appends: the index points to the routes, and append may move them
		if other := config.addToIndex(&config.Routes[i]); other != nil {
			p.addFault(paths[i], "a host and a prefix of its own, not those of %q: %q %q", other.Name, other.Host, other.Prefix)
		}
	}
}

// fieldSet contains the fields of a JSON object by name, so that the text of a route is scanned only once. If a field is repeated, the
// first one counts, as with gjson's Get.
type fieldSet map[string]gjson.Result

// read replaces the content of the set by the fields of an object.
func (f fieldSet) read(object gjson.Result) {
	clear(f)
	object.ForEach(func(key, value gjson.Result) bool {
		if _, ok := f[key.Str]; !ok {
			f[key.Str] = value
		}
		return true
	})
}

// parseRoute parses one element of routeTable. services contains the names of the known services.
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

// parseSplit parses the services of a route: those of its trafficSplit if at least one has a weight above 0, else its serviceName.
func (p *parser) parseSplit(path string, fields fieldSet, services map[string]bool) []WeightedService {
	var split []WeightedService
	var sum float64
	splitPath := path + "." + fieldTrafficSplit
	p.forEachObject(splitPath, fields[fieldTrafficSplit], func(path string, value gjson.Result) {
		weighted := WeightedService{
			Service: p.service(path+"."+fieldServiceName, value.Get(fieldServiceName), services),
			Weight:  p.number(path+"."+fieldWeight, value.Get(fieldWeight), 0),
		}
		if weighted.Weight < 0 {
			p.addFault(path+"."+fieldWeight, "0 or more, not %s", describe(value.Get(fieldWeight)))
		}
		sum += weighted.Weight
		split = append(split, weighted)
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

// service parses the name of a service, which must be in serviceTable.
func (p *parser) service(path string, value gjson.Result, services map[string]bool) string {
	name := p.name(path, value)
	if name != "" && !services[name] {
		p.addFault(path, "a service of serviceTable, not %q", name)
	}
	return name
}
