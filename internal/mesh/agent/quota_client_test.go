package agent

import (
	"sync"
	"testing"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
)

// Each request is answered exactly once while replies with tokens arrive concurrently. With the race detector, the test also checks that
// the accesses are synchronized.
func TestAcquireWhileTokensArrive(t *testing.T) {
	client := newTestSidecar(t, "127.9.2.1:7401", 0).NewQuotaClient()
	tenant := &configuration.Tenant{Name: "t", Rate: 1000, Burst: 1000}
	stop := make(chan struct{})
	var granting sync.WaitGroup
	granting.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				grantTokens(client, tenant.Name)
			}
		}
	})
	var requests sync.WaitGroup
	for range 4 {
		requests.Go(func() {
			for range 200 {
				answered := make(chan struct{})
				client.Acquire(tenant, func(bool, time.Duration) { close(answered) }) // a second answer would panic
				<-answered
			}
		})
	}
	requests.Wait()
	close(stop)
	granting.Wait()
}

// grantTokens makes a client handle a reply that grants a tenant 3 tokens.
func grantTokens(client *QuotaClient, tenant string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	now := client.agent.now()
	client.tokenCache.Tick(now)
	client.tokenCache.HandleReply(now, now, &ratelimit.AllocationReply{
		Granted: true,
		Grants:  []ratelimit.TokenGrant{{Tenant: tenant, Tokens: 3}},
	})
}
