package gossip

import (
	"net"
	"strings"
	"time"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/peers"
)

// Settings is the table [peers] of a settings file. Table describes the meaning of each setting.
type Settings struct {
	Listen        string // IP:port to listen on; empty disables the view of peers
	Advertise     string // IP:port that peers are told to use; empty for Listen
	Join          string // addresses of peers to join, each host:port, separated by commas
	Service       string // name of the Consul service whose instances are peers
	KeyFile       string
	Zone          string
	ProbeInterval time.Duration
	SettleAfter   time.Duration
	ForgetAfter   time.Duration
	MaxMembers    int
}

const (
	maxJoinAddresses = 64
	maxZoneBytes     = 64
	// bytesPerMember is the memory that one member uses, including memberlist's data about it (docs/figures/peers.md).
	bytesPerMember = 6 << 10
	// maxMemoryShare is the maximum fraction of limits.memory that all members together may use.
	maxMemoryShare = 0.1
	// minForgetSettles is the ratio that forget_after to settle_after must exceed.
	minForgetSettles = 10
)

// badAddress returns why text is not an address of the form IP:port; empty if it is one.
func badAddress(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil || strings.Trim(port, "0123456789") != "" || port == "" || port == "0" {
		return "is not IP:port"
	}
	return ""
}

// badZone returns why text is not a valid zone name; empty if it is valid.
func badZone(text string) string {
	if len(text) > maxZoneBytes {
		return "is longer than 64 bytes"
	}
	return ""
}

// Table is the table [peers] of a settings file.
var Table = schema.NewTable("peers",
	"The view of the other sidecars of this application (docs/operate/peers.md); it is off unless peers_listen is set.",
	schema.String("peers_listen", func(s *Settings) *string { return &s.Listen },
		schema.StringOptions{Example: "10.0.4.7:7946", Type: "address", Bounds: "IP:port", Fault: badAddress}, schema.AtStart,
		"Where the others reach this one, over UDP and TCP."),
	schema.String("peers_advertise", func(s *Settings) *string { return &s.Advertise },
		schema.StringOptions{Example: "192.0.2.7:7946", Type: "address", Bounds: "IP:port", Fault: badAddress}, schema.AtStart,
		"The address that the others are told, where it is not peers_listen."),
	schema.String("peers_join", func(s *Settings) *string { return &s.Join },
		schema.StringOptions{
			Example: "10.0.4.8:7946, 10.0.4.9:7946",
			Type:    "addresses",
			Bounds:  "host:port, divided by commas, 64 at most",
			Fault:   appfile.AddressListFault(maxJoinAddresses),
		}, schema.AtStart,
		"Some of the others; the rest is learnt from them. Without it this one waits to be found."),
	schema.String("peers_service", func(s *Settings) *string { return &s.Service },
		schema.StringOptions{Example: "booking-front-peers", Fault: appfile.ServiceNameFault}, schema.AtStart,
		"A service in Consul (consul.agents) whose instances are the others' peers_listen; asked while somebody is missing."),
	schema.SecretFile("peers_key_file", func(s *Settings) *string { return &s.KeyFile },
		schema.Token, "/etc/quincegap/peers.key", schema.OnReload,
		"A file with the key that all share: 16, 24 or 32 random bytes in base64, or several divided by commas, of which the first "+
			"encrypts and all decrypt. It is read again at SIGHUP."),
	schema.String("peers_zone", func(s *Settings) *string { return &s.Zone },
		schema.StringOptions{Example: "provo", Fault: badZone}, schema.AtStart,
		"The zone that this one tells the others."),
	schema.Duration("peers_pace", func(s *Settings) *time.Duration { return &s.ProbeInterval },
		schema.Bounds[time.Duration]{Default: 500 * time.Millisecond, Min: 100 * time.Millisecond, Max: 10 * time.Second}, schema.AtStart,
		"How often this one asks one of the others whether it is there."),
	schema.Duration("settle_after", func(s *Settings) *time.Duration { return &s.SettleAfter },
		schema.Bounds[time.Duration]{Default: time.Second, Min: 100 * time.Millisecond, Max: time.Minute}, schema.AtStart,
		"How long nothing must change until subsets and shares follow the view."),
	schema.Duration("forget_after", func(s *Settings) *time.Duration { return &s.ForgetAfter },
		schema.Bounds[time.Duration]{Default: 10 * time.Minute, Min: time.Minute, Max: 24 * time.Hour}, schema.AtStart,
		"How long one that is gone is remembered, so that no old message brings it back."),
	schema.Int("peers_most", func(s *Settings) *int { return &s.MaxMembers },
		schema.Bounds[int]{Default: 1000, Min: 2, Max: 4000}, schema.AtStart,
		"The most sidecars that are known at once, those that are gone among them."),
).Check(func(f *schema.File, _ string, s *Settings, report schema.Reporter) {
	memory := appfile.LimitsTable.In(f).Memory
	switch need := int64(s.MaxMembers) * bytesPerMember; {
	case s.Listen == "" && (s.Join != "" || s.KeyFile != "" || s.Advertise != ""):
		report("peers_listen", "missing: without it there is no view of the others")
	case s.Listen == "":
	case s.KeyFile == "" && !loopback(s.Listen):
		report("peers_key_file", "missing: %s is not on loopback, and whoever reaches it could say who is there", s.Listen)
	case s.Advertise == "" && unspecified(s.Listen):
		report("peers_advertise", "missing: %s is no address that the others could reach", s.Listen)
	case memory > 0 && float64(need) > maxMemoryShare*float64(memory):
		report("peers_most", "%d members may take %d KiB, more than a tenth of limits.memory (%s)",
			s.MaxMembers, need>>10, f.Location("limits", "memory"))
	case s.ForgetAfter <= minForgetSettles*s.SettleAfter:
		report("forget_after", "%s is not above ten times settle_after, %s (%s)", schema.FormatDuration(s.ForgetAfter),
			schema.FormatDuration(s.SettleAfter), f.Location("peers", "settle_after"))
	}
	for _, a := range appfile.SplitList(s.Join) {
		if a == s.Advertise { // an address equal to peers_listen is reported by the check that compares all addresses
			report("peers_join", "%s is this sidecar's own address", a)
		}
	}
})

