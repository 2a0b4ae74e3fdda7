package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// testdata/golden/settings.json is an object with all keys that are read, in the form that older versions used. It must be read the same
// way.
func TestGoldenSettings(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	got, unknown, err := Parse(text)
	if err != nil || !slices.Equal(unknown, []string{"another", "novelty"}) {
		t.Fatalf("parse settings.json: error %v, unknown keys %q; want no error, and another and novelty", err, unknown)
	}
	want := Settings{
		Settings: balancer.Settings{
			Instances: 4, Ordinal: 2, Tier: 1, Tiers: 3, Quantum: time.Millisecond,
			OverQuotaValueShare: 0.25, ValuePerWorkUnit: true,
			TotalValueWeight: 0.6, WorstClassWeight: 0.4,
			MayCancel: true, MayHealthCheck: true, MayMessagePeers: true,
			HedgedRequests: true, MaxAttempts: 5, MaxRetryAfter: 2 * time.Second,
			ConnectTimeout: 250 * time.Millisecond,
			MustSubscribe:  true, ResubscribeInterval: 10 * time.Second,
			PropagatesDeadline: false, ClientsMarkRetries: true,
			SlowStartMinShare: 0.3, SlowStartWindow: 9 * time.Second,
			OverloadMultiple: 3, OverloadDuration: time.Second,
			Classes: []balancer.Class{
				{
					Name: "book", LatencyTarget: 2500 * time.Millisecond, Deadline: 6 * time.Second, Value: 3, LateValueShare: 0.5,
					Idempotency: balancer.IdempotentWithKey, KeyScope: balancer.KeyScopeCell, KeyWindow: 11 * time.Second, Streaming: true,
				},
				{
					Name:          "find",
					LatencyTarget: time.Second,
					Deadline:      2 * time.Second,
					Value:         1,
					Idempotency:   balancer.Idempotent,
					KeyScope:      balancer.KeyScopeZone,
				},
				{
					Name:          "pay",
					LatencyTarget: time.Second,
					Deadline:      3 * time.Second,
					Value:         2,
					Idempotency:   balancer.NonIdempotent,
					KeyScope:      balancer.KeyScopeAll,
				},
				{Name: "odd", LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 2, Idempotency: "other_effect", KeyScope: "other_scope"},
			},
			Tenants: []balancer.Tenant{{Name: "north", QuotaPerSecond: 50}},
		},
		Zones: []string{"y", "z"}, Models: []string{"m1", "m2"},
		ConnIdle: 30 * time.Second, GraceToAnswer: 20 * time.Millisecond, OpenCap: 7,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("settings\ngot  %+v\nwant %+v", got, want)
	}
}

// The errors for texts that are rejected.
func TestGoldenRefusals(t *testing.T) {
	for text, want := range map[string]string{
		`{"discovery":"shout"}`:           `discovery: unknown word "shout"`,
		`[]`:                              `not a settings object: json: cannot unmarshal array into Go value of type settings.config`,
		`{"discovery":`:                   `not a settings object: unexpected end of JSON input`,
		`{"discovery":"push","stage":""}`: `not a settings object: json: cannot unmarshal string into Go struct field config.stage of type int`,
	} {
		if _, _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", text, err, want)
		}
	}
	if _, err := ParseLoad("queue=x", "="); err == nil || err.Error() != `"queue=x" is not a load report` {
		t.Errorf("load report with an invalid number: got error %v, want that it is not a load report", err)
	}
	l, err := ParseLoad("inflight:7,queue:2,util:0.5,latency_ms:20", ":")
	want := balancer.Load{InFlight: 7, Queue: 2, Utilization: 0.5, ServiceTime: 20 * time.Millisecond}
	if err != nil || *l != want {
		t.Errorf("load report: got %+v, %v, want %+v", l, err, want)
	}
}
