package gossip

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"

	"quincegap/internal/config/appfile"
)

// The lengths of keys, in bytes: AES-128, AES-192 and AES-256.
const (
	aes128KeyBytes = 16
	aes192KeyBytes = 24
	aes256KeyBytes = 32
)

var (
	// ErrNoKeys is returned for a text of keys that holds none.
	ErrNoKeys = errors.New("holds no key")
	// ErrKeysFixed is returned by ReplaceKeys if encryption would begin or end while members run.
	ErrKeysFixed = errors.New("peers: keys come and go with a start only")
)

// ParseKeys reads the keys of a file's text: base64, divided by commas, of which the first encrypts. No error holds any of them.
func ParseKeys(text string) (keys [][]byte, err error) {
	for i, part := range appfile.SplitList(text) {
		key, err := base64.StdEncoding.DecodeString(part)
		if err != nil {
			return nil, fmt.Errorf("key %d is not in base64 (RFC 4648, section 4)", i+1)
		}
		switch n := len(key); n {
		case aes128KeyBytes, aes192KeyBytes, aes256KeyBytes:
		default:
			return nil, fmt.Errorf("key %d has %d bytes; 16, 24 or 32 are wanted", i+1, n)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, ErrNoKeys
	}
	return keys, nil
}

// ReplaceKeys takes the keys of a file that was read again. The first one encrypts, all of them decrypt, and others no longer do.
func (g *Group) ReplaceKeys(keys [][]byte) error {
	if g.keyring == nil || len(keys) == 0 {
		return ErrKeysFixed
	}
	for _, key := range keys {
		if err := g.keyring.AddKey(key); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	if err := g.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for _, key := range g.keyring.GetKeys() {
		if slices.ContainsFunc(keys, func(k []byte) bool { return string(k) == string(key) }) {
			continue
		}
		if err := g.keyring.RemoveKey(key); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	return nil
}
