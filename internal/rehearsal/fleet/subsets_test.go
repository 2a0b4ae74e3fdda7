package fleet

import "testing"

// Each scheme gives the same figures for the same seed. The decision module must call every endpoint from 2 to 5 instances, keep loads
// even and move few assignments with each change.
func TestSubsetsUnderChange(t *testing.T) {
	const endpoints, instances = 1500, 40
	for _, churn := range Churns {
		byScheme := map[string]SubsetFigures{}
		for _, name := range SubsettingSchemes {
			figures, err := MeasureSubsets(name, churn, endpoints, instances, 5)
			if err != nil {
				t.Fatal(err)
			}
			if again, _ := MeasureSubsets(name, churn, endpoints, instances, 5); again != figures {
				t.Errorf("scheme %s with the same seed twice: got %+v and %+v, want equal figures", name, figures, again)
			}
			byScheme[name] = figures
			t.Logf("%+v", figures)
		}
		module := byScheme["module"]
		if module.MinInstances < 2 || module.MaxInstances > 5 {
			t.Errorf("%s: got %d to %d instances per endpoint, want 2 to 5", churn.Name, module.MinInstances, module.MaxInstances)
		}
		if module.Load > 1.4 {
			t.Errorf("%s: got a maximum load of %.2f times the mean, want at most 1.4", churn.Name, module.Load)
		}
		if module.Moved > 3.2 {
			t.Errorf("%s: got %.1f moved assignments per changed endpoint, want at most 3.2", churn.Name, module.Moved)
		}
	}
}

// MeasureSubsets must return an error for an unknown scheme.
func TestUnknownScheme(t *testing.T) {
	if _, err := MeasureSubsets("dice", Churns[0], 10, 2, 1); err == nil {
		t.Error("unknown scheme: got no error, want one")
	}
}
