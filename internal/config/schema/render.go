package schema

import (
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
)

// Reference is the reference page of all tables, in Markdown.
func (s *Schema) Reference() string {
	var b strings.Builder
	for _, t := range s.Tables {
		fmt.Fprintf(&b, "\n## [%s]\n\n%s", t.headerName(), t.Help)
		if t.Required {
			b.WriteString(" At least one is needed.")
		}
		b.WriteString("\n\n| key | type | default | changes at | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, k := range t.Keys {
			sort := k.Type
			if k.Bounds != "" {
				sort += ", " + strings.ReplaceAll(k.Bounds, `"`, "")
			}
			preset := "`" + k.Default + "`"
			switch {
			case k.Required:
				preset = "needed, like `" + k.Example + "`"
			case k.Default == "" && k.Example != "":
				preset = "none; like `" + k.Example + "`"
			case k.Default == "":
				preset = "none"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, sort, preset, k.Change, k.Help)
		}
	}
	return b.String()
}

// Sample is a file with all keys: those that are needed with an example, the others as comments, with their
// default or an example. It decodes cleanly.
func (s *Schema) Sample() string {
	var b strings.Builder
	for _, t := range s.Tables {
		needed := t.Required
		for _, k := range t.Keys {
			needed = needed || k.Required && !t.Named
		}
		path := []string{t.Name}
		if t.Named {
			path = append(path, t.ExampleName)
		}
		mark := "# "
		if needed {
			mark = ""
		}
		fmt.Fprintf(&b, "\n# %s\n%s[%s]\n", t.Help, mark, doc.DottedPath(path))
		for _, k := range t.Keys {
			fmt.Fprintf(&b, "# %s\n", k.Help)
			switch {
			case k.Required && needed:
				fmt.Fprintf(&b, "%s = %s\n", k.Name, k.Example)
			case k.Required || k.Default == "":
				fmt.Fprintf(&b, "# %s = %s\n", k.Name, k.Example)
			default:
				fmt.Fprintf(&b, "# %s = %s\n", k.Name, k.Default)
			}
		}
	}
	return b.String()
}

// StringOptions writes the keys that a file sets, in the schema's order, each below its help.
func (f *File) Text() string {
	var b strings.Builder
	at := ""
	for _, s := range f.Settings() {
		if head := doc.DottedPath(s.Path[:len(s.Path)-1]); head != at {
			at = head
			fmt.Fprintf(&b, "\n# %s\n[%s]\n", f.schema.Table(s.Path[0]).Help, head)
		}
		raw := s.Raw
		if raw == "" || strings.ContainsAny(raw, "\r\n") {
			raw = s.Canonical
		}
		fmt.Fprintf(&b, "# %s\n%s = %s\n", s.Key.Help, doc.QuoteKey(s.Key.Name), raw)
	}
	return b.String()
}
