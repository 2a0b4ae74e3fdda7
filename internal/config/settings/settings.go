// Package settings decodes the JSON object with the settings of an instance of the load balancer, and load reports of endpoints. The
// simulator's adapter and the standalone sidecar both use it.
//
// Times in the object are whole microseconds. Its keys keep the terms of the user documentation; Go names use the standard terms.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// config mirrors the JSON object. The names of the type and its fields must not change, since they appear in errors of encoding/json.
// Keys that are not listed here are ignored.
type config struct {
	Allowed struct {
		Cancel         bool  `json:"cancel"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		MayProbe       bool  `json:"mayProbe"`
		OpenCap        int   `json:"openCap"`
		Peers          bool  `json:"peers"`
		RetryAfter     bool  `json:"retryAfter"`
		SecondCopies   bool  `json:"secondCopies"`
		SendCap        int   `json:"sendCap"`
	} `json:"allowed"`
	ClientHabits struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Discovery  string   `json:"discovery"`
	Models     []string `json:"models"`
	Zones      []string `json:"zones"`
	FamilyInfo struct {
		PassesDeadline *bool `json:"passesDeadline"`
	} `json:"familyInfo"`
	Goal struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worstClass"`
	} `json:"goal"`
	WorthBy        string  `json:"worthBy"`
	Instances      int     `json:"instances"`
	Ordinal        int     `json:"ordinal"`
	Stage          int     `json:"stage"`
	Quantum        int64   `json:"quantum"`
	Tiers          []any   `json:"tiers"`
	OverShareWorth float64 `json:"overShareWorth"`
	Rules          struct {
		AskEvery    int64   `json:"askEvery"`
		Cold        int64   `json:"cold"`
		ColdFrom    float64 `json:"coldFrom"`
		Fall        int64   `json:"fall"`
		Grace       int64   `json:"graceToAnswer"`
		TipMultiple float64 `json:"tipMultiple"`
	} `json:"rules"`
	Services []struct {
		Name      string  `json:"name"`
		Aim       int64   `json:"aim"`
		Deadline  int64   `json:"deadline"`
		Gain      float64 `json:"gain"`
		LateValue float64 `json:"lateValue"`
		Effect    string  `json:"effect"`
		KeyScope  string  `json:"keyScope"`
		Window    int64   `json:"window"`
		Streamed  bool    `json:"streamed"`
	} `json:"services"`
	Tenants []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"tenants"`
}

// knownKeys has the top-level keys that config reads, and keys that are ignored without a warning.
var knownKeys = map[string]bool{
	"allowed": true, "clientHabits": true, "discovery": true, "family": true, "familyInfo": true,
	"feedback": true, "goal": true, "instances": true, "models": true, "myZone": true, "ordinal": true,
	"overShareWorth": true, "prices": true, "quantum": true, "rules": true, "services": true,
	"stage": true, "tenants": true, "tiers": true, "weights": true, "worthBy": true, "zones": true,
}

// The values of the keys discovery and worthBy.
const (
	discoveryPush = "push" // discovery pushes the list of endpoints
	discoveryAsk  = "ask"  // the list of endpoints has to be polled
	worthByWork   = "work" // the value of a response is proportional to its work units
)

// idempotencyByName and keyScopeByName map the values of the keys effect and keyScope. An unknown value is passed on unchanged, so that the
// Balancer's error names it.
var (
	idempotencyByName = map[string]balancer.Idempotency{
		"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentWithKey, "non_idempotent": balancer.NonIdempotent,
	}
	keyScopeByName = map[string]balancer.KeyScope{
		"all": balancer.KeyScopeAll, "zone": balancer.KeyScopeZone, "cell": balancer.KeyScopeCell,
	}
)

// Settings has the settings of a Balancer, and further settings that only the program that runs it needs.
type Settings struct {
	balancer.Settings
	Zones         []string      // the names of the zones, indexed by the Balancer's zone numbers
	Models        []string      // the names of the endpoints' models
	ConnIdle      time.Duration // the time after which an endpoint closes an idle connection; 0 if unknown
	GraceToAnswer time.Duration // the time after the client's deadline in which a response still counts
	OpenCap       int           // the limit on requests in flight; 0 for none
}

// Parse decodes the object, and also returns the unknown top-level keys that it ignored, sorted. It fails if the text is not such an object
// or has an unknown value of discovery. The Balancer checks everything else.
func Parse(text []byte) (settings Settings, unknown []string, err error) {
	var object config
	if err := json.Unmarshal(text, &object); err != nil {
		return settings, nil, fmt.Errorf("not a settings object: %w", err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		return settings, nil, fmt.Errorf("not a settings object: %w", err)
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if !knownKeys[key] {
			unknown = append(unknown, key)
		}
	}
	if object.Discovery != discoveryPush && object.Discovery != discoveryAsk {
		return settings, unknown, fmt.Errorf("discovery: unknown word %q", object.Discovery)
	}
	return Settings{
		Settings:      object.balancerSettings(),
		Zones:         object.Zones,
		Models:        object.Models,
		ConnIdle:      Microseconds(object.Allowed.ConnIdle),
		GraceToAnswer: Microseconds(object.Rules.Grace),
		OpenCap:       object.Allowed.OpenCap,
	}, unknown, nil
}

// balancerSettings converts the part of the object that configures the Balancer.
func (c *config) balancerSettings() balancer.Settings {
	settings := balancer.Settings{
		Instances:           c.Instances,
		Ordinal:             c.Ordinal,
		Tier:                c.Stage,
		Tiers:               len(c.Tiers),
		Quantum:             Microseconds(c.Quantum),
		OverQuotaValueShare: c.OverShareWorth,
		ValuePerWorkUnit:    c.WorthBy == worthByWork,
		TotalValueWeight:    c.Goal.Whole,
		WorstClassWeight:    c.Goal.WorstClass,
		MayCancel:           c.Allowed.Cancel,
		MayHealthCheck:      c.Allowed.MayProbe,
		MayMessagePeers:     c.Allowed.Peers,
		HedgedRequests:      c.Allowed.SecondCopies,
		MaxAttempts:         c.Allowed.SendCap,
		ConnectTimeout:      Microseconds(c.Allowed.ConnectTimeout),
		MustSubscribe:       c.Discovery == discoveryAsk,
		ResubscribeInterval: Microseconds(c.Rules.AskEvery),
		PropagatesDeadline:  c.FamilyInfo.PassesDeadline == nil || *c.FamilyInfo.PassesDeadline,
		ClientsMarkRetries:  c.ClientHabits.MarksRetry,
		SlowStartMinShare:   c.Rules.ColdFrom,
		SlowStartWindow:     Microseconds(c.Rules.Cold),
		OverloadMultiple:    c.Rules.TipMultiple,
		OverloadDuration:    Microseconds(c.Rules.Fall),
	}
	if c.Allowed.RetryAfter {
		settings.MaxRetryAfter = Microseconds(c.Allowed.MaxRetryAfter)
	}
	for _, service := range c.Services {
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:           service.Name,
			LatencyTarget:  Microseconds(service.Aim),
			Deadline:       Microseconds(service.Deadline),
			Value:          service.Gain,
			LateValueShare: service.LateValue,
			Idempotency:    translate(idempotencyByName, service.Effect),
			KeyScope:       translate(keyScopeByName, service.KeyScope),
			KeyWindow:      Microseconds(service.Window),
			Streaming:      service.Streamed,
		})
	}
	for _, tenant := range c.Tenants {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: tenant.Name, QuotaPerSecond: tenant.QuotaPerS})
	}
	return settings
}

// translate returns the value that a name stands for, or the name itself if it is unknown.
func translate[T ~string](byName map[string]T, name string) T {
	if v, ok := byName[name]; ok {
		return v
	}
	return T(name)
}

// Microseconds converts a number of microseconds, the unit of all times in the settings object, to a Duration.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
