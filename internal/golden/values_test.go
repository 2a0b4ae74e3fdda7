package golden

import "testing"

// Values writes values of each kind, and none of the names of types and fields.
func TestValues(t *testing.T) {
	type inner struct{ name string }
	type outer struct {
		Number  float64
		Flag    bool
		Inner   *inner
		Missing *inner
		List    []inner
		Bytes   []byte
		ByName  map[string]int
		Do      func()
	}
	got := string(Values(outer{
		Number: 1.5, Flag: true, Inner: &inner{name: "a"}, List: []inner{{name: "b"}, {name: "c"}},
		Bytes: []byte{1, 2}, ByName: map[string]int{"z": -1, "y": 2},
	}))
	want := `{1.5 true {"a"} nil [{"b"}` + "\n" + `{"c"}] [1 2] map["y":2 "z":-1] -}` + "\n"
	if got != want {
		t.Errorf("Values: got %s, want %s", got, want)
	}
}
