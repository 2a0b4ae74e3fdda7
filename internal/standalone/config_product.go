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

// Values of settings that only a platform's file has, for a sidecar that runs without one.
const (
	// standaloneGrace is how long after the caller's deadline an answer is still in time.
	standaloneGrace = 20 * time.Millisecond
	// standaloneQuantum is the minimum time between two runs of the Balancer's decisions.
	standaloneQuantum = 5 * time.Millisecond
	// standaloneTotalValueWeight is the weight of the total value served relative to that of the worst-served class.
	standaloneTotalValueWeight = 0.9
)

// fromProductFile returns the configuration of a sidecar without a platform: all settings come from the product's file.
func fromProductFile(file *schema.File) (*Config, error) {
	sidecar := appfile.SidecarTable.In(file)
	limits := appfile.LimitsTable.In(file)
	discovery := appfile.DiscoveryTable.In(file)
	config := &Config{
		Name:       cmp.Or(sidecar.Instance, sidecar.Application),
		Listen:     sidecar.Listen,
		Discovery:  discovery.Address,
		Limits:     Limits{Cores: limits.Cores, MemoryMB: limits.Memory >> 20, Sockets: limits.Sockets},
		Seed:       rand.Uint64(),
		consulOnly: discovery.Address == "" && endpointsource.SettingsTable.In(file).Mode == endpointsource.ModeConsul,
	}
	if sidecar.Seed != "" {
		config.Seed, _ = strconv.ParseUint(sidecar.Seed, 16, 64) // the file's schema has checked its format
	}
	config.Settings.GraceToAnswer = standaloneGrace
	config.Settings.Settings = balancerSettings(file)
	return config, config.validate()
}

// balancerSettings returns the Balancer's settings from the product's file.
func balancerSettings(file *schema.File) balancer.Settings {
	sidecar := appfile.SidecarTable.In(file)
	discovery := appfile.DiscoveryTable.In(file)
	attempts := appfile.AttemptsTable.In(file)
	warmup := appfile.SlowStartTable.In(file)
	settings := balancer.Settings{
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
	if len(appfile.CallsTable.All(file)) > 0 {
		settings.Tiers = 2 // a request may also wait in the queues of the applications that this one calls
	}
	for _, class := range appfile.ClassTable.All(file) {
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:           class.Name,
			LatencyTarget:  class.Value.LatencyTarget,
			Deadline:       class.Value.Deadline,
			Value:          class.Value.Value,
			LateValueShare: class.Value.LateValueShare,
			Idempotency:    class.Value.Idempotency,
			KeyScope:       class.Value.KeyScope,
			KeyWindow:      class.Value.KeyWindow,
		})
	}
	for _, tenant := range appfile.TenantTable.All(file) {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: tenant.Name, QuotaPerSecond: tenant.Value.QuotaPerSecond})
	}
	return settings
}
