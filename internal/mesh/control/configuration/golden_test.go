package configuration

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/golden"
)

// canonical returns the contents of a configuration, and results of its methods, as text with one field per line.
func canonical(config *Config) []byte {
	var text bytes.Buffer
	line := func(path string, value any) { fmt.Fprintf(&text, "%s = %v\n", path, value) }
	line("version", config.Version)
	for i := range config.Routes {
		route := &config.Routes[i]
		path := fmt.Sprintf("route %d ", i)
		line(path+"name", fmt.Sprintf("%q", route.Name))
		line(path+"host", fmt.Sprintf("%q", route.Host))
		line(path+"prefix", fmt.Sprintf("%q", route.Prefix))
		line(path+"kind", uint8(route.Kind))
		line(path+"may run more than once", route.Kind.IsIdempotent())
		line(path+"timeout", route.Timeout)
		line(path+"target", route.Target)
		line(path+"priority", route.Priority)
		line(path+"attempts", route.MaxAttempts)
		line(path+"public", route.Public)
		for _, service := range route.Split {
			line(path+"split "+service.Service, service.Weight)
		}
		for _, drawn := range []float64{0, 0.25, 0.5, 0.99, 0.999999} {
			line(path+fmt.Sprintf("draw %v", drawn), route.PickService(drawn))
		}
	}
	for i, service := range config.Services {
		line(fmt.Sprintf("service %d", i), fmt.Sprintf("%q %q %d", service.Name, service.HealthPath, service.ConnectionCap))
	}
	limits := config.Limits
	line("limits", fmt.Sprintf("%+v", []any{limits.HeaderMax, limits.BodyMax, limits.HeaderTimeout, limits.IdleTimeout}))
	line("keyed", config.HasTenantTable)
	for i, tenant := range config.Tenants {
		line(fmt.Sprintf("tenant %d", i), fmt.Sprintf("%q %q %d %v %v", tenant.Name, tenant.Keys, tenant.Priority, tenant.Rate, tenant.Burst))
	}
	for _, key := range []string{"", "k1", "k2", "k3", "k4"} {
		if tenant := config.TenantByKey(key); tenant != nil {
			line("holder of "+key, tenant.Name)
		}
	}
	for _, host := range []string{"one.example", "ONE.example:99", "[::1]", "[::1]:5", "two.example", ""} {
		for _, path := range []string{"/", "/a", "/a/", "/a/b", "/a/bcd", "/a/b/c", ""} {
			if route := config.Match(host, path); route != nil {
				line("match "+host+path, fmt.Sprintf("%q %q", route.Host, route.Prefix))
			}
		}
	}
	return text.Bytes()
}

// Parse returns the same Config for a configuration as in earlier versions.
func TestGoldenConfigurations(t *testing.T) {
	for _, name := range []string{"every-field", "least", "example"} {
		t.Run(name, func(t *testing.T) {
			raw := []byte(example)
			if name != "example" {
				var err error
				raw, err = os.ReadFile(filepath.Join("testdata", "golden", name+".json"))
				qt.Assert(t, err, qt.IsNil)
			}
			cfg, err := Parse(raw)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(cfg.Raw), qt.Equals, string(raw))
			golden.Text(t, name+".txt", canonical(cfg))
		})
	}
}

