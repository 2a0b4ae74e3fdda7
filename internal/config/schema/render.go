package schema

import (
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
)

// Reference returns the reference page of all tables, in Markdown.
func (s *Schema) Reference() string {
	var b strings.Builder
	for _, t := range s.Tables {
		fmt.Fprintf(&b, "\n## [%s]\n\n%s", t.headerName(), t.Help)
		if t.Required {
			b.WriteString(" At least one is needed.")
		}
		b.WriteString("\n\n| key | type | default | changes at | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, k := range t.Keys {
			typeName := k.Type
			if k.Bounds != "" {
				typeName += ", " + strings.ReplaceAll(k.Bounds, `"`, "")
			}
			defaultText := "`" + k.Default + "`"
			switch {
			case k.Required:
				defaultText = "needed, like `" + k.Example + "`"
			case k.Default == "" && k.Example != "":
				defaultText = "none; like `" + k.Example + "`"
			case k.Default == "":
				defaultText = "none"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, typeName, defaultText, k.Change, k.Help)
		}
	}
	return b.String()
}

// Sample returns a file with all keys: those that are required with an example, the others as comments with their default or an example. It
// decodes without findings.
func (s *Schema) Sample() string {
	var b strings.Builder
	for _, t := range s.Tables {
		required := t.Required
		for _, k := range t.Keys {
			required = required || k.Required && !t.Named
		}
		path := []string{t.Name}
		if t.Named {
			path = append(path, t.ExampleName)
		}
		comment := "# "
		if required {
			comment = ""
		}
		fmt.Fprintf(&b, "\n# %s\n%s[%s]\n", t.Help, comment, doc.DottedPath(path))
		for _, k := range t.Keys {
			fmt.Fprintf(&b, "# %s\n", k.Help)
			switch {
			case k.Required && required:
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

// Text returns the settings of a file as TOML, in the order of the schema, each with its help above.
func (f *File) Text() string {
	var b strings.Builder
	lastHeader := ""
	for _, s := range f.Settings() {
		if header := doc.DottedPath(s.Path[:len(s.Path)-1]); header != lastHeader {
			lastHeader = header
			fmt.Fprintf(&b, "\n# %s\n[%s]\n", f.schema.Table(s.Path[0]).Help, header)
		}
		fmt.Fprintf(&b, "# %s\n%s = %s\n", s.Key.Help, doc.QuoteKey(s.Key.Name), s.OneLine())
	}
	return b.String()
}

// OneLine returns the value as TOML: as it is written, or its canonical form if that takes several lines.
func (s *Setting) OneLine() string {
	if s.Raw == "" || strings.ContainsAny(s.Raw, "\r\n") {
		return s.Canonical
	}
	return s.Raw
}
