package product

import (
	"context"
	"fmt"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/files/secretfile"
	"quincegap/internal/network/consul"
	"quincegap/internal/network/gossip"
	"quincegap/internal/standalone"
)

// peersOpener returns a function that joins the group of sidecars that a file configures, or nil if the file configures none. It fails if
// the settings contradict one another or the keys cannot be read.
func peersOpener(file *schema.File, resolve func(string) string) (standalone.PeersOpener, error) {
	settings := *gossip.Table.In(file)
	if settings.Listen == "" {
		return nil, nil
	}
	application := appfile.SidecarTable.In(file).Application
	if application == "" {
		return nil, fmt.Errorf("%s: peers_listen is set, and sidecar.application is not: sidecars of other applications could not be told apart",
			file.Location("peers", "peers_listen"))
	}
	if settings.Service != "" && consul.Table.In(file).Agents == "" {
		return nil, fmt.Errorf("%s: peers_service is set, and consul.agents is not", file.Location("peers", "peers_service"))
	}
	readKeys := func() ([][]byte, error) { return readPeerKeys(file, settings.KeyFile, resolve) }
	if _, err := readKeys(); err != nil {
		return nil, err
	}
	return func(config standalone.PeersConfig) (standalone.Peers, error) {
		keys, err := readKeys()
		if err != nil {
			return nil, err
		}
		var findAddresses func() ([]string, error)
		if settings.Service != "" {
			findAddresses = func() ([]string, error) {
				return consul.Find(context.Background(), *consul.Table.In(file), settings.Service, resolve)
			}
		}
		group, err := gossip.Open(gossip.Config{
			Settings:        settings,
			FindAddresses:   findAddresses,
			Name:            config.Name,
			Application:     application,
			Version:         Version(),
			ExpectedMembers: config.Instances,
			Keys:            keys,
			SettledNames:    config.Names,
			KnownAddresses:  config.Addresses,
			Ready:           config.Ready,
			OnShare:         config.Changed,
			OnSettled:       config.Save,
		})
		if err != nil {
			return nil, err
		}
		return &reloadableGroup{group, readKeys}, nil
	}, nil
}

// readPeerKeys reads the keys of the group from the file that the settings name. It returns no keys if they name no file.
func readPeerKeys(f *schema.File, keyFile string, resolve func(string) string) ([][]byte, error) {
	if keyFile == "" {
		return nil, nil
	}
	text, err := secretfile.ReadToken(resolve(keyFile))
	if err != nil {
		return nil, err
	}
	keys, err := gossip.ParseKeys(text)
	if err != nil {
		return keys, fmt.Errorf("%s: peers.peers_key_file: %w", f.Location("peers", "peers_key_file"), err)
	}
	return keys, nil
}

// reloadableGroup is a group whose keys can be reloaded from their file.
type reloadableGroup struct {
	*gossip.Group
	readKeys func() ([][]byte, error)
}

// Reload reads the keys again and replaces those of the group. It does nothing if the settings name no file with keys.
func (r *reloadableGroup) Reload() error {
	keys, err := r.readKeys()
	if err != nil || keys == nil {
		return err
	}
	return r.ReplaceKeys(keys)
}
