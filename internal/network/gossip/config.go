package gossip

import (
	"fmt"
	"log"
	"log/slog"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

// Config is what a Group is made of.
type Config struct {
	Settings
	Name            string // of this sidecar, the same after a restart
	Application     string // others of the same one are its peers
	Version         string // of the program, for people
	ExpectedMembers int    // that a file names
	Keys            [][]byte

	// SettledNames and KnownAddresses are the group that an earlier run handed to OnSettled; nil for none.
	SettledNames   []string
	KnownAddresses []string

	// Ready tells whether this sidecar serves by now. It is asked in each tick until it does; nil for one that does at once.
	Ready func() bool
	// OnShare takes a share that differs from the one before. It is called by one goroutine at a time.
	OnShare func(peers.Share)
	// OnSettled takes a group that has settled, and where its members are, for a later run; nil for nobody.
	OnSettled func(names, addresses []string)
	// FindAddresses looks for addresses beside those of the file while members are missing; nil for nowhere.
	FindAddresses func() ([]string, error)
	// NewTransport makes the network in place of sockets, for tests; nil for sockets.
	NewTransport func() (memberlist.Transport, error)
	Log          *slog.Logger // nil for the default
}

const (
	ticksPerSettle      = 8 // ticks in each settle_after
	minTick             = 10 * time.Millisecond
	leaveTimeout        = 500 * time.Millisecond
	updateTimeout       = time.Second
	dialTimeout         = 2 * time.Second
	maxJoinBackoff      = 20 * time.Second
	maxLearnedAddresses = 32

	// suspicionMult is how many probe intervals, times the logarithm of the members, a suspect has to refute a suspicion;
	// suspicionMaxMult times that if nobody else suspects it too.
	suspicionMult    = 4
	suspicionMaxMult = 2
	// maxAwareness is how many times slower, at most, a member judges others that takes itself for unhealthy: when most members
	// die at once, the others take themselves for that.
	maxAwareness = 3
	// exchangeIntervals is how many probe intervals are between two full exchanges with one member. They cost more the more
	// members there are, and a difference is found by digests.
	exchangeIntervals = 240
	// gossipsPerProbe is how many rounds of broadcasts there are in a probe interval.
	gossipsPerProbe   = 5
	minGossipInterval = 20 * time.Millisecond
)

// memberlistConfig is the library's configuration for a group. It opens the transport.
func (g *Group) memberlistConfig() (*memberlist.Config, error) {
	m := memberlist.DefaultLANConfig()
	m.Name = g.nodeName()
	m.ProbeInterval = g.config.ProbeInterval
	m.ProbeTimeout = g.config.ProbeInterval / 2
	m.SuspicionMult = suspicionMult
	m.SuspicionMaxTimeoutMult = suspicionMaxMult
	m.AwarenessMaxMultiplier = maxAwareness
	m.PushPullInterval = exchangeIntervals * g.config.ProbeInterval
	m.GossipInterval = max(g.config.ProbeInterval/gossipsPerProbe, minGossipInterval)
	m.TCPTimeout = dialTimeout
	m.Logger = log.New(g.libraryLog, "", 0)
	m.DNSConfigPath = ""
	callbacks := &delegate{group: g}
	m.Delegate = callbacks
	m.Events = callbacks
	m.Alive = callbacks
	m.Merge = callbacks
	m.Ping = callbacks
	if len(g.config.Keys) > 0 {
		var err error
		if g.keyring, err = memberlist.NewKeyring(g.config.Keys, g.config.Keys[0]); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		m.Keyring = g.keyring
	}
	if g.config.NewTransport != nil {
		t, err := g.config.NewTransport()
		m.Transport = t
		return m, err
	}
	return m, g.openSockets(m)
}

// openSockets has a configuration use the addresses of the settings.
func (g *Group) openSockets(m *memberlist.Config) error {
	listen, err := net.ResolveUDPAddr("udp", g.config.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	m.BindAddr = listen.IP.String()
	m.BindPort = listen.Port
	m.AdvertisePort = listen.Port
	if g.config.Advertise != "" {
		advertised, err := net.ResolveUDPAddr("udp", g.config.Advertise)
		if err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		m.AdvertiseAddr = advertised.IP.String()
		m.AdvertisePort = advertised.Port
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{m.BindAddr}, BindPort: m.BindPort, Logger: m.Logger,
	})
	if err != nil {
		return fmt.Errorf("peers: %s: %w", g.config.Listen, err)
	}
	m.Transport = newBoundedTransport(t, listen.IP)
	return nil
}
