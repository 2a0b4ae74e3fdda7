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

// The values, without a platform, of settings that only a platform's file has.
const (
	// standaloneGrace is how long after the client's deadline an answer still counts.
	standaloneGrace = 20 * time.Millisecond
	// standaloneQuantum is the smallest time between two runs of the Balancer's decisions.
	standaloneQuantum = 5 * time.Millisecond
	// standaloneTotalValueWeight is the weight of the total value served, against that of the worst-served class.
	standaloneTotalValueWeight = 0.9
)

// fromProductFile returns the configuration that the product's file has, without a platform.
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
		config.Seed, _ = strconv.ParseUint(sidecar.Seed, 16, 64) // its form was checked
	}
	config.Settings.GraceToAnswer = standaloneGrace
	config.Settings.Settings = balancerSettings(file)
	return config, config.check()
}

// balancerSettings returns the Balancer's settings that the product's file has.
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
		settings.Tiers = 2 // a call may also wait in the queues of the applications behind this one
	}
	for _, v := range appfile.ClassTable.All(file) {
		settings.Classes = append(settings.Classes, balancer.Class{
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
	for _, v := range appfile.TenantTable.All(file) {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: v.Name, QuotaPerSecond: v.Value.QuotaPerSecond})
	}
	return settings
}
