// Package settings decodes the JSON object that starts an instance. The
// simulator's adapter and the sidecar both read it here.
package settings

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"quincegap/internal/balancer"
)

// config mirrors the JSON object that starts an instance. Keys that are not
// listed here are passed over.
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

// knownKeys are the top-level keys that config reads or that need no reading.
var knownKeys = map[string]bool{
	"allowed": true, "clientHabits": true, "discovery": true, "family": true, "familyInfo": true,
	"feedback": true, "goal": true, "instances": true, "models": true, "myZone": true, "ordinal": true,
	"overShareWorth": true, "prices": true, "quantum": true, "rules": true, "services": true,
	"stage": true, "tenants": true, "tiers": true, "weights": true, "worthBy": true, "zones": true,
}

// idempotencyByWord and scopes translate the wire's words; an unknown word is handed on
// as it is, for the Balancer to reject by name.
var (
	idempotencyByWord = map[string]balancer.Idempotency{
		"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentWithKey, "non_idempotent": balancer.NonIdempotent,
	}
	keyScopeByWord = map[string]balancer.KeyScope{
		"all": balancer.KeyScopeAll, "zone": balancer.KeyScopeZone, "cell": balancer.KeyScopeCell,
	}
)

// Settings is what a Balancer is started with, and what only the program round it needs.
type Settings struct {
	balancer.Settings
	Zones         []string // names; the Balancer knows their indexes
	Models        []string
	ConnIdle      time.Duration // an endpoint closes a connection that stood idle so long; 0 if not told
	GraceToAnswer time.Duration // how long after the client's deadline an answer still counts
	OpenCap       int           // requests that may be open at once; 0 for no limit
}

// Parse reads an instance's settings and lists the keys it passed over.
func Parse(text []byte) (s Settings, unknown []string, err error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return s, nil, fmt.Errorf("not a settings object: %v", err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		return s, nil, fmt.Errorf("not a settings object: %v", err)
	}
	for k := range keys {
		if !knownKeys[k] {
			unknown = append(unknown, k)
		}
	}
	sort.Strings(unknown)
	switch c.Discovery {
	case "push", "ask":
	default:
		return s, unknown, fmt.Errorf("discovery: unknown word %q", c.Discovery)
	}
	s = Settings{
		Zones: c.Zones, Models: c.Models, ConnIdle: Microseconds(c.Allowed.ConnIdle),
		GraceToAnswer: Microseconds(c.Rules.Grace), OpenCap: c.Allowed.OpenCap,
	}
	s.Settings = balancer.Settings{
		Instances: c.Instances, Ordinal: c.Ordinal, Tier: c.Stage, Tiers: len(c.Tiers), Quantum: Microseconds(c.Quantum),
		OverQuotaValueShare: c.OverShareWorth, ValuePerWorkUnit: c.WorthBy == "work",
		TotalValueWeight: c.Goal.Whole, WorstClassWeight: c.Goal.WorstClass,
		MayCancel: c.Allowed.Cancel, MayHealthCheck: c.Allowed.MayProbe, MayMessagePeers: c.Allowed.Peers,
		HedgedRequests: c.Allowed.SecondCopies, MaxAttempts: c.Allowed.SendCap,
		ConnectTimeout: Microseconds(c.Allowed.ConnectTimeout),
		MustSubscribe:  c.Discovery == "ask", ResubscribeInterval: Microseconds(c.Rules.AskEvery),
		PropagatesDeadline: c.FamilyInfo.PassesDeadline == nil || *c.FamilyInfo.PassesDeadline,
		ClientsMarkRetries: c.ClientHabits.MarksRetry,
		SlowStartMinShare:  c.Rules.ColdFrom, SlowStartWindow: Microseconds(c.Rules.Cold),
		OverloadMultiple: c.Rules.TipMultiple, OverloadDuration: Microseconds(c.Rules.Fall),
	}
	if c.Allowed.RetryAfter {
		s.MaxRetryAfter = Microseconds(c.Allowed.MaxRetryAfter)
	}
	for _, v := range c.Services {
		s.Classes = append(s.Classes, balancer.Class{
			Name: v.Name, LatencyTarget: Microseconds(v.Aim), Deadline: Microseconds(v.Deadline), Value: v.Gain,
			LateValueShare: v.LateValue, Idempotency: translate(idempotencyByWord, v.Effect), KeyScope: translate(keyScopeByWord, v.KeyScope),
			KeyWindow: Microseconds(v.Window), Streaming: v.Streamed,
		})
	}
	for _, v := range c.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: v.Name, QuotaPerSecond: v.QuotaPerS})
	}
	return s, unknown, nil
}

// translate looks a word up and hands an unknown one on unchanged.
func translate[T ~string](words map[string]T, word string) T {
	if v, ok := words[word]; ok {
		return v
	}
	return T(word)
}

// Microseconds is a number of microseconds, the unit of all times in the settings.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
