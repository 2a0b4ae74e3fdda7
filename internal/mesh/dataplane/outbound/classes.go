package outbound

import (
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/control/configuration"
)

// maxClasses bounds the number of request classes of one service.
const maxClasses = 256

// classKey identifies a class: the balancer treats requests with the same key alike.
type classKey struct {
	kind            configuration.RouteKind
	target, timeout time.Duration
}

// classTable numbers the classes of one service's requests for its balancer. Each change of a route's times may need a new class; once
// there are maxClasses, further routes use the existing class with the nearest times.
type classTable struct {
	balancer *balancer.Balancer
	log      *logrus.Logger
	numbers  map[classKey]int
}

// number returns the number of the class for a route's requests. It adds the class if there is none; if that fails it returns 0.
func (t *classTable) number(route *configuration.Route) int {
	key := classKey{route.Kind, route.Target, route.Timeout}
	if number, ok := t.numbers[key]; ok {
		return number
	}
	if len(t.numbers) >= maxClasses {
		return t.nearest(key)
	}
	number, err := t.balancer.AddClass(newClass(strconv.Itoa(len(t.numbers)), key))
	if err != nil {
		t.log.WithField("route", route.Name).WithError(err).Warn("outbound: cannot add a request class for the route; using the default class")
		return 0
	}
	t.numbers[key] = number
	return number
}

func newClass(name string, key classKey) balancer.Class {
	class := balancer.Class{
		Name:           name,
		LatencyTarget:  key.target,
		Deadline:       key.timeout,
		Value:          1,
		LateValueShare: lateValueShare,
		Idempotency:    balancer.NonIdempotent,
	}
	if key.kind.IsIdempotent() {
		class.Idempotency = balancer.Idempotent
	}
	if key.target <= 0 {
		class.LatencyTarget = key.timeout / 2
	}
	return class
}

// nearest returns the number of the class of the same route kind whose times are nearest to a key's. If there is none it returns 0, the
// class of requests that are not idempotent.
func (t *classTable) nearest(key classKey) (number int) {
	nearest := time.Duration(math.MaxInt64)
	for other, candidate := range t.numbers {
		if other.kind != key.kind {
			continue
		}
		distance := (other.timeout - key.timeout).Abs() + (other.target - key.target).Abs()
		if distance < nearest || distance == nearest && candidate < number { // ties are broken by number, as the order of a map is random
			nearest = distance
			number = candidate
		}
	}
	return number
}
