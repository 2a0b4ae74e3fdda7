package http3

import (
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"strconv"
	"time"
)

// Security holds the certificate and the secret of a front.
type Security struct {
	// Certificate returns the certificate for a handshake. It is called during handshakes, so that the certificate can be replaced.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// Secret is the secret from which the keys for stateless resets, Retry tokens and session tickets are derived. If the secret is
	// the same after a restart, callers' old connections are reset at their next request and their sessions can be resumed (a keepalive
	// alone is too small a packet to be answered with a reset). If it is nil, the library uses random keys.
	Secret []byte
	// Now returns the current time, which selects the keys for session tickets; nil means time.Now.
	Now func() time.Time
}

// The purposes for which keys are derived. They must not change, so that other versions of the program derive the same keys.
const (
	purposePrefix = "quincegap "
	purposeReset  = "stateless reset"
	purposeToken  = "token"
	purposeTicket = "ticket " // prefix; the number of the day since the Unix epoch follows
)

const (
	day = 24 * time.Hour
	// ticketKeyInterval is the time between two updates of the keys for session tickets, which change every day.
	ticketKeyInterval = time.Hour
)

// deriveKey derives the key for a purpose from a secret, by HKDF with SHA-256.
func deriveKey(secret []byte, purpose string) (key [32]byte) {
	derived, err := hkdf.Key(sha256.New, secret, nil, purposePrefix+purpose, len(key))
	if err != nil {
		panic(err) // fails only if the key is longer than the hash allows
	}
	copy(key[:], derived)
	return key
}

// ticketKeys returns the keys for session tickets: that of the current day, which also encrypts new tickets, and those of the previous and
// the next day. Therefore every sidecar with the same secret accepts a ticket for at least a day, even if clocks differ by hours.
func ticketKeys(secret []byte, now time.Time) (keys [][32]byte) {
	today := now.Unix() / int64(day.Seconds())
	for _, d := range []int64{today, today - 1, today + 1} {
		keys = append(keys, deriveKey(secret, purposeTicket+strconv.FormatInt(d, 10)))
	}
	return keys
}

// renewTicketKeys sets the ticket keys of a TLS configuration every ticketKeyInterval, until ctx is done.
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
