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

// errNotRegular is the error for directories, pipes and devices.
var errNotRegular = errors.New("is no regular file")

// Read reads a file of at most maxBytes bytes. It fails for files that are not regular, since reading a pipe could block
// forever. Errors do not contain the path, since findings name it already.
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
		return nil, fmt.Errorf("has more than %d bytes, the limit for a file of this kind", maxBytes)
	}
	return text, nil
}

// withoutPath removes the path from an error, since messages name it before the error.
func withoutPath(err error) error {
	var path *fs.PathError
	if errors.As(err, &path) {
		return fmt.Errorf("cannot be read: %w", path.Err)
	}
	return err
}

// Load reads the file of one application and checks the secrets that it names. With overlay, keys that a platform's configuration sets may
// be missing. It returns nil if the file cannot be read. If there are findings the result must not be used.
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

// Decode is like Load for a document that has been read already, but does not check secrets. Missing keys are reported only if the document
// is complete, since they may be in lines that could not be read.
func Decode(path string, d *doc.Document, overlay, complete bool, found *finding.List) *schema.File {
	options := schema.Options{Partial: !complete}
	if overlay {
		options.RequiredElsewhere = appfile.PlatformTables()
	}
	f := Schema.Decode(found, options, schema.Layer{Doc: d, Table: d.Root, File: path})
	apps.CheckAddresses(f, found)
	return f
}

// Resolve returns a path that a file names. If it is relative, it is joined to the directory of the file.
func Resolve(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}
