package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

func TestTenantBeyondItsQuotaGivesWay(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 5}, {Name: "b", QuotaPerSecond: 100}}
	f := start(t, s, 1)
	f.serve(100, nil)
	for i := range 150 {
		f.b.HandleRequest(f.now, Request{ID: RequestID(fmt.Sprint("t", i)), Tenant: i % 2, TimeLeft: 1500 * ms})
	}
	for range 20 {
		f.pass(20 * ms)
		for _, r := range slices.Clone(f.b.listed[0].calls) {
			f.end(sent{id: r.id, to: 1, attempt: r.attempts - 1}, StatusOK, 20*ms)
		}
	}
	served := map[bool]int{} // by whether the tenant is the one beyond its quota
	for _, s := range f.sent[100:] {
		served[(s.id[len(s.id)-1]-'0')%2 == 0]++
	}
	if served[true] >= served[false] {
		t.Errorf("%d calls of the tenant beyond its quota, %d of the one within", served[true], served[false])
	}
}

// A tenant that sends an instance a request every three seconds never had a whole token in a bucket of a
// second's share, and counted as beyond its quota with every request.
func TestSmallTenantIsWithinItsQuota(t *testing.T) {
	s := settings()
	s.Instances = 100
	s.Tenants = []Tenant{{Name: "small", QuotaPerSecond: 40}, {Name: "large", QuotaPerSecond: 1000}}
	f := start(t, s, 50)
	low := 0
	for i := range 60 {
		id := RequestID(fmt.Sprint("t", i))
		f.b.HandleRequest(f.now, Request{ID: id, TimeLeft: 1500 * ms})
		if f.b.requests[id].overQuota {
			low++
		}
		f.pass(20 * ms)
		f.end(f.last(), StatusOK, 20*ms)
		f.pass(2980 * ms)
	}
	if low > 6 {
		t.Errorf("%d of 60 requests beyond a quota that is never passed", low)
	}
}

// What goes beyond a quota is served from what others leave of all quotas, and not beyond that.
func TestBeyondQuotaTakesOnlyWhatOthersLeave(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 5}, {Name: "b", QuotaPerSecond: 45}}
	f := start(t, s, 50)
	f.serve(50, nil)
	refused := func(others int) int {
		at := len(f.rejections)
		for i := range 2000 {
			for tenant := range 2 {
				if tenant == 1 && i%10 >= others {
					continue
				}
				f.n++
				sent := len(f.sent)
				f.b.HandleRequest(f.now, Request{ID: RequestID(fmt.Sprint("u", f.n)), Tenant: tenant, TimeLeft: 1500 * ms})
				if len(f.sent) > sent {
					f.end(f.last(), StatusOK, 20*ms)
				}
			}
			f.pass(22 * ms) // 45 a second of a, and of b up to as many
		}
		return len(f.rejections) - at
	}
	if n := refused(0); n > 40 {
		t.Errorf("%d of 2000 rejected while the other tenant asks nothing", n)
	}
	if n := refused(10); n < 1500 {
		t.Errorf("%d of 2000 rejected while the other tenant asks for all of its quota, want most", n)
	}
}

// What all together must not go beyond is divided by how many there may be, not by how many are in reach; a bucket that
// grows begins without a burst.
func TestGroupUpdateDividesQuotas(t *testing.T) {
	s := settings()
	s.Instances, s.Tenants = 10, []Tenant{{Name: "a", QuotaPerSecond: 100}}
	f := start(t, s, 40)
	rate := func(g InstanceGroup, want float64) {
		t.Helper()
		level := f.b.quotas.tenants[0].tokens
		if err := f.b.UpdateGroup(f.now, g); err != nil {
			t.Fatal(err)
		}
		if got := f.b.quotas.tenants[0].rate; got != want || math.Abs(f.b.quotas.total.rate-want) > 1e-9 || f.b.quotas.tenants[0].tokens > level {
			t.Errorf("%+v: %v and %v a second, should be %v; level %v after %v", g, got, f.b.quotas.total.rate, want, f.b.quotas.tenants[0].tokens, level)
		}
	}
	rate(InstanceGroup{Instances: 3, MaxInstances: 10}, 10)
	rate(InstanceGroup{Instances: 4, Ordinal: 3}, 25)
	rate(InstanceGroup{Instances: 20}, 5)
	for want, g := range map[string]InstanceGroup{
		"0 instances":   {},
		"no number":     {Instances: 3, Ordinal: 3},
		"this one":      {Instances: 2, Members: []uint64{1, 2}, Self: 3},
		"1 members for": {Instances: 2, Members: []uint64{1}, Self: 1},
	} {
		if err := f.b.UpdateGroup(f.now, g); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, should say %q", g, err, want)
		}
	}
	if f.b.settings.Instances != 20 {
		t.Error("a group that is none changed something")
	}
}
