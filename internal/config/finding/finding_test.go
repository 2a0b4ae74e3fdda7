package finding

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// A misspelt name has a nearest candidate only if it is similar enough.
func TestNearest(t *testing.T) {
	names := []string{"idle_timeout", "request_timeout", "max_body", "cores", "to"}
	for name, want := range map[string]string{
		"idel_timeout": "idle_timeout", "Idle_Timeout": "idle_timeout", "maxbody": "max_body",
		"cors": "cores", "ot": "to", "sockets": "", "": "", strings.Repeat("x", 10000): "",
	} {
		if got := Nearest(name, names); got != want {
			t.Errorf("nearest candidate to %.20q: got %q, want %q", name, got, want)
		}
	}
}

func TestDistance(t *testing.T) {
	for _, test := range []struct {
		from, to string
		want     int
	}{{"", "", 0}, {"a", "", 1}, {"", "ab", 2}, {"ab", "ba", 1}, {"kitten", "sitting", 3}, {"über", "uber", 1}, {"abcd", "acbd", 1}} {
		if got := editDistance(test.from, test.to); got != test.want {
			t.Errorf("distance from %q to %q: got %d, want %d", test.from, test.to, got, test.want)
		}
	}
}

// Findings are ordered by position, equal ones are stored once, and at most MaxFindings are stored. Further ones are counted.
func TestList(t *testing.T) {
	var list List
	list.Add("b", Pos{2, 1}, "late")
	list.Add("b", Pos{1, 9}, "early")
	list.Add("b", Pos{2, 1}, "late")
	list.Add("a", Pos{}, "whole")
	var out bytes.Buffer
	if err := list.Print(&out); err != nil {
		t.Fatal(err)
	}
	if want := "b:1:9: early\nb:2:1: late\na: whole\n"; out.String() != want {
		t.Errorf("printed list: got %q, want %q", out.String(), want)
	}
	for i := range 2 * MaxFindings {
		list.Add("c", Pos{i + 1, 1}, "x")
	}
	out.Reset()
	if err := list.PrintJSON(&out); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Findings []Finding
		More     int
	}
	err := json.Unmarshal(out.Bytes(), &got)
	if err != nil || len(got.Findings) != MaxFindings || got.More != MaxFindings+3 || list.Len() != 2*MaxFindings+3 {
		t.Errorf("bounded list: error %v, %d findings (want %d), %d more (want %d), length %d (want %d)",
			err, len(got.Findings), MaxFindings, got.More, MaxFindings+3, list.Len(), 2*MaxFindings+3)
	}
	if !strings.HasSuffix(list.Err().Error(), fmt.Sprintf("and %d more findings", MaxFindings+3)) {
		t.Error("the error of a full list does not end with the number of omitted findings")
	}
	if (&List{}).Err() != nil {
		t.Error("an empty list returned an error")
	}
}
