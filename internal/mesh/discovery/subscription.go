package discovery

import (
	"slices"
	"time"
)

// RegistryOwner is one incarnation of a process that holds the records of a service's endpoints. Each incarnation has a registry of its
// own, with versions of its own.
type RegistryOwner struct {
	Address     string
	Incarnation uint64
}

// SubscribeRequest asks an owner for the records of a service that have changed since a version of its registry, and renews the
// subscription.
type SubscribeRequest struct {
	To           string // address of the owner
	Incarnation  uint64 // of the owner that has SinceVersion; another incarnation answers as if that were 0
	Service      string
	SinceVersion uint64
}

// Subscription is a subscriber's side: it polls the owners of the services that the subscriber wants. NewSubscription makes one.
type Subscription struct {
	config         Config
	services       map[string][]*source // by service, in the order of preference
	sortedServices []string             // the keys of services
}

// source is one owner of one service.
type source struct {
	RegistryOwner
	state       sourceState
	version     uint64        // of its registry, up to which all records were received
	answeredAt  time.Duration // last answer, or the first request
	nextRequest time.Duration // not used while notAsked: the first request is due at once
}

// sourceState is the state of a source; only transition changes it.
//
//	notAsked ──▶ awaitingAnswer ──▶ answered
//	                  │                │ ▲
//	                  ▼                ▼ │
//	                    unresponsive ────┘
type sourceState uint8

const (
	notAsked sourceState = iota
	awaitingAnswer
	answered
	unresponsive // the connection broke, or there was no answer for two poll intervals
)

// transition changes the state, and makes the next request due after a time.
func (s *source) transition(now time.Duration, to sourceState, untilRequest time.Duration) {
	s.state = to
	s.nextRequest = now + untilRequest
}

// NewSubscription returns a subscription without services.
func NewSubscription(config Config) *Subscription {
	return &Subscription{config: config.WithDefaults(), services: map[string][]*source{}}
}

// SetOwners replaces the registry owners of a service, the preferred ones first; without any, the subscription to the service ends. The
// first OwnersQueried of them that aren't unresponsive are polled.
func (s *Subscription) SetOwners(service string, owners []RegistryOwner) {
	var sources []*source
	for _, owner := range owners {
		i := slices.IndexFunc(s.services[service], func(known *source) bool { return known.RegistryOwner == owner })
		if i < 0 {
			sources = append(sources, &source{RegistryOwner: owner})
		} else {
			sources = append(sources, s.services[service][i])
		}
	}
	s.services[service] = sources
	if len(sources) == 0 {
		delete(s.services, service)
	}
	s.sortedServices = s.sortedServices[:0]
	for name := range s.services {
		s.sortedServices = append(s.sortedServices, name)
	}
	slices.Sort(s.sortedServices)
}

// Tick returns the requests that are due: to new owners at once, to others after PollInterval, or RetryInterval without an answer.
func (s *Subscription) Tick(now time.Duration) []SubscribeRequest {
	var due []SubscribeRequest
	for _, service := range s.sortedServices {
		due = s.appendDue(now, due, service)
	}
	return due
}

// appendDue appends the requests for one service: to the first OwnersQueried that aren't unresponsive, and to the unresponsive ones that
// precede them, which may respond again.
func (s *Subscription) appendDue(now time.Duration, due []SubscribeRequest, service string) []SubscribeRequest {
	left := s.config.OwnersQueried
	for _, src := range s.services[service] {
		if left == 0 {
			break
		}
		src.checkTimeout(now, 2*s.config.PollInterval)
		if src.state != unresponsive {
			left--
		}
		if src.state == notAsked || now >= src.nextRequest {
			due = append(due, src.request(service))
			src.noteRequest(now, &s.config)
		}
	}
	return due
}

// checkTimeout makes a source unresponsive that hasn't answered for the time-out. The next request to it is due at once.
func (s *source) checkTimeout(now, timeout time.Duration) {
	if (s.state == answered || s.state == awaitingAnswer) && now-s.answeredAt >= timeout {
		s.transition(now, unresponsive, 0)
	}
}

// request returns the request for a service to this source.
func (s *source) request(service string) SubscribeRequest {
	return SubscribeRequest{To: s.Address, Incarnation: s.Incarnation, Service: service, SinceVersion: s.version}
}

// noteRequest records that a request is sent now, and schedules the next one.
func (s *source) noteRequest(now time.Duration, config *Config) {
	switch s.state {
	case notAsked:
		s.answeredAt = now
		s.transition(now, awaitingAnswer, config.RetryInterval)
	case awaitingAnswer:
		s.transition(now, awaitingAnswer, config.RetryInterval)
	case answered, unresponsive:
		s.transition(now, s.state, config.PollInterval)
	}
}

// Received records that an owner has answered with the records up to a version of its registry.
func (s *Subscription) Received(now time.Duration, from RegistryOwner, service string, version uint64) {
	for _, src := range s.services[service] {
		if src.RegistryOwner != from {
			continue
		}
		src.version = max(src.version, version)
		src.answeredAt = now
		if src.state != answered {
			src.transition(now, answered, s.config.PollInterval)
		}
	}
}

// ConnectionLost makes the owner at an address unresponsive, as the connection to it broke. The other owners of its services are asked at
// once.
func (s *Subscription) ConnectionLost(now time.Duration, address string) {
	for _, sources := range s.services {
		if !slices.ContainsFunc(sources, func(src *source) bool { return src.Address == address }) {
			continue
		}
		for _, src := range sources {
			if src.Address == address {
				src.transition(now, unresponsive, s.config.RetryInterval)
			} else {
				src.nextRequest = now
			}
		}
	}
}
