package fleet

import "testing"

// Every scheme reaches every endpoint, and the module moves little with each change and keeps loads even.
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
				t.Errorf("%s: the same seed gives %+v and %+v", name, figures, again)
			}
			byScheme[name] = figures
			t.Logf("%+v", figures)
		}
		module := byScheme["module"]
		if module.MinInstances < 2 || module.MaxInstances > 5 {
			t.Errorf("%s: an endpoint is reached by %d instances, one by %d", churn.Name, module.MinInstances, module.MaxInstances)
		}
		if module.Load > 1.4 {
			t.Errorf("%s: an endpoint gets %.2f times the mean", churn.Name, module.Load)
		}
		if module.Moved > 3.2 {
			t.Errorf("%s: %.1f assignments move with each endpoint", churn.Name, module.Moved)
		}
	}
}

// A scheme that does not exist is an error.
func TestUnknownScheme(t *testing.T) {
	if _, err := MeasureSubsets("dice", Churns[0], 10, 2, 1); err == nil {
		t.Error("no error")
	}
}
