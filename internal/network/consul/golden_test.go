package consul

import (
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"testing"

	"github.com/hashicorp/consul/api"

	"quincegap/internal/golden"
	"quincegap/internal/modules/endpointsource"
)

// documentedAnswer is an answer in the form that the API documentation of Consul 1.20 describes, with some elements that can't be used.
const documentedAnswer = `[
 {"Node":{"ID":"40e4a748","Node":"node-1","Address":"10.1.10.12","Datacenter":"dc1","TaggedAddresses":{"lan":"10.1.10.12"}},
  "Service":{"ID":"slot-keeper-1","Service":"slot-keeper","Tags":["v2"],"Address":"10.1.10.13","Port":8000,
   "Meta":{"zone":"provo","model":"m5","cell":"7","started_ms":"1800000000123"},"Weights":{"Passing":10,"Warning":2},"CreateIndex":11},
  "Checks":[{"Node":"node-1","CheckID":"serfHealth","Name":"Serf Health Status","Status":"passing"}]},
 {"Node":{"Node":"node-2","Address":"10.1.10.14","Datacenter":"dc1"},
  "Service":{"ID":"slot-keeper-2","Address":"","Port":8000,"Weights":{"Passing":10,"Warning":2},"CreateIndex":12},
  "Checks":[{"CheckID":"service:slot-keeper-2","Status":"warning"}]},
 {"Node":{"Node":"node-2","Address":"10.1.10.14","Datacenter":"dc1"},
  "Service":{"ID":"slot-keeper-3","Port":8001,"CreateIndex":13},"Checks":[{"CheckID":"_node_maintenance","Status":"critical"}]},
 {"Node":{"Node":"node-2","Address":"10.1.10.14"},
  "Service":{"ID":"slot-keeper-4","Port":8002,"CreateIndex":14},"Checks":[{"CheckID":"tcp","Status":"critical"}]},
 {"Node":{"Node":"node-2","Address":"10.1.10.14"},
  "Service":{"ID":"slot-keeper-4","Port":8003,"CreateIndex":15},"Checks":[{"CheckID":"tcp","Status":"passing"}]},
 {"Node":{"Node":"node-3"},"Service":{"ID":"slot-keeper-5","Port":8002}},
 {"Node":{"Node":"node-3","Address":"h"},"Service":{"ID":"slot-keeper-6","Port":70000}},
 {"Node":{"Node":"node-3","Address":"h"},"Service":{"ID":"slot-keeper-7","Port":1,"Meta":{"cell":"x"}}},
 {"Node":{"Node":"node-3","Address":"h"},"Service":{"Port":1}}
]`

// The results of reading an answer do not change: endpoints, reasons why instances are skipped, differences from another answer, and the
// texts of errors.
func TestGoldenAnswer(t *testing.T) {
	var text strings.Builder
	s := Table.Default()
	endpoints := map[string]endpointsource.Endpoint{}
	var faults []string
	err := decodeEach(strings.NewReader(documentedAnswer), maxInstances, func(i *instance) {
		faults = s.addEndpoint(endpoints, i, true, faults)
		address, ok := i.address()
		fmt.Fprintf(&text, "%q %v\n", address, ok)
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, uid := range slices.Sorted(maps.Keys(endpoints)) {
		text.WriteString(describe(endpoints[uid]) + "\n")
	}
	text.WriteString(strings.Join(faults, "\n") + "\n")
	before := maps.Clone(endpoints)
	delete(endpoints, "slot-keeper-3@node-2")
	changed := endpoints["slot-keeper-1@node-1"]
	changed.Weight = 5
	endpoints[changed.UID] = changed
	d := diff(before, endpoints)
	fmt.Fprintf(&text, "of %d changed %s, missing %q\n", d.KnownBefore, describe(d.Changed[0]), d.Missing)
	for _, err := range []error{
		api.StatusError{Code: 403, Body: "Permission denied:\n token lacks " + strings.Repeat("permission ", 20)},
		&url.Error{Op: "Get", URL: "http://10.0.0.1:8500/v1/health/service/x?token=secret", Err: errors.New("connection refused")},
		errTooLarge,
	} {
		text.WriteString(errorText(err) + "\n")
	}
	for _, body := range []string{"{}", "5", "[1]", "[", "null", "[]"} {
		fmt.Fprintf(&text, "%s: %v\n", body, decodeEach(strings.NewReader(body), 1, func(*instance) {}))
	}
	golden.Text(t, "answer.txt", []byte(text.String()))
}

// describe returns all fields of an endpoint as text, without their Go names.
func describe(e endpointsource.Endpoint) string {
	return fmt.Sprintf("%q %q zone %q model %q cell %d state %d weight %v share %v started %d unknown %v index %d maintenance %v: %q", e.UID, e.Address,
		e.Zone, e.Model, e.Cell, e.State, e.Weight, e.WeightShare, e.StartedMS, e.StartUnknown, e.RegistrationIndex, e.Maintenance, e.Reason)
}
