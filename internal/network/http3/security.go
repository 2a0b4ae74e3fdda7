package http3

import (
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"strconv"
	"time"
)

// Security is what a front proves itself with.
type Security struct {
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// Secret is what stateless resets, Retry tokens and session tickets are made with. The same one after a restart lets callers
	// of before learn at once that their connections are gone, and resume their sessions. Nil stands for a new one.
	Secret []byte
	// Now is the time of day that keys of session tickets go by; nil for the clock.
	Now func() time.Time
}

// The purposes for which keys are derived. Other versions of the program derive the same ones.
const (
	purposePrefix = "quincegap "
	purposeReset  = "stateless reset"
	purposeToken  = "token"
	purposeTicket = "ticket " // and the day
)

const (
	day = 24 * time.Hour
	// ticketKeyInterval is how often the keys of session tickets are set, for a new day.
	ticketKeyInterval = time.Hour
)

// deriveKey makes one key of a secret for each purpose.
func deriveKey(secret []byte, purpose string) (key [32]byte) {
	text, err := hkdf.Key(sha256.New, secret, nil, purposePrefix+purpose, len(key))
	if err != nil {
		panic(err) // only if the length is beyond the hash's
	}
	copy(key[:], text)
	return key
}

// ticketKeys are the keys of a day and of the one before and after: a ticket holds for a day at least, at every sidecar with the same
// secret, even if clocks differ by hours. The first one encrypts.
func ticketKeys(secret []byte, now time.Time) (keys [][32]byte) {
	today := now.Unix() / int64(day.Seconds())
	for _, d := range []int64{today, today - 1, today + 1} {
		keys = append(keys, deriveKey(secret, purposeTicket+strconv.FormatInt(d, 10)))
	}
	return keys
}

// renewTicketKeys sets the keys of a configuration again and again, until ctx ends.
func (s *Security) renewTicketKeys(ctx context.Context, config *tls.Config) {
	ticker := time.NewTicker(ticketKeyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			config.SetSessionTicketKeys(ticketKeys(s.Secret, s.now()))
		case <-ctx.Done():
			return
		}
	}
}

func (s *Security) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
