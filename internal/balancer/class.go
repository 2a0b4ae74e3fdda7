package balancer

import "time"

// This file holds what is known of a class of request: its latency, how it is served, and what an answer of it is worth.

const (
	meanLatencyWeight = 0.05 // of one answer in the mean latency
	minWindowSamples  = 16   // answers, and one rate window, that are averaged for one step of the base latency
	skippedWindows    = 1    // first windows that do not count
	baseLatencyFall   = 0.3  // part of the way that base and usual latency go towards a lower mean
	baseLatencyRise   = 0.02 // part that the base latency goes towards a higher one: little, so that an overload is not taken for normal
	usualLatencyRise  = 0.08 // part that the usual latency goes towards a higher one

	initialTailRatio = 6.0 // first guess of the latency that tailQuantile of all answers exceed, in mean latencies
	tailQuantile     = 0.01
	tailStep         = 0.3 // how far one answer moves that guess, in mean latencies

	classHistoryRequests = 100 // requests of a class over which the share that is answered in time is remembered
	minClassRequests     = 5   // requests of a class from which that share counts
)

// latencyEstimate is what was seen of a class's latency, in seconds.
type latencyEstimate struct {
	mean      float64 // smoothed; 0 before the first answer
	base      float64 // under little load
	usual     float64 // under the usual load: pressure is measured against it
	tailRatio float64 // mean latencies that tailQuantile of all answers exceed

	windowSum     float64 // of the latencies in the window
	windowSamples int     // how many latencies that is the sum of
	windowStart   time.Duration
	windows       int // that have been closed
}

// add takes an answer's latency in.
func (l *latencyEstimate) add(now, window time.Duration, latency float64) {
	if l.mean == 0 {
		l.mean, l.base = latency, latency
	}
	// A stochastic quantile estimate: rare long answers lift it as much as all others together lower it.
	l.tailRatio -= tailStep * tailQuantile
	if latency > (l.tailRatio+tailStep)*l.mean {
		l.tailRatio += tailStep
	}
	l.mean += meanLatencyWeight * (latency - l.mean)
	l.windowSum += latency
	l.windowSamples++
	windowMean := l.windowSum / float64(l.windowSamples)
	if l.windows == 0 {
		l.base, l.usual = windowMean, windowMean
	}
	if l.windowSamples >= minWindowSamples && now-l.windowStart >= window {
		l.closeWindow(windowMean)
		l.windowSum, l.windowSamples, l.windowStart = 0, 0, now
	}
}

// closeWindow moves the base and the usual latency by the mean of a window. The first window holds only the short answers of the
// first requests, and is passed over: a base learnt from it would hold back nearly everything.
func (l *latencyEstimate) closeWindow(mean float64) {
	l.windows++
	if l.windows <= skippedWindows+1 {
		l.usual, l.base = mean, mean
		return
	}
	// The base latency comes to lie well under the mean of a tier with little load, as it follows the lowest windows.
	// Pressure measured against it held requests back on quiet days; so there is the usual latency, too.
	l.usual = moveToward(l.usual, mean, usualLatencyRise)
	l.base = moveToward(l.base, mean, baseLatencyRise)
}

// known reports whether the estimate rests on enough answers to set limits by.
func (l *latencyEstimate) known() bool { return l.windows > skippedWindows }

// tail is the latency that tailQuantile of all answers exceed; 0 before the first one.
func (l *latencyEstimate) tail() float64 { return l.tailRatio * l.mean }

// class is a class of request with what was seen of it.
type class struct {
	Class
	latency     latencyEstimate
	maxTimeLeft time.Duration // the longest that a request arrived with
	requests    float64       // how many came lately; halved now and then
	onTime      float64       // how many of these were answered within the latency target
	// marginalValue is what answering one more unit of its work adds to what is optimized.
	marginalValue float64
}

// AddClass adds a class of request to those of Settings, and returns its index for Request.Class; requests of the others
// go on as they are. It returns an error, and changes nothing, where New would reject the class.
func (b *Balancer) AddClass(c Class) (int, error) {
	key := classKey(len(b.classes))
	if err := c.checkEnums(key); err != nil {
		return 0, err
	}
	if err := checkMinimums(c.minimums(key)); err != nil {
		return 0, err
	}
	return b.addClass(c), nil
}

func (b *Balancer) addClass(c Class) int {
	b.classes = append(b.classes, &class{Class: c, latency: latencyEstimate{tailRatio: initialTailRatio}})
	return len(b.classes) - 1
}

// countRequest counts a request of a class, and lets the past of all fade.
func (b *Balancer) countRequest(c *class) {
	if c.requests++; c.requests < classHistoryRequests {
		return
	}
	for _, each := range b.classes {
		each.requests /= 2
		each.onTime /= 2
	}
}

// updateClassValues sets what answering one more unit of each class's work adds to what is optimized: its part of the total
// value, and for the worst-served class the weight of being that. Pending requests that went by their time alone cost the class
// of the highest value as many answers as that of the lowest.
func (b *Balancer) updateClassValues() {
	totalValue, totalWork := 0.0, 0.0
	worst := b.classes[0]
	for _, c := range b.classes {
		totalValue += c.requests * c.latency.mean * b.valueDensity(c)
		totalWork += c.requests * c.latency.mean
		if c.requests >= minClassRequests && (worst.requests < minClassRequests || c.worseServedThan(worst)) {
			worst = c
		}
	}
	for _, c := range b.classes {
		c.marginalValue = 0
		if totalValue > 0 {
			c.marginalValue = b.settings.TotalValueWeight * b.valueDensity(c) * totalWork / totalValue
		}
		if work := c.requests * c.latency.mean; c == worst && work > 0 {
			c.marginalValue += b.settings.WorstClassWeight * totalWork / work
		}
	}
}

// worseServedThan reports whether a smaller share of the class's requests is answered in time than of another's. Both must have
// some.
func (c *class) worseServedThan(other *class) bool {
	return c.onTime*other.requests < other.onTime*c.requests
}

// valueDensity is the value of a unit of a class's work, which is taken to be as its latency.
func (b *Balancer) valueDensity(c *class) float64 {
	if b.settings.ValuePerWorkUnit || c.latency.mean == 0 {
		return c.Value
	}
	return c.Value / c.latency.mean
}
