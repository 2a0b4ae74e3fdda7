package configuration

import (
	"os"
	"testing"

	"github.com/gravitational/trace"
)

// maxErrorBytes is far above the size of an error that lists maxFaults fields.
const maxErrorBytes = 1 << 20

// Any configuration is rejected with an error of bounded size, or has values that the processes can use.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"every-field", "least"} {
		text, err := os.ReadFile("testdata/golden/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"configVersion":"r18446744073709551615","limitSet":{"bodyMaxBytes":1e300,"idleTimeout":"2562047h"}}`))
	f.Add([]byte(`{"configVersion":"r1","tenantTable":[{"name":"t","accessKeys":["k","k"],"ratePerS":1e308,"burstSize":-1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		config, err := Parse(raw)
		if err != nil {
			if !trace.IsBadParameter(err) || len(err.Error()) > maxErrorBytes {
				t.Fatalf("an error of type %T with %d bytes, want a bad parameter", err, len(err.Error()))
			}
			return
		}
		checkLimits(t, config)
		for i := range config.Routes {
			checkRoute(t, config, &config.Routes[i])
		}
		for _, tenant := range config.Tenants {
			if tenant.Name == "" || tenant.Rate < 0 || tenant.Burst < 0 {
				t.Fatalf("tenant %+v", tenant)
			}
		}
	})
}

func checkLimits(t *testing.T, config *Config) {
	t.Helper()
	limits := config.Limits
	if config.Version == 0 || limits.HeaderMax < 1 || limits.BodyMax < 1 || limits.HeaderTimeout <= 0 || limits.IdleTimeout <= 0 {
		t.Fatalf("version %v, limits %+v", config.Version, limits)
	}
}

// checkRoute checks that a route has usable values, and that a request to its prefix matches a route.
func checkRoute(t *testing.T, config *Config, route *Route) {
	t.Helper()
	if route.Timeout <= 0 || route.Target < 0 || route.MaxAttempts < 1 {
		t.Fatalf("route %+v", *route)
	}
	for _, random := range []float64{0, 0.5, 0.999999} {
		if route.PickService(random) == "" {
			t.Fatalf("no service of the route %+v is picked", *route)
		}
	}
	if config.Match(route.Host, route.Prefix) == nil {
		t.Fatalf("host %q and path %q match no route", route.Host, route.Prefix)
	}
}
