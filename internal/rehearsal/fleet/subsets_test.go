package fleet

import (
	"testing"
)

// Every scheme reaches every endpoint, and the module moves little with each change and keeps loads even.
func TestSubsetsUnderChange(t *testing.T) {
	const endpoints, instances = 1500, 40
	for _, c := range Churns {
		of := map[string]SubsetFigures{}
		for _, name := range SubsettingSchemes {
			f, err := MeasureSubsets(name, c, endpoints, instances, 5)
			if err != nil {
				t.Fatal(err)
			}
			if again, _ := MeasureSubsets(name, c, endpoints, instances, 5); again != f {
				t.Errorf("%s: the same seed gives %+v and %+v", name, f, again)
			}
			of[name] = f
			t.Logf("%+v", f)
		}
		m := of["module"]
		if m.MinInstances < 2 || m.MaxInstances > 5 {
			t.Errorf("%s: an endpoint is reached by %d instances, one by %d", c.Name, m.MinInstances, m.MaxInstances)
		}
		if m.Load > 1.4 {
			t.Errorf("%s: an endpoint gets %.2f times the mean", c.Name, m.Load)
		}
		if m.Moved > 3.2 {
			t.Errorf("%s: %.1f assignments move with each endpoint", c.Name, m.Moved)
		}
	}
}

func TestUnknownScheme(t *testing.T) {
	if _, err := MeasureSubsets("dice", Churns[0], 10, 2, 1); err == nil {
		t.Error("no error")
	}
}
