package discovery

import (
	"slices"
	"time"
)

// Home is a process that holds a service's endpoints, in one of its lives: versions of a registry count within one life.
type Home struct {
	Address string
	Life    uint64
}

// Ask is a request to a home for what changed of a service since a version of its registry. It renews the subscription as well.
type Ask struct {
	To      string
	Life    uint64 // of the home that Since is of: for another life it is 0
	Service string
	Since   uint64
}

// Subscription is a caller's side: it asks the homes of the services that the caller wants.
type Subscription struct {
	bounds   Bounds
	services map[string][]*source
	order    []string
}

// source is one home of one service.
type source struct {
	Home
	step    step
	version uint64
	got     time.Duration
	next    time.Duration // request
}

type step uint8

const (
	fresh  step = iota // not asked yet
	asked              // no answer yet
	held               // it answered
	broken             // the connection broke, or it stays silent
)

func (s *source) shift(now time.Duration, to step, next time.Duration) {
	s.step, s.next = to, now+next
}

// NewSubscription makes a subscription to nothing.
func NewSubscription(bounds Bounds) *Subscription {
	return &Subscription{bounds: bounds.Filled(), services: map[string][]*source{}}
}

// Want sets the homes of a service as they are now, the preferred ones first; none ends the subscription to it. The first Width
// homes that are not broken are asked.
func (s *Subscription) Want(_ time.Duration, service string, homes []Home) {
	var now []*source
	for _, h := range homes {
		i := slices.IndexFunc(s.services[service], func(o *source) bool { return o.Home == h })
		if i < 0 {
			now = append(now, &source{Home: h})
		} else {
			now = append(now, s.services[service][i])
		}
	}
	s.services[service] = now
	if len(now) == 0 {
		delete(s.services, service)
	}
	s.order = s.order[:0]
	for name := range s.services {
		s.order = append(s.order, name)
	}
	slices.Sort(s.order)
}

// Tick gives the requests that are due: to new homes at once, to the others at intervals.
func (s *Subscription) Tick(now time.Duration) (due []Ask) {
	for _, service := range s.order {
		width := s.bounds.Width
		for _, h := range s.services[service] {
			if width == 0 {
				break
			}
			if (h.step == held || h.step == asked) && now-h.got >= 2*s.bounds.Ask {
				h.shift(now, broken, 0)
			}
			if h.step != broken {
				width--
			}
			if now < h.next && h.step != fresh {
				continue
			}
			due = append(due, Ask{To: h.Address, Life: h.Life, Service: service, Since: h.version})
			switch h.step {
			case fresh:
				h.got = now
				h.shift(now, asked, s.bounds.Retry)
			case asked:
				h.shift(now, asked, s.bounds.Retry)
			default:
				h.shift(now, h.step, s.bounds.Ask)
			}
		}
	}
	return due
}

// Got reports that a home, in one of its lives, sent what it holds up to a version of its registry.
func (s *Subscription) Got(now time.Duration, from Home, service string, version uint64) {
	for _, h := range s.services[service] {
		if h.Home == from {
			h.version, h.got = max(h.version, version), now
			if h.step != held {
				h.shift(now, held, s.bounds.Ask)
			}
		}
	}
}

// Lost reports that the connection to a home broke: the others are asked at once.
func (s *Subscription) Lost(now time.Duration, address string) {
	for _, homes := range s.services {
		if !slices.ContainsFunc(homes, func(h *source) bool { return h.Address == address }) {
			continue
		}
		for _, h := range homes {
			if h.Address == address {
				h.shift(now, broken, s.bounds.Retry)
			} else {
				h.next = now
			}
		}
	}
}

// Subscribers is a home's side: who is to be notified of which services.
type Subscribers struct {
	bounds Bounds
	until  map[string]map[string]time.Duration
}

// NewSubscribers makes an empty list of subscribers.
func NewSubscribers(bounds Bounds) *Subscribers {
	return &Subscribers{bounds: bounds.Filled(), until: map[string]map[string]time.Duration{}}
}

// Hold takes a request of a subscriber, which renews its subscription.
func (s *Subscribers) Hold(now time.Duration, service, who string) {
	if s.until[service] == nil {
		s.until[service] = map[string]time.Duration{}
	}
	s.until[service][who] = now + s.bounds.Hold
}

// Lost reports that the connection to a subscriber broke.
func (s *Subscribers) Lost(who string) {
	for service := range s.until {
		s.end(service, who)
	}
}

func (s *Subscribers) end(service, who string) {
	delete(s.until[service], who)
	if len(s.until[service]) == 0 {
		delete(s.until, service)
	}
}

// Notify gives the subscribers of a service now.
func (s *Subscribers) Notify(now time.Duration, service string) (to []string) {
	for who, until := range s.until[service] {
		if now >= until {
			s.end(service, who)
		} else {
			to = append(to, who)
		}
	}
	slices.Sort(to)
	return to
}
