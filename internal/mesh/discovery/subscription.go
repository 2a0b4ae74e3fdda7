package discovery

import (
	"slices"
	"time"
)

// RegistryOwner is one incarnation of a process that holds the records of a service's endpoints. Each incarnation has a separate registry
// with separate versions.
type RegistryOwner struct {
	Address     string
	Incarnation uint64
}

// SubscribeRequest asks an owner for the records of a service that have changed since a version of its registry, and renews the
// subscription.
type SubscribeRequest struct {
	To           string // address of the owner
	Incarnation  uint64 // incarnation of the owner whose registry had SinceVersion; another incarnation ignores SinceVersion
	Service      string
	SinceVersion uint64
}

// Subscription polls the owners of the services that a subscriber uses. Create it with NewSubscription.
type Subscription struct {
	config           Config
	sourcesByService map[string][]*source // owners by service, the preferred ones first
	sortedServices   []string             // sorted keys of sourcesByService
}

// source is one owner of one service, with the state of the requests to it.
type source struct {
	RegistryOwner
	state       sourceState
	version     uint64        // version of the owner's registry up to which all records were received
	answeredAt  time.Duration // time of the last answer, or of the first request
	nextRequest time.Duration // time of the next request; unused in state notAsked, when a request is due immediately
}

// sourceState is the state of a source. Only transition changes it.
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
	unresponsive // the connection broke, or the owner didn't answer for two poll intervals
)

// transition changes the state, and makes the next request due after untilRequest.
func (s *source) transition(now time.Duration, to sourceState, untilRequest time.Duration) {
	s.state = to
	s.nextRequest = now + untilRequest
}

// NewSubscription returns a subscription without services.
func NewSubscription(config Config) *Subscription {
	return &Subscription{config: config.WithDefaults(), sourcesByService: map[string][]*source{}}
}

// SetOwners replaces the registry owners of a service, in the order of preference. If there are none, the subscription to the service ends.
// The first OwnersQueried owners that aren't unresponsive are polled.
func (s *Subscription) SetOwners(service string, owners []RegistryOwner) {
	var sources []*source
	for _, owner := range owners {
		i := slices.IndexFunc(s.sourcesByService[service], func(known *source) bool { return known.RegistryOwner == owner })
		if i < 0 {
			sources = append(sources, &source{RegistryOwner: owner})
		} else {
			sources = append(sources, s.sourcesByService[service][i])
		}
	}
	s.sourcesByService[service] = sources
	if len(sources) == 0 {
		delete(s.sourcesByService, service)
	}
	s.sortedServices = s.sortedServices[:0]
	for name := range s.sourcesByService {
		s.sortedServices = append(s.sortedServices, name)
	}
	slices.Sort(s.sortedServices)
}

// Tick returns the requests that are due. Requests to new owners are due immediately, others after PollInterval, or after RetryInterval if
// a new owner hasn't answered yet.
func (s *Subscription) Tick(now time.Duration) []SubscribeRequest {
	var due []SubscribeRequest
	for _, service := range s.sortedServices {
		due = s.appendDue(now, due, service)
	}
	return due
}

// appendDue appends the due requests for one service: to the first OwnersQueried owners that aren't unresponsive, and to the unresponsive
// owners before them in the list, which may respond again.
func (s *Subscription) appendDue(now time.Duration, due []SubscribeRequest, service string) []SubscribeRequest {
	remaining := s.config.OwnersQueried
	for _, src := range s.sourcesByService[service] {
		if remaining == 0 {
			break
		}
		src.checkTimeout(now, 2*s.config.PollInterval)
		if src.state != unresponsive {
			remaining--
		}
		if src.state == notAsked || now >= src.nextRequest {
			due = append(due, src.request(service))
			src.noteRequest(now, &s.config)
		}
	}
	return due
}

// checkTimeout makes a source unresponsive if it hasn't answered for the timeout. The next request to it is then due immediately.
func (s *source) checkTimeout(now, timeout time.Duration) {
	if (s.state == answered || s.state == awaitingAnswer) && now-s.answeredAt >= timeout {
		s.transition(now, unresponsive, 0)
	}
}

// request returns the request to this source for a service.
func (s *source) request(service string) SubscribeRequest {
	return SubscribeRequest{To: s.Address, Incarnation: s.Incarnation, Service: service, SinceVersion: s.version}
}

// noteRequest records that a request is sent at the given time, and schedules the next one.
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

// Received records that an owner has answered a request with the records up to a version of its registry.
func (s *Subscription) Received(now time.Duration, from RegistryOwner, service string, version uint64) {
	for _, src := range s.sourcesByService[service] {
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

// ConnectionLost makes the owner at an address unresponsive, because the connection to it broke. Requests to the other owners of its
// services become due immediately.
func (s *Subscription) ConnectionLost(now time.Duration, address string) {
	for _, sources := range s.sourcesByService {
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
