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
	// ErrNoKeys is returned by ParseKeys for a text that contains no key.
	ErrNoKeys = errors.New("contains no key")
	// ErrKeysFixed is returned by ReplaceKeys if the change would enable or disable encryption while the group runs.
	ErrKeysFixed = errors.New("peers: enabling or disabling encryption requires a restart")
)

// ParseKeys parses the text of a key file: keys in base64, separated by commas. The first one encrypts, all of them decrypt. It fails
// if a key is malformed or of another length than 16, 24 or 32 bytes, or if there is none. No error contains key material.
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

// ReplaceKeys replaces the keys of a running group. The first one encrypts, all of them decrypt, and all other keys are removed. It
// returns ErrKeysFixed if the group has no encryption or keys is empty.
func (g *Group) ReplaceKeys(keys [][]byte) error {
	if g.keyring == nil || len(keys) == 0 {
		return ErrKeysFixed
	}
	for _, key := range keys {
		if err := g.keyring.AddKey(key); err != nil {
			return fmt.Errorf("peers: add key: %w", err)
		}
	}
	if err := g.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("peers: change encryption key: %w", err)
	}
	for _, key := range g.keyring.GetKeys() {
		if slices.ContainsFunc(keys, func(k []byte) bool { return string(k) == string(key) }) {
			continue
		}
		if err := g.keyring.RemoveKey(key); err != nil {
			return fmt.Errorf("peers: remove key: %w", err)
		}
	}
	return nil
}
