package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

func TestTenantOverQuotaIsServedLast(t *testing.T) {
	config := settings()
	config.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 5}, {Name: "b", QuotaPerSecond: 100}}
	fixture := start(t, config, 1)
	fixture.serveRequests(100, nil)
	for i := range 150 {
		fixture.balancer.HandleRequest(fixture.now, Request{ID: RequestID(fmt.Sprint("t", i)), Tenant: i % 2, TimeLeft: 1500 * ms})
	}
	for range 20 {
		fixture.advance(20 * ms)
		for _, r := range slices.Clone(fixture.balancer.listed[0].calls) {
			fixture.finish(attempt{id: r.id, to: 1, number: r.attempts - 1}, StatusOK, 20*ms)
		}
	}
	served := map[bool]int{} // number of sends, by whether the tenant is the one over its quota
	for _, s := range fixture.sent[100:] {
		served[(s.id[len(s.id)-1]-'0')%2 == 0]++
	}
	if served[true] >= served[false] {
		t.Errorf("%d sends for the tenant over its quota, %d for the other, want fewer", served[true], served[false])
	}
}

// A tenant with a request every three seconds at an instance is within its quota. A bucket with a capacity of one second of the quota
// would never contain a complete token, so that each request would exceed the quota.
func TestSmallTenantIsWithinItsQuota(t *testing.T) {
	config := settings()
	config.Instances = 100
	config.Tenants = []Tenant{{Name: "small", QuotaPerSecond: 40}, {Name: "large", QuotaPerSecond: 1000}}
	fixture := start(t, config, 50)
	overQuota := 0
	for i := range 60 {
		id := RequestID(fmt.Sprint("t", i))
		fixture.balancer.HandleRequest(fixture.now, Request{ID: id, TimeLeft: 1500 * ms})
		if fixture.balancer.requests[id].overQuota {
			overQuota++
		}
		fixture.advance(20 * ms)
		fixture.finish(fixture.last(), StatusOK, 20*ms)
		fixture.advance(2980 * ms)
	}
	if overQuota > 6 {
		t.Errorf("%d of 60 requests count as over a quota that is never exceeded, want at most 6", overQuota)
	}
}

// Requests over their tenant's quota are served as long as the other tenants leave a part of the sum of all quotas unused, and
// rejected otherwise.
func TestRequestsOverQuotaUseOnlyUnusedQuota(t *testing.T) {
	config := settings()
	config.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 5}, {Name: "b", QuotaPerSecond: 45}}
	fixture := start(t, config, 50)
	fixture.serveRequests(50, nil)
	rejected := func(tenthsOfOther int) int {
		before := len(fixture.rejections)
		for i := range 2000 {
			for tenant := range 2 {
				if tenant == 1 && i%10 >= tenthsOfOther {
					continue
				}
				sent := len(fixture.sent)
				fixture.balancer.HandleRequest(fixture.now, Request{ID: fixture.nextID(), Tenant: tenant, TimeLeft: 1500 * ms})
				if len(fixture.sent) > sent {
					fixture.finish(fixture.last(), StatusOK, 20*ms)
				}
			}
			fixture.advance(22 * ms) // 45 requests per second of tenant a, and up to as many of b
		}
		return len(fixture.rejections) - before
	}
	if n := rejected(0); n > 40 {
		t.Errorf("%d of 2000 requests rejected while the other tenant has none, want at most 40", n)
	}
	if n := rejected(10); n < 1500 {
		t.Errorf("%d of 2000 requests rejected while the other tenant uses all of its quota, want at least 1500", n)
	}
}

// Quotas are divided by the number of instances that may exist, not by the number of reachable ones. A bucket whose capacity grows
// gets no additional tokens.
func TestGroupUpdateDividesQuotas(t *testing.T) {
	config := settings()
	config.Instances, config.Tenants = 10, []Tenant{{Name: "a", QuotaPerSecond: 100}}
	fixture := start(t, config, 40)
	checkRate := func(g InstanceGroup, want float64) {
		t.Helper()
		tokensBefore := fixture.balancer.quotas.tenants[0].tokens
		if err := fixture.balancer.UpdateGroup(fixture.now, g); err != nil {
			t.Fatal(err)
		}
		tenant, total := &fixture.balancer.quotas.tenants[0], &fixture.balancer.quotas.total
		if tenant.rate != want || math.Abs(total.rate-want) > 1e-9 {
			t.Errorf("group %+v: tenant's rate %v and total rate %v per second, want %v", g, tenant.rate, total.rate, want)
		}
		if tenant.tokens > tokensBefore {
			t.Errorf("group %+v: tenant's bucket has %v tokens, want at most the %v before", g, tenant.tokens, tokensBefore)
		}
	}
	checkRate(InstanceGroup{Instances: 3, MaxInstances: 10}, 10)
	checkRate(InstanceGroup{Instances: 4, Ordinal: 3}, 25)
	checkRate(InstanceGroup{Instances: 20}, 5)
	for want, g := range map[string]InstanceGroup{
		"0 instances":               {},
		"ordinal 3 is out of range": {Instances: 3, Ordinal: 3},
		"self is not":               {Instances: 2, Members: []uint64{1, 2}, Self: 3},
		"1 members for":             {Instances: 2, Members: []uint64{1}, Self: 1},
	} {
		if err := fixture.balancer.UpdateGroup(fixture.now, g); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("UpdateGroup with the invalid group %+v returned %v, want an error with %q", g, err, want)
		}
	}
	if fixture.balancer.settings.Instances != 20 {
		t.Error("an invalid group changed the settings")
	}
}
