package consul

import (
	"bytes"
	"encoding/json"
	"net"
	"testing"

	"quincegap/internal/modules/endpointsource"
)

func TestNextIndex(t *testing.T) {
	for _, test := range []struct {
		name            string
		last, got, want uint64
	}{
		{"first", 0, 5, 5},
		{"same", 5, 5, 5},
		{"later", 5, 9, 9},
		{"backwards", 9, 5, 0},
		{"none after one", 5, 0, 0},
		{"none at all", 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if next := nextIndex(test.last, test.got); next != test.want {
				t.Errorf("nextIndex(%d, %d) is %d, want %d", test.last, test.got, next, test.want)
			}
		})
	}
}

// Whatever an answer contains, the endpoints that are read from it are bounded in number and valid.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`[{"Node":{"Node":"n","Address":"10.0.0.1","Datacenter":"d"},` +
		`"Service":{"ID":"x","Port":80,"Meta":{"cell":"1"},"Weights":{"Passing":3,"Warning":1},"CreateIndex":7},` +
		`"Checks":[{"CheckID":"c","Status":"warning"}]}]`))
	f.Add([]byte(`[{"Service":{"ID":"x","Address":"h","Port":65536}},{"Service":null},null]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := Table.Default()
		endpoints := map[string]endpointsource.Endpoint{}
		var faults []string
		n := 0
		err := decodeEach(bytes.NewReader(text), 20, func(i *instance) {
			n++
			faults = s.addEndpoint(endpoints, i, true, faults)
		})
		if len(endpoints) > n || len(faults) > maxFaults || n > 20 {
			t.Errorf("read %d endpoints and %d faults from %d instances, more than the bounds permit", len(endpoints), len(faults), n)
		}
		// Decoding the instances one by one gives the same result as decoding all at once.
		var all []instance
		if want := json.NewDecoder(bytes.NewReader(text)).Decode(&all); want == nil && len(all) <= 20 && (err != nil || n != len(all)) {
			t.Errorf("decoded %d instances one by one, error %v; want %d and no error", n, err, len(all))
		}
		for uid, e := range endpoints {
			host, port, err := net.SplitHostPort(e.Address)
			if uid != e.UID || uid == "" || len(uid) > maxTextBytes || err != nil || host == "" || port == "0" {
				t.Errorf("endpoint %+v with key %q has an invalid UID or address (error %v)", e, uid, err)
			}
			if e.Weight <= 0 || e.WeightShare <= 0 || e.WeightShare > maxWeight {
				t.Errorf("endpoint %+v has an invalid weight", e)
			}
		}
	})
}
