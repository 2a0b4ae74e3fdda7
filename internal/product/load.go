package product

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/apps"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// errNotRegular refuses folders, pipes and devices.
var errNotRegular = errors.New("is no regular file")

// Read reads a file of at most maxBytes bytes. Anything but a regular file is refused: a pipe would hold its reader up for good. Its
// errors leave the path out, for findings that name it already.
func Read(path string, maxBytes int64) (text []byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	if !info.Mode().IsRegular() {
		return nil, errNotRegular
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	defer func() { err = errors.Join(err, withoutPath(f.Close())) }()
	text, err = io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, withoutPath(err)
	}
	if int64(len(text)) > maxBytes {
		return nil, fmt.Errorf("has more than %d bytes; that is too large for a file of this sort", maxBytes)
	}
	return text, nil
}

// withoutPath leaves the path out of an error that is printed behind it.
func withoutPath(err error) error {
	var path *fs.PathError
	if errors.As(err, &path) {
		return fmt.Errorf("cannot be read: %w", path.Err)
	}
	return err
}

// Load reads the file of one application and checks the secrets that it names. With overlay, what a platform's configuration says may be
// missing. It is nil where the file could not be read; with findings it is not to be used.
func Load(path string, overlay bool, found *finding.List) *schema.File {
	text, err := Read(path, apps.MaxFileBytes)
	if err != nil {
		found.Add(path, finding.Pos{}, "%v", err)
		return nil
	}
	before := found.Len()
	d := doc.ReadTOML(text, apps.MaxFileBytes, found.ForFile(path))
	if d == nil {
		return nil
	}
	if apps.IsInstallation(d) {
		found.Add(path, finding.Pos{Line: 1, Col: 1}, "describes several applications; quincegapctl write makes a file for each of them")
		return nil
	}
	f := Decode(path, d, overlay, found.Len() == before, found)
	CheckSecrets(f, path, found)
	return f
}

// Decode returns Load for a document that has been read, without its secrets. What is missing is looked for only where the document could be
// read completely: it may be in the lines that could not.
func Decode(path string, d *doc.Document, overlay, complete bool, found *finding.List) *schema.File {
	o := schema.Options{Partial: !complete}
	if overlay {
		o.RequiredElsewhere = appfile.PlatformTables()
	}
	f := Schema.Decode(found, o, schema.Layer{Doc: d, Table: d.Root, File: path})
	apps.CheckAddresses(f, found)
	return f
}

// Resolve returns a path that a file names, relative to that file's folder.
func Resolve(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}
