package discovery

import (
	"slices"
	"time"
)

// RegistryOwner is a process that holds a service's endpoints, in one of its incarnations: versions of a registry count within one.
type RegistryOwner struct {
	Address     string
	Incarnation uint64
}

// SubscribeRequest asks an owner for what changed of a service since a version of its registry, and renews the subscription.
type SubscribeRequest struct {
	To           string
	Incarnation  uint64 // of the owner that SinceVersion is of: another one takes it for 0
	Service      string
	SinceVersion uint64
}

// Subscription is a caller's side: it asks the owners of the services that the caller wants. Make one with NewSubscription.
type Subscription struct {
	config         Config
	services       map[string][]*source // in the order of preference
	sortedServices []string
}

// source is one owner of one service.
type source struct {
	RegistryOwner
	state       sourceState
	version     uint64        // of its registry, up to which everything was received
	answeredAt  time.Duration // last, or when it was first asked
	nextRequest time.Duration
}

// sourceState is what is known of a source; only transition changes it.
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

// transition changes the state, and has the next request sent after a while.
func (s *source) transition(now time.Duration, to sourceState, untilRequest time.Duration) {
	s.state = to
	s.nextRequest = now + untilRequest
}

// NewSubscription makes a subscription to nothing.
func NewSubscription(config Config) *Subscription {
	return &Subscription{config: config.WithDefaults(), services: map[string][]*source{}}
}

// SetOwners gives the registry owners of a service as they are now, the preferred ones first; without any, the subscription to it ends.
// The first OwnersQueried that aren't unresponsive are asked.
func (s *Subscription) SetOwners(_ time.Duration, service string, owners []RegistryOwner) {
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

// Tick returns the requests that are due: to new owners at once, to the others at intervals.
func (s *Subscription) Tick(now time.Duration) []SubscribeRequest {
	var due []SubscribeRequest
	for _, service := range s.sortedServices {
		due = s.appendDue(now, due, service)
	}
	return due
}

// appendDue appends the requests for one service: to the first OwnersQueried that respond, and to the unresponsive ones before them.
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

// checkTimeout takes a source for unresponsive that didn't answer for so long; it is asked at once.
func (s *source) checkTimeout(now, timeout time.Duration) {
	if (s.state == answered || s.state == awaitingAnswer) && now-s.answeredAt >= timeout {
		s.transition(now, unresponsive, 0)
	}
}

func (s *source) request(service string) SubscribeRequest {
	return SubscribeRequest{To: s.Address, Incarnation: s.Incarnation, Service: service, SinceVersion: s.version}
}

// noteRequest schedules the request after one that is sent now.
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

// Received reports that an owner, in one of its incarnations, sent what it holds up to a version of its registry.
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

// ConnectionLost reports that the connection to an owner broke: the others are asked at once.
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
