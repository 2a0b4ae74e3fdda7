package standalone

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/endpointsource"
)

// The settings that only a platform has, where there is none.
const (
	// standaloneGrace is how long after the client's deadline an answer still counts.
	standaloneGrace = 20 * time.Millisecond
	// standaloneQuantum is the smallest time between two runs of the Balancer's decisions.
	standaloneQuantum = 5 * time.Millisecond
	// standaloneTotalValueWeight weighs all that is served against the worst-served class.
	standaloneTotalValueWeight = 0.9
)

// fromProductFile is the configuration that the product's file gives where there is no platform.
func fromProductFile(f *schema.File) (*Config, error) {
	sidecar := appfile.SidecarTable.In(f)
	limits := appfile.LimitsTable.In(f)
	discovery := appfile.DiscoveryTable.In(f)
	c := &Config{
		Name:       cmp.Or(sidecar.Instance, sidecar.Application),
		Listen:     sidecar.Listen,
		Discovery:  discovery.Address,
		Limits:     Limits{Cores: limits.Cores, MemoryMB: limits.Memory >> 20, Sockets: limits.Sockets},
		Seed:       rand.Uint64(),
		consulOnly: discovery.Address == "" && endpointsource.SettingsTable.In(f).Mode == endpointsource.ModeConsul,
	}
	if sidecar.Seed != "" {
		c.Seed, _ = strconv.ParseUint(sidecar.Seed, 16, 64) // its form was checked
	}
	c.Settings.GraceToAnswer = standaloneGrace
	c.Settings.Settings = balancerSettings(f)
	return c, c.check()
}

// balancerSettings are the Balancer's as the product's file has them.
func balancerSettings(f *schema.File) balancer.Settings {
	sidecar := appfile.SidecarTable.In(f)
	discovery := appfile.DiscoveryTable.In(f)
	attempts := appfile.AttemptsTable.In(f)
	warmup := appfile.SlowStartTable.In(f)
	s := balancer.Settings{
		Instances:           sidecar.Instances,
		Ordinal:             sidecar.Ordinal,
		Tiers:               1,
		Quantum:             standaloneQuantum,
		TotalValueWeight:    standaloneTotalValueWeight,
		MayCancel:           attempts.Cancel,
		MayHealthCheck:      attempts.HealthChecks,
		MaxAttempts:         attempts.Max,
		HedgedRequests:      attempts.HedgedRequests,
		MaxRetryAfter:       attempts.MaxRetryAfter,
		ConnectTimeout:      attempts.ConnectTimeout,
		MustSubscribe:       discovery.Mode == appfile.ModePoll,
		ResubscribeInterval: discovery.PollInterval,
		PropagatesDeadline:  true,
		SlowStartMinShare:   warmup.MinShare,
		SlowStartWindow:     warmup.Window,
		OverloadMultiple:    warmup.OverloadMultiple,
		OverloadDuration:    warmup.OverloadDuration,
	}
	if len(appfile.CallsTable.All(f)) > 0 {
		s.Tiers = 2 // a call may wait at the applications behind this one too
	}
	for _, v := range appfile.ClassTable.All(f) {
		s.Classes = append(s.Classes, balancer.Class{
			Name:           v.Name,
			LatencyTarget:  v.Value.LatencyTarget,
			Deadline:       v.Value.Deadline,
			Value:          v.Value.Value,
			LateValueShare: v.Value.LateValueShare,
			Idempotency:    v.Value.Idempotency,
			KeyScope:       v.Value.KeyScope,
			KeyWindow:      v.Value.KeyWindow,
		})
	}
	for _, v := range appfile.TenantTable.All(f) {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: v.Name, QuotaPerSecond: v.Value.QuotaPerSecond})
	}
	return s
}
