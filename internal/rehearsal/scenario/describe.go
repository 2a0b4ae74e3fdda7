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
func (p *Plan) Describe(s Step) string {
	switch s.Kind {
	case ServerCrash:
		return p.Name(s.Server) + " ends"
	case ServerSilence:
		return p.Name(s.Server) + " goes silent"
	case ServerStart:
		return p.Name(s.Server) + " starts"
	case ServerPause:
		return fmt.Sprintf("%s stands still until %.3f s", p.Name(s.Server), s.Until.Seconds())
	case ServerSlowdown:
		return fmt.Sprintf("%s: speed divided by %v", p.Name(s.Server), s.Amount)
	case ServerFault:
		return fmt.Sprintf("%s: %s %v%%", p.Name(s.Server), s.Name, s.Amount*100)
	case DiscoveryUpdate:
		return fmt.Sprintf("discovery hears that %s is %s", p.Name(s.Server), s.State)
	case DiscoverySilence:
		return "discovery: " + map[bool]string{true: "silent", false: "back"}[s.Amount > 0]
	case SidecarSignal:
		return fmt.Sprintf("sidecar %d gets %s", s.Sidecar+1, s.Name)
	case DiscoveryWeight:
		return fmt.Sprintf("discovery hears that %s weighs %v", p.Name(s.Server), s.Amount)
	case DiscoveryRepeat:
		return "discovery: " + map[bool]string{true: "says everything twice", false: "says things once again"}[s.Amount > 0]
	case SidecarRestart:
		return fmt.Sprintf("sidecar %d comes back", s.Sidecar+1)
	case LinkFault:
		return s.describeLink()
	}
	return fmt.Sprintf("%v rude callers", s.Amount)
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