func loopback(address string) bool { return addressIP(address).IsLoopback() }

func unspecified(address string) bool { return addressIP(address).IsUnspecified() }

// addressIP returns the IP of an address that badAddress considers valid, and nil for other addresses.
func addressIP(address string) net.IP {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// The view's time options, as multiples of the probe interval (…Probes) and of settle_after (…Settles).
const (
	suspicionProbes = 20
	exchangeProbes  = 10
	// lossProbes exceeds the time that memberlist needs to declare half of the largest group dead, one member after another: each
	// takes a suspicion of suspicionMult*suspicionMaxMult*log10(members) probe intervals, and the probes before it.
	lossProbes     = 120
	dampingSettles = 20
	resumeSettles  = 60
)

// options returns the view's options. memberlist ends its own suspicions; SuspicionTimeout is the time that a member has to learn that
// others report it as gone, and to refute that.
func (s *Settings) options(expectedMembers int) peers.Options {
	return peers.Options{
		SuspicionTimeout:    suspicionProbes * s.ProbeInterval,
		ForgetAfter:         s.ForgetAfter,
		SettleAfter:         s.SettleAfter,
		DampingWindow:       dampingSettles * s.SettleAfter,
		LossWindow:          lossProbes * s.ProbeInterval,
		ResumeWindow:        resumeSettles * s.SettleAfter,
		MinExchangeInterval: exchangeProbes * s.ProbeInterval,
		ExpectedMembers:     expectedMembers,
		MaxMembers:          s.MaxMembers,
	}
}
