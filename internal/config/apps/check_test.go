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
	to     string
	per    int // per_request; 0 for 1
	mutual int // mutual_depth; 0 for none
}

// text returns an apps.toml with some applications and bounds. Its classes and times are valid, so that a test gets only the findings that
// it is about.
func text(maxAttempts, maxTiers int, all ...app) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[chain]\nmost_attempts_in_chain = %d\nmost_tiers = %d\n", maxAttempts, maxTiers)
	for i, a := range all {
		fmt.Fprintf(&b, "[apps.%s.sidecar]\nlisten = \"127.0.0.1:%d\"\n", a.name, 10000+i)
		fmt.Fprintf(&b, "[apps.%s.discovery]\naddress = \"127.0.0.1:8500\"\n", a.name)
		fmt.Fprintf(&b, "[apps.%s.attempts]\nmost_attempts = %d\n", a.name, max(1, a.attempts))
		fmt.Fprintf(&b, "[apps.%s.class.c]\naim = \"1ms\"\ndeadline = \"5s\"\neffect = \"safe\"\n", a.name)
		for j, c := range a.calls {
			fmt.Fprintf(&b, "[apps.%s.calls.n%d]\nto = %q\nfor_class = \"c\"\ntimeout = \"5s\"\nper_request = %d\n", a.name, j, c.to, max(1, c.per))
			if c.mutual > 0 {
				fmt.Fprintf(&b, "mutual_depth = %d\n", c.mutual)
			}
		}
	}
	return b.String()
}

// checked reads and checks an apps.toml, and returns the findings of the check.
func checked(t interface{ Fatal(...any) }, text string) []finding.Finding {
	var found finding.List
	m := Read(testSchema, "apps.toml", []byte(text), &found)
	if found.Len() > 0 {
		t.Fatal(found.Err())
	}
	m.Check(&found)
	return found.All()
}

// messages returns findings as text, one a line.
func messages(all []finding.Finding) string {
	var lines []string
	for _, f := range all {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// to returns calls to some applications.
func to(names ...string) (calls []call) {
	for _, n := range names {
		calls = append(calls, call{to: n})
	}
	return calls
}

// Calls of a ring have to state the same depth, and no others may state one.
func TestRings(t *testing.T) {
	mutual := func(name string, depth int) []call { return []call{{to: name, mutual: depth}} }
	for _, tc := range []struct {
		name string
		all  []app
		want []string // a part of each finding
	}{
		{"a chain", []app{{"a", 1, to("b")}, {"b", 1, to("c")}, {"c", 1, nil}}, nil},
		{"a diamond", []app{{"a", 1, to("b", "c")}, {"b", 1, to("d")}, {"c", 1, to("d")}, {"d", 1, nil}}, nil},
		{
			"two, unstated",
			[]app{{"a", 1, to("b")}, {"b", 1, to("a")}},
			[]string{"a calls b, and b calls a (apps.toml:30)", "b calls a, and a calls b (apps.toml:15)"},
		},
		{"two, stated", []app{{"a", 1, mutual("b", 2)}, {"b", 1, mutual("a", 2)}}, nil},
		{"two, stated on one side", []app{{"a", 1, mutual("b", 2)}, {"b", 1, to("a")}}, []string{"b calls a, and a calls b (apps.toml:15)"}},
		{"two, other depths", []app{{"a", 1, mutual("b", 2)}, {"b", 1, mutual("a", 3)}}, []string{"3, but the same ring has 2 in apps.toml:19"}},
		{
			"through a third",
			[]app{{"a", 1, to("b")}, {"b", 1, to("c")}, {"c", 1, to("a")}},
			[]string{"a calls b, and b calls c (apps.toml:30), c calls a (apps.toml:45)", "b calls c, and", "c calls a, and"},
		},
		{"through a third, stated", []app{{"a", 1, mutual("b", 2)}, {"b", 1, mutual("c", 2)}, {"c", 1, mutual("a", 2)}}, nil},
		{"itself", []app{{"a", 1, to("a")}}, []string{"a calls itself"}},
		{"itself, stated", []app{{"a", 1, mutual("a", 2)}}, nil},
		{"stated for nothing", []app{{"a", 1, mutual("b", 2)}, {"b", 1, nil}}, []string{"nothing that b calls calls a again"}},
		{
			"stated out of a ring",
			[]app{{"a", 1, append(mutual("b", 2), mutual("c", 2)...)}, {"b", 1, mutual("a", 2)}, {"c", 1, nil}},
			[]string{"nothing that c calls calls a again"},
		},
		{
			"two rings",
			[]app{{"a", 1, mutual("b", 2)}, {"b", 1, append(mutual("a", 2), to("c")...)}, {"c", 1, mutual("d", 3)}, {"d", 1, mutual("c", 3)}},
			nil,
		},
	} {
		all := checked(t, text(1000, 100, tc.all...))
		ok := len(all) == len(tc.want)
		for i := range min(len(all), len(tc.want)) {
			ok = ok && strings.Contains(all[i].Message, tc.want[i])
		}
		if !ok {
			t.Errorf("%s: got\n%s\nwant %q", tc.name, messages(all), tc.want)
		}
	}
}

// The attempts of all applications of a chain multiply.
func TestAttemptsMultiply(t *testing.T) {
	for _, tc := range []struct {
		maxAttempts int
		all         []app
		want        string
	}{
		{27, []app{{"a", 3, to("b")}, {"b", 3, to("c")}, {"c", 3, nil}}, ""},
		{
			26,
			[]app{{"a", 3, to("b")}, {"b", 3, to("c")}, {"c", 3, nil}},
			"attempts multiply to 27 (3 x 3 x 3) on the way a -> b -> c, above chain.most_attempts_in_chain, 26 (apps.toml:2)",
		},
		{5, []app{{"a", 1, []call{{to: "b", per: 4}}}, {"b", 2, nil}}, "attempts multiply to 8 (1 x 4 calls of 2) on the way a -> b"},
		// The longest chain is not the worst one.
		{
			11,
			[]app{{"a", 2, to("b", "d")}, {"b", 1, to("c")}, {"c", 1, to("d")}, {"d", 6, nil}},
			"attempts multiply to 12 (2 x 6) on the way a -> d",
		},
		// A chain goes through a ring once at depth 1, twice at depth 2.
		{4, []app{{"a", 2, []call{{to: "b", mutual: 1}}}, {"b", 2, []call{{to: "a", mutual: 1}}}}, ""},
		{
			15,
			[]app{{"a", 2, []call{{to: "b", mutual: 2}}}, {"b", 2, []call{{to: "a", mutual: 2}}}},
			"attempts multiply to 16 (2 x 2 x 2 x 2) on the way",
		},
		{16, []app{{"a", 2, []call{{to: "b", mutual: 2}}}, {"b", 2, []call{{to: "a", mutual: 2}}}}, ""},
	} {
		all := checked(t, text(tc.maxAttempts, 100, tc.all...))
		if tc.want == "" && len(all) > 0 || tc.want != "" && (len(all) == 0 || !strings.Contains(all[0].Message, tc.want)) {
			t.Errorf("got\n%s\nwant %q", messages(all), tc.want)
		}
	}
}

// worst returns the most attempts at any application by following each chain of calls. There must be no rings.
func worst(all []app) int {
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
			walk(byName[c.to], factor*max(1, c.per))
		}
	}
	for _, a := range all {
		walk(a, 1)
	}
	return most
}

