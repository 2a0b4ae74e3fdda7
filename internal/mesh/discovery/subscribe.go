package discovery

import (
	"slices"
	"time"
)

// RegistryOwner is a process that holds a service's endpoints, in one of its lives: versions of a registry count within one life.
type RegistryOwner struct {
	Address     string
	Incarnation uint64
}

// SubscribeRequest is a request to a home for what changed of a service since a version of its registry. It renews the subscription as well.
type SubscribeRequest struct {
	To           string
	Incarnation  uint64 // of the home that Since is of: for another life it is 0
	Service      string
	SinceVersion uint64
}

// Subscription is a caller's side: it asks the homes of the services that the caller wants.
type Subscription struct {
	config         Config
	services       map[string][]*source
	sortedServices []string
}

// source is one home of one service.
type source struct {
	RegistryOwner
	state       sourceState
	version     uint64
	answeredAt  time.Duration
	nextRequest time.Duration // request
}

type sourceState uint8

const (
	notAsked       sourceState = iota // not asked yet
	awaitingAnswer                    // no answer yet
	answered                          // it answered
	unresponsive                      // the connection broke, or it stays silent
)

func (s *source) transition(now time.Duration, to sourceState, next time.Duration) {
	s.state, s.nextRequest = to, now+next
}

// NewSubscription makes a subscription to nothing.
func NewSubscription(bounds Config) *Subscription {
	return &Subscription{config: bounds.WithDefaults(), services: map[string][]*source{}}
}

// SetOwners sets the homes of a service as they are now, the preferred ones first; none ends the subscription to it. The first Width
// homes that are not broken are asked.
func (s *Subscription) SetOwners(_ time.Duration, service string, homes []RegistryOwner) {
	var now []*source
	for _, h := range homes {
		i := slices.IndexFunc(s.services[service], func(o *source) bool { return o.RegistryOwner == h })
		if i < 0 {
			now = append(now, &source{RegistryOwner: h})
		} else {
			now = append(now, s.services[service][i])
		}
	}
	s.services[service] = now
	if len(now) == 0 {
		delete(s.services, service)
	}
	s.sortedServices = s.sortedServices[:0]
	for name := range s.services {
		s.sortedServices = append(s.sortedServices, name)
	}
	slices.Sort(s.sortedServices)
}

// Tick gives the requests that are due: to new homes at once, to the others at intervals.
func (s *Subscription) Tick(now time.Duration) (due []SubscribeRequest) {
	for _, service := range s.sortedServices {
		width := s.config.OwnersQueried
		for _, h := range s.services[service] {
			if width == 0 {
				break
			}
			if (h.state == answered || h.state == awaitingAnswer) && now-h.answeredAt >= 2*s.config.PollInterval {
				h.transition(now, unresponsive, 0)
			}
			if h.state != unresponsive {
				width--
			}
			if now < h.nextRequest && h.state != notAsked {
				continue
			}
			due = append(due, SubscribeRequest{To: h.Address, Incarnation: h.Incarnation, Service: service, SinceVersion: h.version})
			switch h.state {
			case notAsked:
				h.answeredAt = now
				h.transition(now, awaitingAnswer, s.config.RetryInterval)
			case awaitingAnswer:
				h.transition(now, awaitingAnswer, s.config.RetryInterval)
			default:
				h.transition(now, h.state, s.config.PollInterval)
			}
		}
	}
	return due
}

// Received reports that a home, in one of its lives, sent what it holds up to a version of its registry.
func (s *Subscription) Received(now time.Duration, from RegistryOwner, service string, version uint64) {
	for _, h := range s.services[service] {
		if h.RegistryOwner == from {
			h.version, h.answeredAt = max(h.version, version), now
			if h.state != answered {
				h.transition(now, answered, s.config.PollInterval)
			}
		}
	}
}

// ConnectionLost reports that the connection to a home broke: the others are asked at once.
func (s *Subscription) ConnectionLost(now time.Duration, address string) {
	for _, homes := range s.services {
		if !slices.ContainsFunc(homes, func(h *source) bool { return h.Address == address }) {
			continue
		}
		for _, h := range homes {
			if h.Address == address {
				h.transition(now, unresponsive, s.config.RetryInterval)
			} else {
				h.nextRequest = now
			}
		}
	}
}

// Subscribers is a home's side: who is to be notified of which services.
type Subscribers struct {
	config    Config
	leaseEnds map[string]map[string]time.Duration
}

// NewSubscribers makes an empty list of subscribers.
func NewSubscribers(bounds Config) *Subscribers {
	return &Subscribers{config: bounds.WithDefaults(), leaseEnds: map[string]map[string]time.Duration{}}
}

// Renew takes a request of a subscriber, which renews its subscription.
func (s *Subscribers) Renew(now time.Duration, service, who string) {
	if s.leaseEnds[service] == nil {
		s.leaseEnds[service] = map[string]time.Duration{}
	}
	s.leaseEnds[service][who] = now + s.config.SubscriptionLease
}

// ConnectionLost reports that the connection to a subscriber broke.
func (s *Subscribers) ConnectionLost(who string) {
	for service := range s.leaseEnds {
		s.remove(service, who)
	}
}

func (s *Subscribers) remove(service, who string) {
	delete(s.leaseEnds[service], who)
	if len(s.leaseEnds[service]) == 0 {
		delete(s.leaseEnds, service)
	}
}

// Active gives the subscribers of a service now.
func (s *Subscribers) Active(now time.Duration, service string) (to []string) {
	for who, until := range s.leaseEnds[service] {
		if now >= until {
			s.remove(service, who)
		} else {
			to = append(to, who)
		}
	}
	slices.Sort(to)
	return to
}
