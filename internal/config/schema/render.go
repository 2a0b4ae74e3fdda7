package schema

import (
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
)

// Reference returns the reference documentation of all tables, in Markdown.
func (s *Schema) Reference() string {
	var page strings.Builder
	for _, t := range s.Tables {
		fmt.Fprintf(&page, "\n## [%s]\n\n%s", t.headerName(), t.Help)
		if t.Required {
			page.WriteString(" At least one is needed.")
		}
		page.WriteString("\n\n| key | type | default | changes at | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, key := range t.Keys {
			typeName := key.Type
			if key.Bounds != "" {
				typeName += ", " + strings.ReplaceAll(key.Bounds, `"`, "")
			}
			defaultText := "`" + key.Default + "`"
			switch {
			case key.Required:
				defaultText = "needed, like `" + key.Example + "`"
			case key.Default == "" && key.Example != "":
				defaultText = "none; like `" + key.Example + "`"
			case key.Default == "":
				defaultText = "none"
			}
			fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n", key.Name, typeName, defaultText, key.Change, key.Help)
		}
	}
	return page.String()
}

// Sample returns a file with all keys: required ones with an example, the others as comments with their default or an example. The file
// decodes without findings.
func (s *Schema) Sample() string {
	var file strings.Builder
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
		fmt.Fprintf(&file, "\n# %s\n%s[%s]\n", t.Help, comment, doc.DottedPath(path))
		for _, k := range t.Keys {
			fmt.Fprintf(&file, "# %s\n", k.Help)
			switch {
			case k.Required && required:
				fmt.Fprintf(&file, "%s = %s\n", k.Name, k.Example)
			case k.Required || k.Default == "":
				fmt.Fprintf(&file, "# %s = %s\n", k.Name, k.Example)
			default:
				fmt.Fprintf(&file, "# %s = %s\n", k.Name, k.Default)
			}
		}
	}
	return file.String()
}

// Text returns the settings of a file as TOML, in the order of the schema, each with its help as a comment above it.
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

// OneLine returns the value as TOML on one line: as the file has it, or the normalized form if the file's takes several lines.
func (s *Setting) OneLine() string {
	if s.Raw == "" || strings.ContainsAny(s.Raw, "\r\n") {
		return s.Canonical
	}
	return s.Raw
}
