package route

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// matchPrefix begins the keys of a route's pattern.
const matchPrefix = "match_"

// matchKeys are the keys of a route's pattern, the one first that says most of it.
var matchKeys = []string{"match_path", "match_host", "match_classes", "match_methods", "match_tenants", "match_headers"}

// servedKeys are the keys that mean nothing of a route that serves nothing.
var servedKeys = []string{
	"whole_time", "attempt_time", "route_attempts", "most_open", "retry_share", "retry_reserve", "retry_on", "retry_pause", "route_worth",
	"copy_after", "copy_share",
}

// retryKeys are the keys that mean nothing of a route that allows one attempt.
var retryKeys = []string{"retry_share", "retry_on", "retry_pause"}

// unmatchedHeaders belong to a message, not to what is asked for.
var unmatchedHeaders = []string{"Connection", "Transfer-Encoding", "Content-Length", "X-Txn", "X-Remaining", "Host"}

// checkedRoute is the pattern of a route that was checked.
type checkedRoute struct {
	name    string
	number  int // in the order of the file
	pattern *Pattern
}

// ruleCheck checks one rule.
type ruleCheck struct {
	*Rule
	file    *schema.File
	name    string
	pattern *Pattern
	classes []schema.Named[appfile.Class]
	report  schema.Reporter
}

// check finds what of a route could break a rule, reaches nothing, or clashes with a route before it.
func check(f *schema.File, name string, r *Rule, report schema.Reporter) {
	first, n := Rules.First(f)
	if n > MaxRoutes {
		if r == first {
			report(findingKey(f, name), "%d routes are more than %d", n, MaxRoutes)
		}
		return
	}
	p, faults := r.compile()
	for _, x := range faults {
		key := matchPrefix + x.key
		if f.Setting("route", name, x.key) != nil {
			key = x.key
		}
		report(key, "%s", x.text)
	}
	if len(faults) > 0 {
		return
	}
	c := &ruleCheck{Rule: r, file: f, name: name, pattern: p, classes: appfile.ClassTable.All(f), report: report}
	c.checkReach()
	c.checkTimes()
	c.checkLimits()
	c.checkHedging()
	if r == first || first.checked == nil { // it is nil if the first one has faults
		first.checked = &prefixIndex[checkedRoute]{}
	}
	c.checkClashes(first)
}

// findingKey is the key of a route at which a finding on its whole pattern stands.
func findingKey(f *schema.File, name string) string {
	for _, key := range matchKeys {
		if f.Setting("route", name, key) != nil {
			return key
		}
	}
	return matchKeys[0]
}

// isSet tells whether the file has a key of the route.
func (c *ruleCheck) isSet(key string) bool { return c.file.Setting("route", c.name, key) != nil }

// checkClashes compares the route with those before it, and adds it to them. Of several clashes the earliest in the file is named, so
// that the same file always gives the same findings.
func (c *ruleCheck) checkClashes(first *Rule) {
	var clash checkedRoute
	for other := range first.checked.candidates(c.pattern) {
		rel := c.pattern.compare(other.pattern)
		if (rel == equal || rel == overlaps) && (clash.pattern == nil || other.number < clash.number) {
			clash = other
		}
	}
	first.checkedCount++
	first.checked.add(c.pattern, checkedRoute{name: c.name, number: first.checkedCount, pattern: c.pattern})
	if clash.pattern == nil {
		return
	}
	at := c.file.Location("route", clash.name, "")
	if c.pattern.compare(clash.pattern) == equal {
		c.report(findingKey(c.file, c.name), "matches just what [route.%s] does (%s)", clash.name, at)
		return
	}
	c.report(findingKey(c.file, c.name), "overlaps with [route.%s] (%s), and neither is more specific: both match %s", clash.name, at,
		exampleRequest(c.pattern, clash.pattern))
}

// allows tells whether a word is one of a set, of which an empty one is any.
func (p *Pattern) allows(set []string, word string) bool {
	return len(set) == 0 || slices.Contains(set, word)
}

// checkReach finds what no request can match.
func (c *ruleCheck) checkReach() {
	if len(c.classes) > 0 {
		c.checkWords("classes", "class", c.pattern.classes, func(class string) bool { return appfile.ClassTable.Get(c.file, class) != nil })
		c.checkMethods()
	}
	if tenants := appfile.TenantTable.All(c.file); len(tenants) > 0 {
		c.checkWords("tenants", "tenant", c.pattern.tenants, func(tenant string) bool { return appfile.TenantTable.Get(c.file, tenant) != nil })
	} else if len(c.classes) > 0 && len(c.pattern.tenants) > 0 {
		c.report("match_tenants", "nothing can match it: there are no tenants")
	}
	for _, condition := range c.pattern.headers {
		if slices.Contains(unmatchedHeaders, condition.name) {
			c.report("match_headers", "%s is not matched: it belongs to the message, not to what is asked for", condition.name)
		}
	}
}

