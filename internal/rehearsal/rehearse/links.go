package rehearse

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
	"quincegap/internal/rehearsal/morning"
	"quincegap/internal/standin/relay"
)

const peersFile = `[sidecar]
application = "rehearsal.example.org"

[admin]
admin_listen = "unix:%s"

[peers]
peers_listen = %q
peers_advertise = %q
peers_join = %q
peers_most = 200

`

func (w *world) linkAddress(at, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, at, i+firstHost, port)
}

// link puts a relay before each sidecar of the first tier.
func (w *world) link() error {
	w.links = relay.New(w.plan.Seed)
	for i, s := range w.sidecars[:w.plan.Sidecars.Count] {
		if err := w.links.Join(s.name, w.linkAddress(relayAt, i), w.linkAddress(peersAt, i)); err != nil {
			w.links.Close()
			return err
		}
	}
	return nil
}

func (s *sidecar) peersFile(dir string) string {
	var join []string
	for i := range min(3, s.w.plan.Sidecars.Count) {
		if i != s.index {
			join = append(join, s.w.linkAddress(relayAt, i))
		}
	}
	text := fmt.Sprintf(peersFile, s.admin(dir), s.w.linkAddress(peersAt, s.index), s.w.linkAddress(relayAt, s.index), strings.Join(join, ","))
	if len(join) == 0 {
		text = strings.Replace(text, "peers_join = \"\"\n", "", 1)
	}
	return text
}

func (s *sidecar) admin(dir string) string { return filepath.Join(dir, s.name+".sock") }

// befall plays a step of the links.
func (w *world) befall(s morning.Step) {
	by, on := max(s.By, -s.By), s.By > 0
	var some, others []string
	for i, o := range w.sidecars[:w.plan.Sidecars.Count] {
		if i >= s.Sidecar && i < s.Sidecar+int(by) {
			some = append(some, o.name)
		} else {
			others = append(others, o.name)
		}
	}
	switch s.What {
	case "cut":
		w.links.Cut(some, others, on)
		w.links.Cut(others, some, on)
	case "mute":
		w.links.Cut(some, others, on)
	default:
		w.links.Change(func(f *relay.Fault) {
			if !on {
				by = 0
			}
			switch s.What {
			case "lost":
				f.Loss = by
			case "doubled":
				f.Double = by
			case "late":
				f.Late = time.Duration(by * float64(time.Second))
			}
		})
	}
}

// oneWithin is how long sidecars that all live have, once nothing befalls them any more, until they have one view.
const oneWithin = 90 * time.Second

// apart waits until all sidecars that serve have one view, settled, and returns "", or the views that they have.
func (w *world) apart(ctx context.Context, p *program) string {
	w.links.Heal()
	for end := time.Now().Add(oneWithin); ; {
		var views strings.Builder
		one, alive := true, 0
		for _, s := range w.sidecars[:w.plan.Sidecars.Count] {
			if s.serving() {
				alive++
			}
		}
		for _, s := range w.sidecars[:w.plan.Sidecars.Count] {
			if !s.serving() {
				continue
			}
			f, err := admin.AskPeers("unix:"+s.admin(p.dir), false)
			r := f.Own
			one = one && err == nil && r.Confidence == peers.Settled.String() && r.Instances == alive && r.OwnsName
			fmt.Fprintf(&views, "%s: %s, number %d of %d, %d of %d in reach, %v\n", s.name, r.Confidence, r.Ordinal, r.Instances, r.Reachable, r.GroupSize, err)
		}
		if one {
			return ""
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return views.String()
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}
