package consul

import (
	"testing"

	"quincegap/internal/golden"
)

// Checks that health and catalog responses have the format of Consul's API documentation, and that the content hash is unchanged.
func TestGoldenAnswers(t *testing.T) {
	instances := []Instance{
		{
			Service: "trips", Node: "n1", ID: "i1", Address: "127.0.0.1", Port: 8080, Meta: map[string]string{"az": "z1"}, Tags: []string{"a"},
			PassingWeight: 3, WarningWeight: 1, Checks: []Check{{CheckID: "service:i1", Name: "up", Status: "critical"}}, createIndex: 12,
		},
		Instance{Node: "n2", ID: "i2"}.WithAddress("127.0.0.2:81"),
	}
	golden.Text(t, "health.json", append(encode("health", instances), '\n'))
	golden.Text(t, "catalog.json", append(encode("catalog", instances), '\n'))
	golden.Text(t, "hash.txt", []byte(contentHash(12)+"\n"))
}