// goldenFaults are edits of the example that make it invalid. The names are written to the golden file.
var goldenFaults = []struct{ name, old, new string }{
	{"no body", example, ``},
	{"half a body", example, example[:len(example)-1]},
	{"more than a body", example, example + "x"},
	{"a list", example, `[]`},
	{"a text", example, `"r7"`},
	{"null", example, `null`},
	{"an empty object", example, `{}`},
	{"too deep", example, strings.Repeat("[", 1001) + strings.Repeat("]", 1001)},
	{"no version", `"configVersion":"r7",`, ``},
	{"version without its letter", `"r7"`, `"7"`},
	{"version 0", `"r7"`, `"r0"`},
	{"version too large", `"r7"`, `"r18446744073709551616"`},
	{"version a number", `"r7"`, `7`},
	{"version a long object", `"r7"`, `{"a":"` + strings.Repeat("x", 100) + `"}`},
	{"no routes", `"routeTable":[`, `"routes":[`},
	{"routes an object", `"routeTable":[`, `"routeTable":{},"x":[`},
	{"route a number", `"routeTable":[{`, `"routeTable":[7,{`},
	{"no host", `"hostName":"jepu9.example",`, ``},
	{"empty host", `"hostName":"jepu9.example"`, `"hostName":""`},
	{"host null", `"hostName":"jepu9.example"`, `"hostName":null`},
	{"no prefix", `"pathPrefix":"/lepu270/",`, ``},
	{"prefix a number", `"pathPrefix":"/lepu270/"`, `"pathPrefix":7`},
	{"name a number", `"name":"r-6sz9frg"`, `"name":7`},
	{"no timeout", `"timeout":"2500ms",`, ``},
	{"timeout 0", `"timeout":"2500ms"`, `"timeout":"0ms"`},
	{"timeout below 0", `"timeout":"2500ms"`, `"timeout":"-1s"`},
	{"timeout without a unit", `"timeout":"2500ms"`, `"timeout":"2500"`},
	{"timeout a number", `"timeout":"2500ms"`, `"timeout":2500`},
	{"timeout infinite", `"timeout":"2500ms"`, `"timeout":"Inf s"`},
	{"timeout no number", `"timeout":"2500ms"`, `"timeout":"NaNms"`},
	{"target a number", `"target":"600ms"`, `"target":600`},
	{"priority a text", `"priority":2`, `"priority":"2"`},
	{"priority too large", `"priority":2`, `"priority":1e999`},
	{"attempts a text", `"maxAttempts":2`, `"maxAttempts":"2"`},
	{"public a text", `"publicAccess":false`, `"publicAccess":"false"`},
	{"split an object", `"trafficSplit":[`, `"trafficSplit":{},"x":[`},
	{"split of numbers", `"trafficSplit":[`, `"trafficSplit":[1,`},
	{"share without a service", `"serviceName":"kafi81c",`, ``},
	{"share of no service", `"serviceName":"kafi81c"`, `"serviceName":"none"`},
	{"weight below 0", `"weight":10`, `"weight":-1`},
	{"weight a text", `"weight":10`, `"weight":"10"`},
	{"no weight above 0", `"weight":90},{"serviceName":"kafi81c","weight":10}`, `"weight":0}`},
	{"no service", `"serviceName":"wuno96b",`, ``},
	{"a service that is not there", `"serviceName":"wuno96b"`, `"serviceName":"none"`},
	{
		"two routes in one place",
		`"hostName":"hulo84.example","pathPrefix":"/xapu221/ny95/"`,
		`"hostName":"JEPU9.example:80","pathPrefix":"/lepu270/"`,
	},
	{
		"two routes with one tail",
		`"pathPrefix":"/lepu270/"`,
		`"pathPrefix":"/t","serviceName":"huvo11a","timeout":"1s"},` +
			`{"hostName":"jepu9.example","timeout":"1s","serviceName":"huvo11a","pathPrefix":"/t"`,
	},
	{"services an object", `"serviceTable":[`, `"serviceTable":{},"x":[`},
	{"service without a name", `{"name":"huvo11a",`, `{`},
	{"health path a number", `"healthPath":"/health"`, `"healthPath":1`},
	{"cap a text", `"connectionCap":120`, `"connectionCap":"120"`},
	{"limits a list", `"limitSet":{`, `"limitSet":[],"x":{`},
	{"limit a text", `"headerMaxBytes":16384`, `"headerMaxBytes":"16384"`},
	{"limit's time a number", `"headerTimeout":"3000ms"`, `"headerTimeout":3000`},
	{"tenants an object", `"tenantTable":[`, `"tenantTable":{},"x":[`},
	{"tenant a text", `"tenantTable":[`, `"tenantTable":["x",`},
	{"tenant without a name", `{"name":"bozi300",`, `{`},
	{"keys a text", `"accessKeys":[`, `"accessKeys":"x","x":[`},
	{"key a number", `"accessKeys":[`, `"accessKeys":[7,`},
	{"key empty", `"accessKeys":[`, `"accessKeys":["",`},
	{"key held twice", `"accessKeys":["89anu6wsjnbanfqasnmg"`, `"accessKeys":["a"]},{"name":"b","accessKeys":["a"`},
	{"rate a text", `"ratePerS":53`, `"ratePerS":"53"`},
	{"burst a text", `"burstSize":53`, `"burstSize":"53"`},
	{"more faults than are listed", `"routeTable":[`, `"routeTable":[` + strings.Repeat("1,", 200)},
	{"two faults", `"r7","routeTable":[{`, `"7","routeTable":[{"publicAccess":1,`},
}

// The error for an invalid configuration has the same kind as in earlier versions, and names the same paths in the same order.
func TestGoldenFaults(t *testing.T) {
	var text bytes.Buffer
	for _, test := range goldenFaults {
		raw := strings.Replace(example, test.old, test.new, 1)
		qt.Assert(t, raw != example, qt.IsTrue, qt.Commentf("edit %q leaves the example unchanged", test.name))
		_, err := Parse([]byte(raw))
		qt.Assert(t, trace.IsBadParameter(err), qt.IsTrue, qt.Commentf("edit %q: error %v, want a BadParameter", test.name, err))
		fmt.Fprintf(&text, "%s: BadParameter\n", test.name)
		for _, fault := range strings.Split(err.Error(), "; ") {
			path, _, ok := strings.Cut(fault, ": expected ")
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("edit %q: fault %q does not say what was expected", test.name, fault))
			fmt.Fprintf(&text, "\t%s\n", path)
		}
	}
	golden.Text(t, "faults.txt", text.Bytes())
}

// The names of the fields of routes, services and limits do not change: meshctl prints the same names when it shows a change.
func TestGoldenFieldNames(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", "every-field.json"))
	qt.Assert(t, err, qt.IsNil)
	cfg, err := Parse(raw)
	qt.Assert(t, err, qt.IsNil)
	golden.Text(t, "printed.txt", fmt.Appendf(nil, "%+v\n%+v\n%+v\n", cfg.Routes[0], cfg.Services[0], cfg.Limits))
}

// Versions are formatted and parsed as in earlier versions of the program.
func TestGoldenVersions(t *testing.T) {
	var text bytes.Buffer
	for _, v := range []Version{0, 1, 12, 1<<64 - 1} {
		fmt.Fprintln(&text, v)
		back, err := ParseVersion(v.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back, qt.Equals, v)
	}
	for _, s := range []string{"", "r", "12", "r-1", "r+1", "R1", "r1 ", "r18446744073709551616"} {
		_, err := ParseVersion(s)
		qt.Assert(t, trace.IsBadParameter(err), qt.IsTrue, qt.Commentf("error %v of version %q, want a BadParameter", err, s))
		fmt.Fprintf(&text, "%q: BadParameter\n", s)
	}
	golden.Text(t, "versions.txt", text.Bytes())
}
