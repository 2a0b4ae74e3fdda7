// Package settings decodes the JSON object that starts an instance of the load balancer, and load reports of endpoints. The
// simulator's adapter and the standalone sidecar share it.
//
// Times in the object are whole microseconds. Keys keep the words of the users' pages; the Go names are the standard terms.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// config mirrors the JSON object. Its keys are data, and so are the names of the type and the fields, which errors of encoding/json have.
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

// knownKeys are the top-level keys that config reads, and those that are ignored without a warning.
var knownKeys = map[string]bool{
	"allowed": true, "clientHabits": true, "discovery": true, "family": true, "familyInfo": true,
	"feedback": true, "goal": true, "instances": true, "models": true, "myZone": true, "ordinal": true,
	"overShareWorth": true, "prices": true, "quantum": true, "rules": true, "services": true,
	"stage": true, "tenants": true, "tiers": true, "weights": true, "worthBy": true, "zones": true,
}

// Values of the keys discovery and worthBy.
const (
	discoveryPush = "push" // discovery sends the list of endpoints
	discoveryAsk  = "ask"  // the list has to be polled
	worthByWork   = "work" // the value of a response is proportional to its work units
)

// idempotencyByWord and keyScopeByWord map values of effect and keyScope. An unknown value is passed on unchanged, and the Balancer rejects
// it by name.
var (
	idempotencyByWord = map[string]balancer.Idempotency{
		"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentWithKey, "non_idempotent": balancer.NonIdempotent,
	}
	keyScopeByWord = map[string]balancer.KeyScope{
		"all": balancer.KeyScopeAll, "zone": balancer.KeyScopeZone, "cell": balancer.KeyScopeCell,
	}
)

// Settings has the settings of a Balancer, and those that only the program around it needs.
type Settings struct {
	balancer.Settings
	Zones         []string      // the names of the zones, by the Balancer's indexes
	Models        []string      // names of the endpoints' models
	ConnIdle      time.Duration // the time after which an endpoint closes an idle connection; 0 if unknown
	GraceToAnswer time.Duration // the time after the client's deadline in which a response still counts
	OpenCap       int           // the most requests in flight; 0 for no limit
}

// Parse reads the object and returns the top-level keys that it ignored, sorted. It fails if the text is no such object, or has an unknown
// value of discovery. The Balancer checks everything else.
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

// balancerSettings returns the part of the object that the Balancer is started with.
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
			Idempotency:    translate(idempotencyByWord, service.Effect),
			KeyScope:       translate(keyScopeByWord, service.KeyScope),
			KeyWindow:      Microseconds(service.Window),
			Streaming:      service.Streamed,
		})
	}
	for _, tenant := range c.Tenants {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: tenant.Name, QuotaPerSecond: tenant.QuotaPerS})
	}
	return settings
}

// translate looks a word up, and passes an unknown one on unchanged.
func translate[T ~string](words map[string]T, word string) T {
	if v, ok := words[word]; ok {
		return v
	}
	return T(word)
}

// Microseconds returns a duration of n microseconds, the unit of all times in the settings.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