// For random applications without rings the check finds the same worst case as following each chain.
func TestAttemptsAgainstAWalk(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "apps")
		var all []app
		for i := range n {
			a := app{name: fmt.Sprintf("n%d", i), attempts: rapid.IntRange(1, 3).Draw(rt, "attempts")}
			for j := i + 1; j < n; j++ {
				if rapid.Bool().Draw(rt, "calls") {
					a.calls = append(a.calls, call{to: fmt.Sprintf("n%d", j), per: rapid.IntRange(1, 2).Draw(rt, "per")})
				}
			}
			all = append(all, a)
		}
		all = rapid.Permutation(all).Draw(rt, "order")
		most := worst(all)
		if got := checked(rt, text(most, 100, all...)); len(got) > 0 {
			rt.Fatalf("the worst is %d, but %s", most, messages(got))
		}
		if got := checked(rt, text(max(1, most-1), 100, all...)); most > 1 && len(got) == 0 {
			rt.Fatalf("the worst is %d and passes under a bound of %d", most, most-1)
		}
	})
}

// A chain of calls may pass only some applications.
func TestTiers(t *testing.T) {
	all := []app{{"a", 1, to("b")}, {"b", 1, to("c")}, {"c", 1, to("d")}, {"d", 1, nil}}
	if got := checked(t, text(100, 4, all...)); len(got) > 0 {
		t.Error(messages(got))
	}
	got := checked(t, text(100, 3, all...))
	if len(got) != 1 || !strings.Contains(got[0].Message, "passes 4 applications") || !strings.HasPrefix(got[0].Message, "calls.n0.to") {
		t.Error(messages(got))
	}
}

// Two applications may not listen on one address of one machine.
func TestAddresses(t *testing.T) {
	for _, tc := range []struct {
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
		s := text(10, 10, app{"a", 1, nil}, app{"b", 1, nil})
		host := func(h string) string {
			if h == "" {
				return ""
			}
			return "\nhost = \"" + h + "\""
		}
		s = strings.Replace(s, `"127.0.0.1:10000"`, `"`+tc.a+`"`+host(tc.hostA), 1)
		s = strings.Replace(s, `"127.0.0.1:10001"`, `"`+tc.b+`"`+host(tc.hostB), 1)
		for _, h := range []string{"x", "y"} {
			s += "[hosts." + h + "]\nhost_cores = 99\nhost_memory = \"99GiB\"\nhost_sockets = 99999\n"
		}
		if got := checked(t, s); (len(got) > 0) != tc.conflict {
			t.Errorf("%+v: %s", tc, messages(got))
		}
	}
}

// Many applications in one ring and around one hub are checked within the time of a test, which is proportional to their number;
// docs/figures/configuration.md has the figures.
func TestManyApplications(t *testing.T) {
	for _, n := range []int{1, 2000} {
		var all []app
		for i := range n {
			a := app{name: fmt.Sprintf("n%d", i), attempts: 1, calls: []call{{to: fmt.Sprintf("n%d", (i+1)%n), mutual: 2}}}
			if i%7 == 0 {
				a.calls = append(a.calls, call{to: "hub"})
			}
			all = append(all, a)
		}
		all = append(all, app{name: "hub"})
		if got := checked(t, text(10, n+1, all...)); len(got) > 0 {
			t.Errorf("%d: %s", n, messages(got[:1]))
		}
	}
}
