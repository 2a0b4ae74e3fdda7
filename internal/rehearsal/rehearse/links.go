package rehearse

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
	"quincegap/internal/rehearsal/scenario"
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

func (w *rehearsal) linkAddress(at, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, at, i+firstHost, port)
}

// startLinks puts a relay before each sidecar of the first tier.
func (w *rehearsal) startLinks() error {
	w.links = relay.New(w.plan.Seed)
	for i, s := range w.sidecars[:w.plan.Sidecars.Count] {
		if _, err := w.links.AddMember(s.name, w.linkAddress(relayRow, i), w.linkAddress(peersRow, i)); err != nil {
			w.links.Close()
			return err
		}
	}
	return nil
}

func (s *sidecar) peersFile(dir string) string {
	var join []string
	for i := range min(3, s.rehearsal.plan.Sidecars.Count) {
		if i != s.index {
			join = append(join, s.rehearsal.linkAddress(relayRow, i))
		}
	}
	text := fmt.Sprintf(peersFile, s.admin(dir), s.rehearsal.linkAddress(peersRow, s.index), s.rehearsal.linkAddress(relayRow, s.index), strings.Join(join, ","))
	if len(join) == 0 {
		text = strings.Replace(text, "peers_join = \"\"\n", "", 1)
	}
	return text
}

func (s *sidecar) admin(dir string) string { return filepath.Join(dir, s.name+".sock") }

// applyLinkFault plays a step of the links.
func (w *rehearsal) applyLinkFault(s scenario.Step) {
	by, on := max(s.Amount, -s.Amount), s.Amount > 0
	var some, others []string
	for i, o := range w.sidecars[:w.plan.Sidecars.Count] {
		if i >= s.Sidecar && i < s.Sidecar+int(by) {
			some = append(some, o.name)
		} else {
			others = append(others, o.name)
		}
	}
	switch s.Name {
	case "cut":
		w.links.Partition(some, others, on)
		w.links.Partition(others, some, on)
	case "mute":
		w.links.Partition(some, others, on)
	default:
		w.links.ChangeFault(func(f *relay.Fault) {
			if !on {
				by = 0
			}
			switch s.Name {
			case "lost":
				f.LossShare = by
			case "doubled":
				f.DuplicateShare = by
			case "late":
				f.MaxDelay = time.Duration(by * float64(time.Second))
			}
		})
	}
}

// convergenceTimeout is how long sidecars that all live have, once nothing befalls them any more, until they have one view.
const convergenceTimeout = 90 * time.Second

// waitForOneView waits until all sidecars that serve have one view, settled, and returns "", or the views that they have.
func (w *rehearsal) waitForOneView(ctx context.Context, p *program) string {
	w.links.Heal()
	for end := time.Now().Add(convergenceTimeout); ; {
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
			f, err := admin.AskPeers(ctx, "unix:"+s.admin(p.dir), false)
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
