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

// startLinks starts a relay in front of each sidecar of the first tier, and closes all of them if one cannot start.
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

// firstTierSidecars returns the sidecars that external callers use.
func (r *rehearsal) firstTierSidecars() []*sidecar { return r.sidecars[:r.plan.Sidecars.Count] }

// applyLinkFault applies a step of kind LinkFault: an amount above 0 begins a fault, one below 0 ends it. The sign is not part of the
// amount.
func (r *rehearsal) applyLinkFault(step *scenario.Step) {
	amount, on := max(step.Amount, -step.Amount), step.Amount > 0
	var affected, others []string
	for i, s := range r.firstTierSidecars() {
		if i >= step.Sidecar && i < step.Sidecar+int(amount) {
			affected = append(affected, s.name)
		} else {
			others = append(others, s.name)
		}
	}
	switch step.Name {
	case "cut":
		r.links.Partition(affected, others, on)
		r.links.Partition(others, affected, on)
	case "mute":
		r.links.Partition(affected, others, on)
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

// convergenceTimeout bounds how long the serving sidecars may take to agree on one view after all link faults have ended.
const convergenceTimeout = 90 * time.Second

// convergenceInterval is the interval at which waitForConvergence compares the views.
const convergenceInterval = 100 * time.Millisecond

// waitForConvergence ends all link faults and waits until all serving sidecars have the same settled view. It returns an empty string
// then, or the differing views after convergenceTimeout or when the context ends.
func (r *rehearsal) waitForConvergence(ctx context.Context, program *program) string {
	r.links.Heal()
	for end := time.Now().Add(convergenceTimeout); ; {
		agreed, views := r.compareViews(ctx, program)
		if agreed {
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

// compareViews reports whether all serving sidecars have the same settled view, and returns their views as text.
func (r *rehearsal) compareViews(ctx context.Context, program *program) (agreed bool, text string) {
	serving := 0
	for _, s := range r.firstTierSidecars() {
		if s.serving() {
			serving++
		}
	}
	var views strings.Builder
	agreed = true
	for _, s := range r.firstTierSidecars() {
		if !s.serving() {
			continue
		}
		answer, err := admin.AskPeers(ctx, "unix:"+s.adminSocket(program.dir), false)
		own := answer.Own
		agreed = agreed && err == nil && own.Confidence == peers.Settled.String() && own.Instances == serving && own.OwnsName
		fmt.Fprintf(&views, "%s: %s, number %d of %d, %d of %d in reach, %v\n",
			s.name, own.Confidence, own.Ordinal, own.Instances, own.Reachable, own.GroupSize, err)
	}
	return agreed, views.String()
}
