package scenario

import (
	"fmt"
	"io"
	"time"
)

// WriteText writes the plan as text: a title line, the size of each tier, and all steps with their times.
func (p *Plan) WriteText(w io.Writer) error {
	text := fmt.Sprintf("%s: seed %d, %v, %d requests\n", p.DisplayName(), p.Seed, p.Length, len(p.Arrivals))
	for _, t := range p.Tiers {
		text += fmt.Sprintf("  %s: %d boxes\n", t.Name, t.Servers)
	}
	for _, s := range p.Steps {
		text += fmt.Sprintf("  %8.3f s  %s\n", s.At.Seconds(), p.Describe(s))
	}
	_, err := io.WriteString(w, text)
	return err
}

// Describe returns a short text for a step.
func (p *Plan) Describe(step Step) string {
	switch step.Kind {
	case ServerCrash:
		return p.Name(step.Server) + " ends"
	case ServerSilence:
		return p.Name(step.Server) + " goes silent"
	case ServerStart:
		return p.Name(step.Server) + " starts"
	case ServerPause:
		return fmt.Sprintf("%s stands still until %.3f s", p.Name(step.Server), step.Until.Seconds())
	case ServerSlowdown:
		return fmt.Sprintf("%s: speed divided by %v", p.Name(step.Server), step.Amount)
	case ServerFault:
		return fmt.Sprintf("%s: %s %v%%", p.Name(step.Server), step.Name, step.Amount*100)
	case DiscoveryUpdate:
		return fmt.Sprintf("discovery hears that %s is %s", p.Name(step.Server), step.State)
	case DiscoverySilence:
		return "discovery: " + map[bool]string{true: "silent", false: "back"}[step.Amount > 0]
	case SidecarSignal:
		return fmt.Sprintf("sidecar %d gets %s", step.Sidecar+1, step.Name)
	case DiscoveryWeight:
		return fmt.Sprintf("discovery hears that %s weighs %v", p.Name(step.Server), step.Amount)
	case DiscoveryRepeat:
		return "discovery: " + map[bool]string{true: "says everything twice", false: "says things once again"}[step.Amount > 0]
	case SidecarRestart:
		return fmt.Sprintf("sidecar %d comes back", step.Sidecar+1)
	case LinkFault:
		return step.describeLink()
	}
	return fmt.Sprintf("%v rude callers", step.Amount)
}

// describeLink returns a short text for a LinkFault. A negative Amount is the end of the fault.
func (s *Step) describeLink() string {
	amount, prefix := s.Amount, ""
	if amount < 0 {
		amount, prefix = -amount, "no more: "
	}
	switch s.Name {
	case linkCut:
		return fmt.Sprintf("%ssidecars %d..%d are cut off", prefix, s.Sidecar+1, s.Sidecar+int(amount))
	case linkMute:
		return fmt.Sprintf("%ssidecar %d is heard by none", prefix, s.Sidecar+1)
	case linkLate:
		return fmt.Sprintf("%smessages are late by %v", prefix, time.Duration(amount*float64(time.Second)))
	}
	return fmt.Sprintf("%smessages: %v%% %s", prefix, amount*100, s.Name)
}
