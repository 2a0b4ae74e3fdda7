package discovery

import (
	"slices"
	"time"
)

// Subscribers is a registry owner's side: who is to be notified of changes of which services. Make one with NewSubscribers.
type Subscribers struct {
	config    Config
	leaseEnds map[string]map[string]time.Duration // by service and subscriber
}

// NewSubscribers makes an empty list of subscribers.
func NewSubscribers(config Config) *Subscribers {
	return &Subscribers{config: config.WithDefaults(), leaseEnds: map[string]map[string]time.Duration{}}
}

// Renew takes a request of a subscriber, which renews its subscription.
func (s *Subscribers) Renew(now time.Duration, service, subscriber string) {
	if s.leaseEnds[service] == nil {
		s.leaseEnds[service] = map[string]time.Duration{}
	}
	s.leaseEnds[service][subscriber] = now + s.config.SubscriptionLease
}

// ConnectionLost reports that the connection to a subscriber broke, which ends its subscriptions.
func (s *Subscribers) ConnectionLost(subscriber string) {
	for service := range s.leaseEnds {
		s.remove(service, subscriber)
	}
}

func (s *Subscribers) remove(service, subscriber string) {
	delete(s.leaseEnds[service], subscriber)
	if len(s.leaseEnds[service]) == 0 {
		delete(s.leaseEnds, service)
	}
}

// Active returns the subscribers of a service now, in order.
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
