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

// Config configures a Group.
type Config struct {
	Settings
	Name            string   // this sidecar's name, which stays the same after a restart
	Application     string   // application name; sidecars of the same application are peers
	Version         string   // program version, shown to operators
	ExpectedMembers int      // number of sidecars in the settings file; the view starts from it
	Keys            [][]byte // encryption keys, see ParseKeys; empty disables encryption

	// SettledNames and KnownAddresses are the names and addresses that an earlier run passed to OnSettled; nil if there are none.
	SettledNames   []string
	KnownAddresses []string

	// Ready reports whether this sidecar serves requests. It is called in each tick; once it has returned true, this member is
	// announced as serving. Nil means that the sidecar serves from the start.
	Ready func() bool
	// OnShare is called with each share that differs from the previous one, by one goroutine at a time.
	OnShare func(peers.Share)
	// OnSettled is called with the names and addresses of each newly settled group, for the caller to pass to a later run as
	// SettledNames and KnownAddresses. It may be nil.
	OnSettled func(names, addresses []string)
	// FindAddresses returns addresses of members in addition to those in the settings file. It is called while members are missing,
	// and may be nil.
	FindAddresses func() ([]string, error)
	// NewTransport returns a transport to use in place of sockets, for tests; nil for sockets.
	NewTransport func() (memberlist.Transport, error)
	Log          *slog.Logger // nil for slog.Default
}

const (
	ticksPerSettle      = 8 // number of ticks in each settle_after
	minTick             = 10 * time.Millisecond
	leaveTimeout        = 500 * time.Millisecond
	updateTimeout       = time.Second
	dialTimeout         = 2 * time.Second
	maxJoinBackoff      = 20 * time.Second
	maxLearnedAddresses = 32

	// suspicionMult is the time within which a suspected member may refute the suspicion, in probe intervals times the logarithm of
	// the number of members. The time is suspicionMaxMult times as long if no second member suspects it.
	suspicionMult    = 4
	suspicionMaxMult = 2
	// maxAwareness bounds the factor by which a member that considers itself unhealthy delays its decisions that others are dead. When
	// most members die at once, the survivors consider themselves unhealthy.
	maxAwareness = 3
	// exchangeIntervals is the number of probe intervals between two periodic full exchanges. It is large since the cost of an exchange
	// grows with the number of members, and differing digests trigger exchanges sooner.
	exchangeIntervals = 240
	// gossipsPerProbe is the number of broadcast rounds in a probe interval.
	gossipsPerProbe   = 5
	minGossipInterval = 20 * time.Millisecond
)

// memberlistConfig returns the memberlist configuration of the group, with an open transport. It fails if the keyring or the transport
// can't be created.
func (g *Group) memberlistConfig() (*memberlist.Config, error) {
	config := memberlist.DefaultLANConfig()
	config.Name = g.nodeName()
	config.ProbeInterval = g.config.ProbeInterval
	config.ProbeTimeout = g.config.ProbeInterval / 2
	config.SuspicionMult = suspicionMult
	config.SuspicionMaxTimeoutMult = suspicionMaxMult
	config.AwarenessMaxMultiplier = maxAwareness
	config.PushPullInterval = exchangeIntervals * g.config.ProbeInterval
	config.GossipInterval = max(g.config.ProbeInterval/gossipsPerProbe, minGossipInterval)
	config.TCPTimeout = dialTimeout
	config.Logger = log.New(g.libraryLog, "", 0)
	config.DNSConfigPath = ""
	callbacks := &delegate{group: g}
	config.Delegate = callbacks
	config.Events = callbacks
	config.Alive = callbacks
	config.Merge = callbacks
	config.Ping = callbacks
	if len(g.config.Keys) > 0 {
		var err error
		if g.keyring, err = memberlist.NewKeyring(g.config.Keys, g.config.Keys[0]); err != nil {
			return nil, fmt.Errorf("peers: create keyring: %w", err)
		}
		config.Keyring = g.keyring
	}
	if g.config.NewTransport != nil {
		t, err := g.config.NewTransport()
		config.Transport = t
		return config, err
	}
	return config, g.openSockets(config)
}

// openSockets opens sockets on the listen address, and sets the addresses and the transport of config. It fails if an address can't be
// resolved or a socket can't be opened.
func (g *Group) openSockets(config *memberlist.Config) error {
	listen, err := net.ResolveUDPAddr("udp", g.config.Listen)
	if err != nil {
		return fmt.Errorf("peers: resolve listen address: %w", err)
	}
	config.BindAddr = listen.IP.String()
	config.BindPort = listen.Port
	config.AdvertisePort = listen.Port
	if g.config.Advertise != "" {
		advertised, err := net.ResolveUDPAddr("udp", g.config.Advertise)
		if err != nil {
			return fmt.Errorf("peers: resolve advertised address: %w", err)
		}
		config.AdvertiseAddr = advertised.IP.String()
		config.AdvertisePort = advertised.Port
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{config.BindAddr}, BindPort: config.BindPort, Logger: config.Logger,
	})
	if err != nil {
		return fmt.Errorf("peers: listen on %s: %w", g.config.Listen, err)
	}
	config.Transport = newBoundedTransport(t, listen.IP)
	return nil
}
