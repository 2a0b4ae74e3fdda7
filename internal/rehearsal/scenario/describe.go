package scenario

import (
	"fmt"
	"io"
	"time"
)

// WriteText writes the plan for people: what happens to whom, and when.
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

// Describe returns a step in words.
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

// describeLink returns a LinkFault in words; its Amount is below 0 when it ends.
func (s *Step) describeLink() string {
	by, over := s.Amount, ""
	if by < 0 {
		by, over = -by, "no more: "
	}
	switch s.Name {
	case linkCut:
		return fmt.Sprintf("%ssidecars %d..%d are cut off", over, s.Sidecar+1, s.Sidecar+int(by))
	case linkMute:
		return fmt.Sprintf("%ssidecar %d is heard by none", over, s.Sidecar+1)
	case linkLate:
		return fmt.Sprintf("%smessages are late by %v", over, time.Duration(by*float64(time.Second)))
	}
	return fmt.Sprintf("%smessages: %v%% %s", over, by*100, s.Name)
}
