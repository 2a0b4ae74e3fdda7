package consul

import (
	"encoding/json"
	"fmt"
	"testing"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

func TestApplyChecks(t *testing.T) {
	const ready, draining = balancer.EndpointReady, balancer.EndpointDraining
	passes := check{"a", "passing"}
	warns := check{"b", "warning"}
	fails := check{"c", "critical"}
	for _, test := range []struct {
		name             string
		checks           []check
		passing, warning int // weights of the service in the instance
		state            balancer.EndpointState
		weight, share    float64
		maintenance      bool
		reason           string
	}{
		{"no check and no weight", nil, 0, 0, ready, 1, 1, false, ""},
		{"passes", []check{passes}, 7, 1, ready, 7, 1, false, ""},
		{"one warns", []check{passes, warns}, 4, 1, ready, 1, 0.25, false, `check "b" warns`},
		{"warns at weight 0", []check{warns}, 4, 0, draining, 4, 1, false, `check "b" warns, and its weight is 0 then`},
		{"one fails", []check{warns, fails}, 1, 1, draining, 1, 1, false, `check "c" is critical`},
		{"a state that is not known", []check{{"c", "something new"}}, 1, 1, draining, 1, 1, false, `check "c" is something new`},
		{"node in maintenance", []check{{"_node_maintenance", "critical"}}, 1, 1, draining, 1, 1, true, "in maintenance"},
		{"service in maintenance", []check{{"_service_maintenance:x", "critical"}, fails}, 1, 1, draining, 1, 1, true, "in maintenance"},
		{"negative weights", []check{passes}, -5, -1, ready, 1, 1, false, ""},
		{"huge weight", []check{passes}, 1 << 30, 1, ready, maxWeight, 1, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			i := instance{Checks: test.checks}
			i.Service.Weights.Passing = test.passing
			i.Service.Weights.Warning = test.warning
			var e endpointsource.Endpoint
			applyChecks(&i, &e)
			if e.State != test.state || e.Weight != test.weight || e.WeightShare != test.share ||
				e.Maintenance != test.maintenance || e.Reason != test.reason {
				t.Errorf("got %+v, want state %v, weight %v, share %v, maintenance %v, reason %q",
					e, test.state, test.weight, test.share, test.maintenance, test.reason)
			}
		})
	}
}

func TestEndpoints(t *testing.T) {
	settings := Table.Default()
	for _, test := range []struct{ name, instance, want string }{
		{
			"node's address",
			`{"Node":{"Node":"n","Address":"10.0.0.1","Datacenter":"d"},"Service":{"ID":"x","Port":80}}`,
			"x@n 10.0.0.1:80 d  0 0 true",
		},
		{
			"service's address and metadata",
			`{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"x","Address":"::1","Port":80,` +
				`"Meta":{"zone":"z","model":"m","cell":"7","started_ms":"5"}}}`,
			"x@n [::1]:80 z m 7 5 false",
		},
		{"negative start", `{"Node":{"Node":"n"},"Service":{"ID":"x","Address":"h","Port":80,"Meta":{"started_ms":"-5"}}}`, "x@n h:80   0 0 true"},
		{"no port", `{"Node":{"Node":"n","Address":"h"},"Service":{"ID":"x"}}`, "its port 0 is none"},
		{"no address", `{"Node":{"Node":"n"},"Service":{"ID":"x","Port":80}}`, `its address "" is none`},
		{"no id", `{"Node":{"Node":"n","Address":"h"},"Service":{"Port":80}}`, "its id is missing or too long"},
		{"bad cell", `{"Node":{"Node":"n","Address":"h"},"Service":{"ID":"x","Port":80,"Meta":{"cell":"seven"}}}`, `its cell "seven" is no number`},
	} {
		t.Run(test.name, func(t *testing.T) {
			var i instance
			if err := json.Unmarshal([]byte(test.instance), &i); err != nil {
				t.Fatal(err)
			}
			e, got := settings.endpoint(&i, true)
			if got == "" {
				got = fmt.Sprint(e.UID, " ", e.Address, " ", e.Zone, " ", e.Model, " ", e.Cell, " ", e.StartedMS, " ", e.StartUnknown)
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
	settings.UIDMeta = "uid"
	if got := settings.uid("n", "x", map[string]string{"uid": "s-1"}, true); got != "s-1" {
		t.Errorf("UID of an instance with the metadata field uid: got %q, want s-1", got)
	}
	if got := settings.uid("n", "x", nil, false); got != "x" {
		t.Errorf("unqualified UID of an instance without the metadata field uid: got %q, want x", got)
	}
}