// checkWords finds words that name nothing in the file.
func (c *ruleCheck) checkWords(key, what string, words []string, known func(string) bool) {
	for _, word := range words {
		if !known(word) {
			c.report(matchPrefix+key, "there is no %s %q", what, word)
		}
	}
}

// checkMethods finds methods with which none of the route's classes comes.
func (c *ruleCheck) checkMethods() {
	if len(c.pattern.methods) == 0 {
		return
	}
	for _, class := range c.classes {
		if c.pattern.allows(c.pattern.classes, class.Name) && c.pattern.allows(c.pattern.methods, methodOf(class.Value)) {
			return
		}
	}
	if len(c.pattern.classes) == 0 || appfile.ClassTable.Get(c.file, c.pattern.classes[0]) != nil {
		c.report("match_methods", "nothing can match it: safe classes come with GET, others with POST")
	}
}

// methodOf is the method with which requests of a class come.
func methodOf(class *appfile.Class) string {
	if class.Idempotency == balancer.Idempotent {
		return "GET"
	}
	return "POST"
}

// checkTimes finds times that do not go together, for the first class that has some.
func (c *ruleCheck) checkTimes() {
	for _, class := range c.classes {
		if c.pattern.allows(c.pattern.classes, class.Name) && c.checkTimesOf(class) {
			return
		}
	}
}

// checkTimesOf tells whether it found something for a class.
func (c *ruleCheck) checkTimesOf(class schema.Named[appfile.Class]) bool {
	text := schema.FormatDuration
	deadline := class.Value.Deadline
	if c.Timeout > deadline {
		c.report("whole_time", "%s is longer than callers of %s wait: its deadline is %s (%s)", text(c.Timeout), class.Name, text(deadline),
			c.file.Location("class", class.Name, "deadline"))
		return true
	}
	whole := cmp.Or(c.Timeout, deadline)
	origin := "its deadline"
	if c.Timeout > 0 {
		origin = "whole_time"
	}
	switch {
	case c.AttemptTimeout > whole:
		c.report("attempt_time", "%s is longer than the whole time of %s, %s (%s)", text(c.AttemptTimeout), class.Name, text(whole), origin)
	case c.AttemptTimeout > 0 && c.MaxAttempts > 1 && c.AttemptTimeout*time.Duration(c.MaxAttempts) > whole:
		c.report("route_attempts", "%d attempts of %s each take longer than the whole time of %s, %s (%s)", c.MaxAttempts, text(c.AttemptTimeout),
			class.Name, text(whole), origin)
	case c.RetryBackoff >= whole:
		c.report("retry_pause", "%s is no shorter than the whole time of %s, %s (%s): no second attempt would go out", text(c.RetryBackoff), class.Name,
			text(whole), origin)
	case class.Value.Idempotency == balancer.NonIdempotent && c.AttemptTimeout > 0 && len(c.pattern.classes) > 0:
		c.report("attempt_time", "%s is unsafe: an attempt that is given up may have run and cannot go out again, so a time of its own only fails what would have been answered",
			class.Name)
	default:
		return false
	}
	return true
}

// checkLimits finds limits that mean nothing or can't hold.
func (c *ruleCheck) checkLimits() {
	if !c.Serve {
		for _, key := range servedKeys {
			if c.isSet(key) {
				c.report(key, "means nothing: serve is false")
			}
		}
		return
	}
	if c.isSet("retry_reserve") && c.RetryShare < 0 {
		c.report("retry_reserve", "means nothing without retry_share")
	}
	for _, key := range retryKeys {
		if c.MaxAttempts == 1 && c.isSet(key) {
			c.report(key, "means nothing: route_attempts is 1")
		}
	}
	if limits := appfile.LimitsTable.In(c.file); limits.Sockets > 0 && c.MaxOpen > limits.Sockets {
		c.report("most_open", "%d cannot be held: limits.sockets is %d (%s)", c.MaxOpen, limits.Sockets, c.file.Location("limits", "sockets"))
	}
}

// checkHedging finds hedged requests that a rule forbids, or that would never be made.
func (c *ruleCheck) checkHedging() {
	if c.HedgeQuantile <= 0 {
		if c.isSet("copy_share") && c.Serve {
			c.report("copy_share", "means nothing without copy_after")
		}
		return
	}
	if !appfile.AttemptsTable.In(c.file).HedgedRequests {
		switch {
		case c.file.Setting("attempts", "second_copies") != nil:
			c.report("copy_after", "two attempts of a request may not be out at once: attempts.second_copies is false (%s)",
				c.file.Location("attempts", "second_copies"))
			return
		case len(c.classes) > 0:
			c.report("copy_after", "two attempts of a request may not be out at once unless attempts.second_copies is true")
			return
		}
	}
	if c.MaxAttempts == 1 {
		c.report("copy_after", "means nothing: route_attempts is 1, and a copy is an attempt")
	}
	for _, name := range c.pattern.classes {
		if class := appfile.ClassTable.Get(c.file, name); class != nil && class.Idempotency == balancer.NonIdempotent {
			c.report("copy_after", "%s is unsafe: its effect would happen twice", name)
			return
		}
	}
}
