package apps

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

var testSchema = schema.New(appfile.Tables()...)

// app is an application in a test's apps.toml.
type app struct {
	name     string
	attempts int
	calls    []call
}

// call is a call of an application in a test's apps.toml.
type call struct {
	to          string
	perRequest  int // per_request; 0 for 1
	mutualDepth int // mutual_depth; 0 for none
}

// installationText returns an apps.toml with some applications and bounds. Its classes and times are valid, so that a test gets only the
// findings that it checks.
func installationText(maxAttempts, maxTiers int, all ...app) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[chain]\nmost_attempts_in_chain = %d\nmost_tiers = %d\n", maxAttempts, maxTiers)
	for i, a := range all {
		fmt.Fprintf(&b, "[apps.%s.sidecar]\nlisten = \"127.0.0.1:%d\"\n", a.name, 10000+i)
		fmt.Fprintf(&b, "[apps.%s.discovery]\naddress = \"127.0.0.1:8500\"\n", a.name)
		fmt.Fprintf(&b, "[apps.%s.attempts]\nmost_attempts = %d\n", a.name, max(1, a.attempts))
		fmt.Fprintf(&b, "[apps.%s.class.c]\naim = \"1ms\"\ndeadline = \"5s\"\neffect = \"safe\"\n", a.name)
		for j, c := range a.calls {
			fmt.Fprintf(&b, "[apps.%s.calls.n%d]\nto = %q\nfor_class = \"c\"\ntimeout = \"5s\"\nper_request = %d\n",
				a.name, j, c.to, max(1, c.perRequest))
			if c.mutualDepth > 0 {
				fmt.Fprintf(&b, "mutual_depth = %d\n", c.mutualDepth)
			}
		}
	}
	return b.String()
}

// findingsAcross reads an apps.toml, which must be valid for each application alone, and returns the findings of the check across
// applications.
func findingsAcross(t interface{ Fatal(...any) }, text string) []finding.Finding {
	var found finding.List
	m := Read(testSchema, "apps.toml", []byte(text), &found)
	if found.Len() > 0 {
		t.Fatal(found.Err())
	}
	m.Check(&found)
	return found.All()
}

