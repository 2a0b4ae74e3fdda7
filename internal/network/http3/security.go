package http3

import (
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"strconv"
	"time"
)

// Security has the certificate and the secret of a front.
type Security struct {
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// Secret is the secret from which the keys of stateless resets, Retry tokens and session tickets are derived. With the same
	// secret after a restart, callers learn at once that their old connections are gone, and resume their sessions. Nil makes the
	// library use random keys.
	Secret []byte
	// Now returns the time that selects the keys of session tickets; nil for time.Now.
	Now func() time.Time
}

// The purposes for which keys are derived. They are data: other versions of the program derive the same keys.
const (
	purposePrefix = "quincegap "
	purposeReset  = "stateless reset"
	purposeToken  = "token"
	purposeTicket = "ticket " // and the day
)

const (
	day = 24 * time.Hour
	// ticketKeyInterval is the time after which the keys of session tickets are set again; they change with the day.
	ticketKeyInterval = time.Hour
)

// deriveKey derives the key for a purpose from a secret.
func deriveKey(secret []byte, purpose string) (key [32]byte) {
	text, err := hkdf.Key(sha256.New, secret, nil, purposePrefix+purpose, len(key))
	if err != nil {
		panic(err) // only for a key longer than the hash allows
	}
	copy(key[:], text)
	return key
}

// ticketKeys returns the keys of session tickets of the present day, which encrypts, and of the days before and after: a ticket is valid
// for a day at least at every sidecar with the same secret, also if clocks differ by hours.
func ticketKeys(secret []byte, now time.Time) (keys [][32]byte) {
	today := now.Unix() / int64(day.Seconds())
	for _, d := range []int64{today, today - 1, today + 1} {
		keys = append(keys, deriveKey(secret, purposeTicket+strconv.FormatInt(d, 10)))
	}
	return keys
}

// renewTicketKeys sets the ticket keys of a configuration every ticketKeyInterval, until ctx ends.
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
