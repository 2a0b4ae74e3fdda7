package endpointsource

import (
	"reflect"
	"slices"
	"testing"
)

// A change of any field counts as a change for the balancer, except of the fields that it does not get.
func TestSamePublished(t *testing.T) {
	unpublished := []string{"Maintenance", "WeightShare", "RegistrationIndex", "StartUnknown", "Reason"}
	fields := reflect.TypeFor[Endpoint]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		t.Run(name, func(t *testing.T) {
			published := Endpoint{UID: "s-1"}
			other := published
			switch field := reflect.ValueOf(&other).Elem().Field(i); field.Kind() {
			case reflect.String:
				field.SetString("other")
			case reflect.Bool:
				field.SetBool(true)
			case reflect.Float64:
				field.SetFloat(2)
			case reflect.Uint64:
				field.SetUint(2)
			case reflect.Int, reflect.Int64:
				field.SetInt(2)
			default:
				t.Fatalf("the test has no value for a field of kind %v", field.Kind())
			}
			if got, want := samePublished(&published, &other), slices.Contains(unpublished, name); got != want {
				t.Errorf("samePublished with another %s: got %v, want %v", name, got, want)
			}
		})
	}
}
