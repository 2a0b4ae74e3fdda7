package schema

import "strconv"

// Secret is the kind of secret in the file that a key names.
type Secret int

// The kinds of secrets.
const (
	NoSecret   Secret = iota
	Token             // a text without white space
	PrivateKey        // a private key in PEM (RFC 7468)
)

// SecretFile declares a key whose value is the path of a file with a secret. The content and the permissions of the file are checked when
// it is read, not by this package.
func SecretFile[T any](name string, field func(*T) *string, secret Secret, example string, change Change, help string) KeyOf[T] {
	k := String(name, field, StringOptions{Type: "path of a secret", Example: example}, change, help)
	k.Secret = secret
	return k
}

// Secrets returns the settings whose values are paths of files with secrets.
func (f *File) Secrets() (all []*Setting) {
	for _, s := range f.Settings() {
		if s.Key.Secret != NoSecret {
			all = append(all, s)
		}
	}
	return all
}

// Unquoted returns the value of a setting that is a string, or "" if it is not a string. Strings cannot have control characters, so the
// quotation of TOML is also that of Go.
func (s *Setting) Unquoted() string {
	text, err := strconv.Unquote(s.Canonical)
	if err != nil {
		return ""
	}
	return text
}