// messages returns findings as text, one per line.
func messages(all []finding.Finding) string {
	var lines []string
	for _, f := range all {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// callsTo returns one call to each of some applications.
func callsTo(names ...string) (calls []call) {
	for _, n := range names {
		calls = append(calls, call{to: n})
	}
	return calls
}

// All calls of a cycle must set the same mutual_depth, and other calls must not set it.
func TestRings(t *testing.T) {
	mutual := func(name string, depth int) []call { return []call{{to: name, mutualDepth: depth}} }
	for _, test := range []struct {
		name string
		all  []app
		want []string // a part of each finding
	}{
		{"a chain", []app{{"a", 1, callsTo("b")}, {"b", 1, callsTo("c")}, {"c", 1, nil}}, nil},
		{"a diamond", []app{{"a", 1, callsTo("b", "c")}, {"b", 1, callsTo("d")}, {"c", 1, callsTo("d")}, {"d", 1, nil}}, nil},
		{
			"two, unstated",
			[]app{{"a", 1, callsTo("b")}, {"b", 1, callsTo("a")}},
			[]string{"a calls b, and b calls a (apps.toml:30)", "b calls a, and a calls b (apps.toml:15)"},
		},
		{"two, stated", []app{{"a", 1, mutual("b", 2)}, {"b", 1, mutual("a", 2)}}, nil},
		{"two, stated on one side", []app{{"a", 1, mutual("b", 2)}, {"b", 1, callsTo("a")}}, []string{"b calls a, and a calls b (apps.toml:15)"}},
		{"two, other depths", []app{{"a", 1, mutual("b", 2)}, {"b", 1, mutual("a", 3)}}, []string{"3, but the same ring has 2 in apps.toml:19"}},
		{
			"through a third",
			[]app{{"a", 1, callsTo("b")}, {"b", 1, callsTo("c")}, {"c", 1, callsTo("a")}},
			[]string{"a calls b, and b calls c (apps.toml:30), c calls a (apps.toml:45)", "b calls c, and", "c calls a, and"},
		},
		{"through a third, stated", []app{{"a", 1, mutual("b", 2)}, {"b", 1, mutual("c", 2)}, {"c", 1, mutual("a", 2)}}, nil},
		{"itself", []app{{"a", 1, callsTo("a")}}, []string{"a calls itself"}},
		{"itself, stated", []app{{"a", 1, mutual("a", 2)}}, nil},
		{"stated for nothing", []app{{"a", 1, mutual("b", 2)}, {"b", 1, nil}}, []string{"nothing that b calls calls a again"}},
		{
			"stated out of a ring",
			[]app{{"a", 1, append(mutual("b", 2), mutual("c", 2)...)}, {"b", 1, mutual("a", 2)}, {"c", 1, nil}},
			[]string{"nothing that c calls calls a again"},
		},
		{
			"two rings",
			[]app{{"a", 1, mutual("b", 2)}, {"b", 1, append(mutual("a", 2), callsTo("c")...)}, {"c", 1, mutual("d", 3)}, {"d", 1, mutual("c", 3)}},
			nil,
		},
	} {
		all := findingsAcross(t, installationText(1000, 100, test.all...))
		ok := len(all) == len(test.want)
		for i := range min(len(all), len(test.want)) {
			ok = ok && strings.Contains(all[i].Message, test.want[i])
		}
		if !ok {
			t.Errorf("findings of %s: got\n%s\nwant ones that contain %q", test.name, messages(all), test.want)
		}
	}
}

// The attempts of all applications of a chain multiply.
func TestAttemptsMultiply(t *testing.T) {
	for _, test := range []struct {
		maxAttempts int
		all         []app
		want        string
	}{
		{27, []app{{"a", 3, callsTo("b")}, {"b", 3, callsTo("c")}, {"c", 3, nil}}, ""},
		{
			26,
			[]app{{"a", 3, callsTo("b")}, {"b", 3, callsTo("c")}, {"c", 3, nil}},
			"attempts multiply to 27 (3 x 3 x 3) on the way a -> b -> c, above chain.most_attempts_in_chain, 26 (apps.toml:2)",
		},
		{5, []app{{"a", 1, []call{{to: "b", perRequest: 4}}}, {"b", 2, nil}}, "attempts multiply to 8 (1 x 4 calls of 2) on the way a -> b"},
		// The longest chain is not the worst one.
		{
			11,
			[]app{{"a", 2, callsTo("b", "d")}, {"b", 1, callsTo("c")}, {"c", 1, callsTo("d")}, {"d", 6, nil}},
			"attempts multiply to 12 (2 x 6) on the way a -> d",
		},
		// A chain passes a cycle once with a mutual_depth of 1, and twice with 2.
		{4, []app{{"a", 2, []call{{to: "b", mutualDepth: 1}}}, {"b", 2, []call{{to: "a", mutualDepth: 1}}}}, ""},
		{
			15,
			[]app{{"a", 2, []call{{to: "b", mutualDepth: 2}}}, {"b", 2, []call{{to: "a", mutualDepth: 2}}}},
			"attempts multiply to 16 (2 x 2 x 2 x 2) on the way",
		},
		{16, []app{{"a", 2, []call{{to: "b", mutualDepth: 2}}}, {"b", 2, []call{{to: "a", mutualDepth: 2}}}}, ""},
	} {
		all := findingsAcross(t, installationText(test.maxAttempts, 100, test.all...))
		if test.want == "" && len(all) > 0 || test.want != "" && (len(all) == 0 || !strings.Contains(all[0].Message, test.want)) {
			t.Errorf("attempts of %+v: got findings\n%s\nwant %q", test.all, messages(all), test.want)
		}
	}
}

// maxAttemptsByWalk returns the maximum number of attempts at any application. It follows each chain of calls separately; there must be no
// cycles.
func maxAttemptsByWalk(all []app) int {
	byName := map[string]app{}
	for _, a := range all {
		byName[a.name] = a
	}
	most := 0
	var walk func(a app, factor int)
	walk = func(a app, factor int) {
		factor *= max(1, a.attempts)
		most = max(most, factor)
		for _, c := range a.calls {
			walk(byName[c.to], factor*max(1, c.perRequest))
		}
	}
	for _, a := range all {
		walk(a, 1)
	}
	return most
}

// For random applications without cycles, the check finds the same worst case as following each chain separately.
func TestAttemptsMatchFollowingEachChain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "apps")
		var all []app
		for i := range n {
			a := app{name: fmt.Sprintf("n%d", i), attempts: rapid.IntRange(1, 3).Draw(rt, "attempts")}
			for j := i + 1; j < n; j++ {
				if rapid.Bool().Draw(rt, "calls") {
					a.calls = append(a.calls, call{to: fmt.Sprintf("n%d", j), perRequest: rapid.IntRange(1, 2).Draw(rt, "per")})
				}
			}
			all = append(all, a)
		}
		all = rapid.Permutation(all).Draw(rt, "order")
		most := maxAttemptsByWalk(all)
		if got := findingsAcross(rt, installationText(most, 100, all...)); len(got) > 0 {
			rt.Fatalf("with a bound of the worst case, %d attempts, got findings %s", most, messages(got))
		}
		if got := findingsAcross(rt, installationText(max(1, most-1), 100, all...)); most > 1 && len(got) == 0 {
			rt.Fatalf("the worst case of %d attempts has no finding with a bound of %d", most, most-1)
		}
	})
}

