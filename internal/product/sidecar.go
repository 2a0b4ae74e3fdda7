package product

import (
	"context"
	"log"

	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
	"quincegap/internal/network/consul"
	"quincegap/internal/standalone"
)

// SidecarConfig returns the configuration of a standalone sidecar from the file at a path, unless that is empty, and from a platform's
// configuration, which takes precedence. getenv looks up environment variables, as os.Getenv does.
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

// endpointFollower returns a function that watches the source of endpoints that a file configures in addition to discovery, or nil if the
// file configures none. It fails if the settings of the source are invalid.
func endpointFollower(f *schema.File, resolve func(string) string) (standalone.Follower, error) {
	mode := endpointsource.SettingsTable.In(f).Mode
	if mode == endpointsource.ModePlatform {
		return nil, nil
	}
	settings := *consul.Table.In(f)
	if _, err := consul.New(settings, mode, resolve); err != nil {
		return nil, err
	}
	return func(ctx context.Context, onAnswer func(endpointsource.ConsulAnswer), onUnchanged func()) {
		watcher, err := consul.New(settings, mode, resolve)
		if err != nil { // the check above has passed, so a file must have been removed since
			log.Printf("consul: %v", err)
			return
		}
		watcher.OnAnswer = onAnswer
		watcher.OnUnchanged = onUnchanged
		watcher.Run(ctx)
	}, nil
}

// adminOpener returns a function that serves the admin views at the address that a file configures, or nil if the file configures none.
func adminOpener(f *schema.File, name string) standalone.Admin {
	address := admin.Table.In(f).Listen
	if address == "" {
		return nil
	}
	return func(endpoints func() (string, []endpointsource.Row, bool), peerViews func(bool) (peers.FleetReport, bool)) (func(), error) {
		members := func() (admin.Members, bool) {
			source, rows, ok := endpoints()
			return admin.Members{Name: name, Source: source, Endpoints: rows}, ok
		}
		return admin.Serve(address, admin.Views{Members: members, Peers: peerViews})
	}
}
