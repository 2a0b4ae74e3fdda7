package schema

import "strconv"

// Secret is the kind of secret that a file holds which a setting names.
type Secret int

// The kinds.
const (
	NoSecret   Secret = iota
	Token             // one word
	PrivateKey        // PEM (RFC 7468)
)

// SecretFile is a key whose value is the path of a file with a secret. Whoever opens the file checks its content and permissions.
func SecretFile[T any](name string, field func(*T) *string, secret Secret, example string, change Change, help string) KeyOf[T] {
	k := String(name, field, StringOptions{Type: "path of a secret", Example: example}, change, help)
	k.Secret = secret
	return k
}

// Secrets are the settings of a file that name files with secrets.
func (f *File) Secrets() (all []*Setting) {
	for _, s := range f.Settings() {
		if s.Key.Secret != NoSecret {
			all = append(all, s)
		}
	}
	return all
}

// Unquoted is the text of a setting that is a string, or "" where it is none. Strings have no control characters, so that quotes of
// TOML and of Go mean the same.
func (s *Setting) Unquoted() string {
	text, err := strconv.Unquote(s.Canonical)
	if err != nil {
		return ""
	}
	return text
}