// The number of applications that a chain of calls passes is bounded.
func TestTiers(t *testing.T) {
	all := []app{{"a", 1, callsTo("b")}, {"b", 1, callsTo("c")}, {"c", 1, callsTo("d")}, {"d", 1, nil}}
	if got := findingsAcross(t, installationText(100, 4, all...)); len(got) > 0 {
		t.Errorf("chain of 4 applications with most_tiers 4: got %s, want no findings", messages(got))
	}
	got := findingsAcross(t, installationText(100, 3, all...))
	if len(got) != 1 || !strings.Contains(got[0].Message, "passes 4 applications") || !strings.HasPrefix(got[0].Message, "calls.n0.to") {
		t.Errorf("chain of 4 applications with most_tiers 3: got %s, want one finding at calls.n0.to", messages(got))
	}
}

// Two applications must not listen on the same address of the same machine.
func TestAddresses(t *testing.T) {
	for _, test := range []struct {
		a, b, hostA, hostB string
		conflict           bool
	}{
		{"127.0.0.1:1", "127.0.0.1:1", "", "", true},
		{"127.0.0.1:1", "127.0.0.1:2", "", "", false},
		{"127.0.0.1:1", "127.0.0.2:1", "", "", false},
		{":1", "127.0.0.1:1", "", "", true},
		{"127.0.0.1:1", "0.0.0.0:1", "", "", true},
		{"[::]:1", ":1", "", "", true},
		{"127.0.0.1:0", "127.0.0.1:0", "", "", false},
		{"127.0.0.1:1", "127.0.0.1:1", "x", "y", false},
		{"10.0.0.1:1", "10.0.0.1:1", "x", "y", true},
		{":1", ":1", "x", "y", false},
		{":1", ":1", "x", "x", true},
		{"[::1]:1", "[0:0:0:0:0:0:0:1]:1", "", "", true},
	} {
		s := installationText(10, 10, app{"a", 1, nil}, app{"b", 1, nil})
		host := func(h string) string {
			if h == "" {
				return ""
			}
			return "\nhost = \"" + h + "\""
		}
		s = strings.Replace(s, `"127.0.0.1:10000"`, `"`+test.a+`"`+host(test.hostA), 1)
		s = strings.Replace(s, `"127.0.0.1:10001"`, `"`+test.b+`"`+host(test.hostB), 1)
		for _, h := range []string{"x", "y"} {
			s += "[hosts." + h + "]\nhost_cores = 99\nhost_memory = \"99GiB\"\nhost_sockets = 99999\n"
		}
		if got := findingsAcross(t, s); (len(got) > 0) != test.conflict {
			t.Errorf("addresses %+v: got findings %q", test, messages(got))
		}
	}
}

// 2000 applications in one cycle, many of which also call a shared one, are checked within the time of a test: the time is proportional to
// their number. docs/figures/configuration.md has the figures.
func TestManyApplications(t *testing.T) {
	for _, n := range []int{1, 2000} {
		var all []app
		for i := range n {
			a := app{name: fmt.Sprintf("n%d", i), attempts: 1, calls: []call{{to: fmt.Sprintf("n%d", (i+1)%n), mutualDepth: 2}}}
			if i%7 == 0 {
				a.calls = append(a.calls, call{to: "hub"})
			}
			all = append(all, a)
		}
		all = append(all, app{name: "hub"})
		if got := findingsAcross(t, installationText(10, n+1, all...)); len(got) > 0 {
			t.Errorf("cycle of %d applications: got finding %s, want none", n, messages(got[:1]))
		}
	}
}
