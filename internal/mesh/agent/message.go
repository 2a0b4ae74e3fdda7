package agent

import (
	"gingerlead/internal/mesh/discovery"
	"gingerlead/internal/mesh/transport/codec"
)

// Methods of the control plane between processes. Their numbers never change.
const (
	methodShuffle   = 10 // membership.Shuffle; answered by one
	methodPost      = 11 // an allocator's record of its endpoint, for a home
	methodSubscribe = 12 // a caller's wish to hear of a service, for a home; answered by a listing
	methodNews      = 13 // what has changed, from a home to a subscriber
	methodNotice    = 14 // a version of the configuration is there
	methodConfig    = 15 // wants the newest configuration
	methodBook      = 16 // between core processes: the register of the operator's word
	methodBeat      = 17 // a beat that another process took, for the endpoint's own sidecar
)

// posted is a record on its way to a home, and its acknowledgement.
type posted struct {
	Endpoint discovery.Endpoint
	Taken    bool
}

func (p *posted) Fields(v *codec.Visitor) {
	v.Message(1, &p.Endpoint)
	v.Bool(2, &p.Taken)
}

// wish is a subscriber's.
type wish struct {
	Who     string // its address
	Service string
	Since   uint64
	Life    uint64 // of the home that Since is of
}

func (w *wish) Fields(v *codec.Visitor) {
	v.Text(1, &w.Who)
	v.Text(2, &w.Service)
	v.Uint(3, &w.Since)
	v.Fixed(4, &w.Life)
}

// listing is what a home knows of a service, or what of it has changed.
type listing struct {
	Service   string
	Version   uint64 // of the home's board; 0 in news
	Endpoints []discovery.Endpoint
	Life      uint64 // of the home
}

func (l *listing) Fields(v *codec.Visitor) {
	v.Text(1, &l.Service)
	v.Uint(2, &l.Version)
	codec.Messages(v, 3, &l.Endpoints)
	v.Fixed(4, &l.Life)
}

// notice says which version its sender holds.
type notice struct{ Version uint64 }

func (n *notice) Fields(v *codec.Visitor) { v.Uint(1, &n.Version) }

// configuration is the newest that its sender knows to be committed, with its text if it is newer than the asker's.
type configurationText struct {
	Version uint64
	Text    []byte
}

func (c *configurationText) Fields(v *codec.Visitor) {
	v.Uint(1, &c.Version)
	v.Bytes(2, &c.Text)
}

// bytes carries what another package has written.
type bytes struct{ Body []byte }

func (b *bytes) Fields(v *codec.Visitor) { v.Bytes(1, &b.Body) }

// taken acknowledges.
type taken struct{ Taken bool }

func (t *taken) Fields(v *codec.Visitor) { v.Bool(1, &t.Taken) }
