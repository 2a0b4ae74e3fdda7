package balancer

import (
	"strings"
	"testing"
)

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for key, makeInvalid := range map[string]func(*Settings){
		"classes":           func(s *Settings) { s.Classes = nil },
		"classes[0].effect": func(s *Settings) { s.Classes[0].Idempotency = "maybe" },
		"classes[2].scope":  func(s *Settings) { s.Classes[2].KeyScope = "planet" },
		"classes[1].aim":    func(s *Settings) { s.Classes[1].LatencyTarget = -1 },
		"cold":              func(s *Settings) { s.SlowStartWindow = -1 },
		"coldFrom":          func(s *Settings) { s.SlowStartMinShare = 2 },
		"instances":         func(s *Settings) { s.Instances = 0 },
		"fall":              func(s *Settings) { s.OverloadDuration = -1 },
		"askEvery":          func(s *Settings) { s.ResubscribeInterval = -1 },
		"connectTimeout":    func(s *Settings) { s.ConnectTimeout = -1 },
		"classes[0].window": func(s *Settings) { s.Classes[0].KeyWindow = -1 },
		"tenants[0].quota":  func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: -1}} },
		"ordinal":           func(s *Settings) { s.Ordinal = -1 },
		"tipMultiple":       func(s *Settings) { s.OverloadMultiple = -1 },
	} {
		config := settings()
		makeInvalid(&config)
		if _, err := New(config, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("New with an invalid %s returned %v, want an error that names it", key, err)
		}
	}
}
