package rehearse

import (
	"context"
	"fmt"
	"strings"
	"time"

	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/relay"
)

// startLinks puts a relay before each sidecar of the first tier.
func (r *rehearsal) startLinks() error {
	r.links = relay.New(r.plan.Seed)
	for i, s := range r.firstTierSidecars() {
		if _, err := r.links.AddMember(s.name, r.relayAddress(i), r.peersAddress(i)); err != nil {
			r.links.Close()
			return err
		}
	}
	return nil
}

// firstTierSidecars returns the sidecars that callers from outside use.
func (r *rehearsal) firstTierSidecars() []*sidecar { return r.sidecars[:r.plan.Sidecars.Count] }

// applyLinkFault plays a step of the links: an amount above 0 begins a fault, one below 0 ends it.
func (r *rehearsal) applyLinkFault(step *scenario.Step) {
	amount, on := max(step.Amount, -step.Amount), step.Amount > 0
	var some, others []string
	for i, s := range r.firstTierSidecars() {
		if i >= step.Sidecar && i < step.Sidecar+int(amount) {
			some = append(some, s.name)
		} else {
			others = append(others, s.name)
		}
	}
	switch step.Name {
	case "cut":
		r.links.Partition(some, others, on)
		r.links.Partition(others, some, on)
	case "mute":
		r.links.Partition(some, others, on)
	default:
		if !on {
			amount = 0
		}
		r.links.ChangeFault(func(f *relay.Fault) {
			switch step.Name {
			case "lost":
				f.LossShare = amount
			case "doubled":
				f.DuplicateShare = amount
			case "late":
				f.MaxDelay = time.Duration(amount * float64(time.Second))
			}
		})
	}
}

// convergenceTimeout is how long the sidecars that serve have to agree on one view once no fault is left.
const convergenceTimeout = 90 * time.Second

// convergenceInterval is how often their views are compared.
const convergenceInterval = 100 * time.Millisecond

// waitForOneView waits until all sidecars that serve have one view, settled, and returns "", or the views that they have.
func (r *rehearsal) waitForOneView(ctx context.Context, program *program) string {
	r.links.Heal()
	for end := time.Now().Add(convergenceTimeout); ; {
		one, views := r.compareViews(ctx, program)
		if one {
			return ""
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return views
		}
		select {
		case <-time.After(convergenceInterval):
		case <-ctx.Done():
		}
	}
}

// compareViews reports whether all sidecars that serve have one view, settled, and returns their views as text.
func (r *rehearsal) compareViews(ctx context.Context, program *program) (one bool, text string) {
	serving := 0
	for _, s := range r.firstTierSidecars() {
		if s.serving() {
			serving++
		}
	}
	var views strings.Builder
	one = true
	for _, s := range r.firstTierSidecars() {
		if !s.serving() {
			continue
		}
		answer, err := admin.AskPeers(ctx, "unix:"+s.adminSocket(program.dir), false)
		own := answer.Own
		one = one && err == nil && own.Confidence == peers.Settled.String() && own.Instances == serving && own.OwnsName
		fmt.Fprintf(&views, "%s: %s, number %d of %d, %d of %d in reach, %v\n",
			s.name, own.Confidence, own.Ordinal, own.Instances, own.Reachable, own.GroupSize, err)
	}
	return one, views.String()
}
