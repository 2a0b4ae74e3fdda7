package apps_test

import (
	"fmt"
	"strings"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/apps"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

const installation = `[defaults.discovery]
address = "127.0.0.1:8500"
[apps.front.sidecar]
listen = "127.0.0.1:8080"
[apps.front.class.find]
aim = "1s"
deadline = "3s"
effect = "safe"
`

func Example() {
	s := schema.New(appfile.Tables()...)
	var found finding.List
	m := apps.Read(s, "apps.toml", []byte(installation), &found)
	m.Check(&found)
	front := m.App("front")
	derived := apps.Generate(front, "apps.toml")
	edited := strings.Replace(string(derived), `deadline = "3s"`, `deadline = "2s"`, 1)

	state := apps.Compare(s, front, "apps.toml", "front.toml", []byte(edited), &found)
	fmt.Println(state.Edits[0].Describe())
	adopted := m.Adopt([]*apps.FileState{state}, &found)
	fmt.Println(strings.Contains(string(adopted), `deadline = "2s"`), found.Err())
	// Output:
	// class.find.deadline = "2s" was set by hand (it was "3s")
	// true <nil>
}
