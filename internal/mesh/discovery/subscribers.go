package discovery

import (
	"slices"
	"time"
)

// Subscribers is a registry owner's list of the processes to notify of changes, by service. Create it with NewSubscribers. After a call of
// Expire it holds only subscriptions that were renewed within Config.SubscriptionLease.
type Subscribers struct {
	config    Config
	leaseEnds map[string]map[string]time.Duration // end of each lease, by service and subscriber
}

// NewSubscribers returns an empty list of subscribers.
func NewSubscribers(config Config) *Subscribers {
	return &Subscribers{config: config.WithDefaults(), leaseEnds: map[string]map[string]time.Duration{}}
}

// Renew subscribes a process to a service, or renews its subscription, after a request of the process.
func (s *Subscribers) Renew(now time.Duration, service, subscriber string) {
	if s.leaseEnds[service] == nil {
		s.leaseEnds[service] = map[string]time.Duration{}
	}
	s.leaseEnds[service][subscriber] = now + s.config.SubscriptionLease
}

// Expire ends the subscriptions whose leases have expired, of all services.
func (s *Subscribers) Expire(now time.Duration) {
	for service, subscribers := range s.leaseEnds {
		for subscriber, leaseEnd := range subscribers {
			if now >= leaseEnd {
				s.remove(service, subscriber)
			}
		}
	}
}

// ConnectionLost ends the subscriptions of a process to which the connection broke. Only tests call it: the agent lets the leases expire.
func (s *Subscribers) ConnectionLost(subscriber string) {
	for service := range s.leaseEnds {
		s.remove(service, subscriber)
	}
}

// remove ends a subscription, and removes the service if it has no other subscribers.
func (s *Subscribers) remove(service, subscriber string) {
	delete(s.leaseEnds[service], subscriber)
	if len(s.leaseEnds[service]) == 0 {
		delete(s.leaseEnds, service)
	}
}

// Active returns the subscribers of a service whose leases have not expired, sorted.
func (s *Subscribers) Active(now time.Duration, service string) []string {
	var active []string
	for subscriber, leaseEnd := range s.leaseEnds[service] {
		if now >= leaseEnd {
			s.remove(service, subscriber)
		} else {
			active = append(active, subscriber)
		}
	}
	slices.Sort(active)
	return active
}
