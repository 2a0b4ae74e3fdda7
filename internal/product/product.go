// Package product is where the tables of all subsystems meet: the schema of the
// product's file, and how such a file is read from disk.
package product

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/apps"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/files/certfile"
	"quincegap/internal/files/secretfile"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
	"quincegap/internal/modules/route"
	"quincegap/internal/network/admin"
	"quincegap/internal/network/consul"
	"quincegap/internal/network/gossip"
	"quincegap/internal/network/http3"
	"quincegap/internal/standalone"
)

// Schema is the product's file: the tables that say what a sidecar is, and those of its parts.
var Schema = schema.New(slices.Concat(appfile.Tables(), standalone.Tables(),
	[]*schema.Table{endpointsource.SettingsTable.Table, route.Rules.Table, consul.Table.Table, gossip.Table.Table, admin.Table.Table})...)

// Read reads a file of at most a number of bytes. Anything but a regular file is refused: a pipe would hold
// its reader up for good.
func Read(path string, most int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	if !info.Mode().IsRegular() {
		return nil, errors.New("is no regular file")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, withoutPath(err)
	}
	if int64(len(text)) > most {
		return nil, fmt.Errorf("has more than %d bytes; that is too large for a file of this sort", most)
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

// Load reads the file of one application. With overlay, what a platform tells may be missing. It is nil
// where the file could not be read; with findings it is not to be used.
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

// Decode is Load for a document that has been read, without its secrets. What is missing is looked for only
// where the document could be read whole: it may stand in the lines that could not.
func Decode(path string, d *doc.Document, overlay, whole bool, found *finding.List) *schema.File {
	o := schema.Options{Partial: !whole}
	if overlay {
		o.RequiredElsewhere = appfile.PlatformTables()
	}
	f := Schema.Decode(found, o, schema.Layer{Doc: d, Table: d.Root, File: path})
	apps.CheckAddresses(f, found)
	return f
}

// CheckSecrets reports files with secrets and certificates that cannot be used. Paths are taken from the folder of the file that
// names them.
func CheckSecrets(f *schema.File, path string, found *finding.List) {
	for _, s := range f.Secrets() {
		at := Resolve(path, s.Unquoted())
		_, err := secretfile.ReadToken(at)
		if s.Key.Secret == schema.PrivateKey {
			_, err = secretfile.ReadPrivateKey(at)
		}
		if err != nil {
			found.Add(s.Location.File, s.Location.Pos, "%s: %v", s.ID(), err)
		}
	}
	checkCertificates(f, path, time.Now(), found)
}

// checkCertificates reports certificates that HTTP/3 could not start with: files that are missing, a key of another
// certificate, one that does not hold now.
func checkCertificates(f *schema.File, path string, now time.Time, found *finding.List) {
	report := func(table, key string, err error) {
		if err != nil {
			at := f.Location(table, key)
			found.Add(at.File, at.Pos, "%s.%s: %v", table, key, err)
		}
	}
	if c := http3.FrontTable.In(f); c.Listen != "" && c.CertFile != "" && c.KeyFile != "" {
		if _, err := secretfile.ReadPrivateKey(Resolve(path, c.KeyFile)); err == nil { // else that is reported
			_, err = certfile.LoadValid(Resolve(path, c.CertFile), Resolve(path, c.KeyFile), now)
			report("http3", "http3_cert_file", err)
		}
		if c.SecretFile != "" {
			if text, err := secretfile.ReadToken(Resolve(path, c.SecretFile)); err == nil && len(text) < http3.MinSecretChars {
				report("http3", "http3_secret_file", fmt.Errorf("has %d characters; %d are the least that nobody guesses", len(text), http3.MinSecretChars))
			}
		}
	}
	if e := http3.TransportTable.In(f); e.Use != http3.Never && e.CAFile != "" {
		_, err := certfile.LoadPool(Resolve(path, e.CAFile))
		report("http3-endpoints", "http3_ca_file", err)
	}
}

// Resolve is a path that a file names, from that file's folder.
func Resolve(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// SidecarConfig is a sidecar's configuration: the product's file, if one is given, under what the platform tells.
func SidecarConfig(path string, getenv func(string) string) (*standalone.Config, error) {
	if path == "" {
		return standalone.LoadConfig(getenv)
	}
	overlay := getenv("BALANCER_CONFIG") != ""
	resolve := func(named string) string { return Resolve(path, named) }
	return standalone.LoadWith(getenv, standalone.Product{
		Load: func() (*schema.File, error) {
			var found finding.List
			f := Load(path, overlay, &found)
			if err := found.Err(); err != nil {
				return nil, err
			}
			return f, nil
		},
		Resolve:   resolve,
		Follow:    func(f *schema.File) (standalone.Follower, error) { return endpointFollower(f, resolve) },
		Admin:     adminOpener,
		OpenPeers: func(f *schema.File) (standalone.PeersOpener, error) { return peersOpener(f, resolve) },
	})
}

// endpointFollower is the source that a file asks for beside discovery, nil for none.
func endpointFollower(f *schema.File, resolve func(string) string) (standalone.Follower, error) {
	mode := endpointsource.SettingsTable.In(f).Mode
	if mode == endpointsource.ModePlatform {
		return nil, nil
	}
	set := *consul.Table.In(f)
	if _, err := consul.New(set, mode, resolve); err != nil {
		return nil, err
	}
	return func(ctx context.Context, tell func(endpointsource.ConsulAnswer), heard func()) {
		w, err := consul.New(set, mode, resolve)
		if err != nil { // it went a moment ago: a file has been taken away
			log.Printf("consul: %v", err)
			return
		}
		w.OnAnswer, w.OnUnchanged = tell, heard
		w.Run(ctx)
	}, nil
}

// adminOpener serves the view that a file asks for, nil for none.
func adminOpener(f *schema.File, name string) standalone.Admin {
	address := admin.Table.In(f).Listen
	if address == "" {
		return nil
	}
	return func(look func() (string, []endpointsource.Row, bool), others func(bool) (peers.FleetReport, bool)) (func(), error) {
		return admin.Serve(address, admin.Views{Members: func() (admin.Members, bool) {
			source, rows, ok := look()
			return admin.Members{Name: name, Source: source, Endpoints: rows}, ok
		}, Peers: others})
	}
}

// peersOpener opens the view of the other sidecars that a file asks for, nil for none.
func peersOpener(f *schema.File, resolve func(string) string) (standalone.PeersOpener, error) {
	set := *gossip.Table.In(f)
	if set.Listen == "" {
		return nil, nil
	}
	application := appfile.SidecarTable.In(f).Application
	if application == "" {
		return nil, fmt.Errorf("%s: peers_listen is set, and sidecar.application is not: others could not be told from another application's",
			f.Location("peers", "peers_listen"))
	}
	if set.Service != "" && consul.Table.In(f).Agents == "" {
		return nil, fmt.Errorf("%s: peers_service is set, and consul.agents is not", f.Location("peers", "peers_service"))
	}
	keys := func() ([][]byte, error) {
		if set.KeyFile == "" {
			return nil, nil
		}
		text, err := secretfile.ReadToken(resolve(set.KeyFile))
		if err != nil {
			return nil, err
		}
		all, err := gossip.ParseKeys(text)
		if err != nil {
			err = fmt.Errorf("%s: peers.peers_key_file: %w", f.Location("peers", "peers_key_file"), err)
		}
		return all, err
	}
	if _, err := keys(); err != nil {
		return nil, err
	}
	return func(in standalone.PeersConfig) (standalone.Peers, error) {
		first, err := keys()
		if err != nil {
			return nil, err
		}
		var find func() ([]string, error)
		if set.Service != "" {
			find = func() ([]string, error) {
				return consul.Find(context.Background(), *consul.Table.In(f), set.Service, resolve)
			}
		}
		g, err := gossip.Open(gossip.Config{
			Settings: set, FindAddresses: find, Name: in.Name, Application: application, Version: Version(), ExpectedMembers: in.Instances,
			Keys: first, SettledNames: in.Names, KnownAddresses: in.Addresses, Ready: in.Ready, OnShare: in.Changed, OnSettled: in.Save,
		})
		if err != nil {
			return nil, err
		}
		return &reloadableGroup{g, keys}, nil
	}, nil
}

// reloadableGroup is a Group whose keys are in a file.
type reloadableGroup struct {
	*gossip.Group
	readKeys func() ([][]byte, error)
}

// Reload reads the keys again.
func (r *reloadableGroup) Reload() error {
	keys, err := r.readKeys()
	if err != nil || keys == nil {
		return err
	}
	return r.ReplaceKeys(keys)
}

// Version is that of the program: the commit that it was built of, where the build tells.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), 12)]
		}
	}
	return ""
}

// Reference is the reference page of all files, in Markdown.
func Reference() string {
	return `# Reference: configuration keys

Generated by ` + "`go generate ./docs`" + ` from the declarations that also check the files; do not
edit it. [operate/configuration.md](operate/configuration.md) explains how to work with them.

Durations have units (` + "`us`, `ms`, `s`, `m`, `h`" + `), sizes too (` + "`B`, `KiB`, `MiB`, `GiB`" + `). A key
that changes at SIGHUP takes effect when the sidecar reads its file again; a reload that
changes one that takes effect at a start only is refused.

# A sidecar's file
` + Schema.Reference() + `
# apps.toml

It holds the tables above under ` + "`[defaults.TABLE]`" + ` for all applications, and under
` + "`[apps.\"NAME\".TABLE]`" + ` for one. Beside them stand these:
` + apps.InstallationSchema.Reference()
}

// Sample is a sidecar's file with all keys.
func Sample() string {
	return `# A sidecar's file with all keys: those that are needed with an example, the others with
# their default or an example, as comments. Generated by go generate ./docs; copy it before
# you edit it. Start with: bin/quincegap -config FILE
# Check with: bin/quincegapctl check FILE
` + Schema.Sample()
}
