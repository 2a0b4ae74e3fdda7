package appfile_test

import (
	"fmt"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

func Example() {
	const text = `[sidecar]
application = "front.example.org"
listen = "127.0.0.1:8080"
[discovery]
address = "127.0.0.1:8500"
[class.find]
aim = "1s"
deadline = "3s"
effect = "safe"
key_scope = "cell"
`
	var found finding.List
	d := doc.ReadTOML([]byte(text), len(text), found.ForFile("front.toml"))
	f := schema.New(appfile.Tables()...).Decode(&found, schema.Options{}, schema.Layer{Doc: d, Table: d.Root, File: "front.toml"})
	fmt.Println(appfile.ClassTable.Get(f, "find").LatencyTarget, appfile.AttemptsTable.In(f).Max)
	fmt.Println(found.Err())
	// Output:
	// 1s 3
	// front.toml:10:1: class.find.key_scope: means nothing: the effect is safe, not keyed
}
