package agent

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// Requests are answered once each, by tokens that come while others are being taken in; the race detector looks on.
func TestTakeWhileTokensCome(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	hub := transport.NewHub(transport.Hello{Incarnation: 1, Address: "127.9.2.1:7401"}, time.Now(), 1<<20, log)
	defer hub.Close()
	client := New(Config{Settings: &settings.Settings{}, Hub: hub, Role: membership.RoleAccess, Log: log}).NewQuotaClient()
	tenant := &configuration.Tenant{Name: "t", Rate: 1000, Burst: 1000}
	var all sync.WaitGroup
	stop := make(chan struct{})
	var granting sync.WaitGroup
	granting.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			client.mu.Lock()
			now := hub.Now()
			client.tokenCache.Tick(now)
			client.tokenCache.HandleReply(now, now, &ratelimit.AllocationReply{Granted: true, Grants: []ratelimit.TokenGrant{{Tenant: "t", Tokens: 3}}})
			client.mu.Unlock()
		}
	})
	for range 4 {
		all.Go(func() {
			for range 200 {
				answered := make(chan struct{})
				client.Acquire(tenant, func(bool, time.Duration) { close(answered) }) // a second answer would panic
				<-answered
			}
		})
	}
	all.Wait()
	close(stop)
	granting.Wait()
}
