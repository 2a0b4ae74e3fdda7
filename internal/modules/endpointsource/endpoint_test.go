package endpointsource

import (
	"reflect"
	"slices"
	"testing"
)

// A change of any field makes another verdict, except of the fields that the balancer does not get.
func TestSameVerdict(t *testing.T) {
	unpublished := []string{"Maintenance", "WeightShare", "RegistrationIndex", "StartUnknown", "Reason"}
	fields := reflect.TypeFor[Endpoint]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		t.Run(name, func(t *testing.T) {
			verdict := Endpoint{UID: "s-1"}
			other := verdict
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
				t.Fatalf("a field of kind %v", field.Kind())
			}
			if got, want := sameVerdict(&verdict, &other), slices.Contains(unpublished, name); got != want {
				t.Errorf("another %s: the same %v, want %v", name, got, want)
			}
		})
	}
}
