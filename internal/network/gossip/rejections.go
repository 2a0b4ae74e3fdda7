package gossip

import (
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"
)

// The reasons under which a report counts what was not let in. None holds a word of the peer's.
const (
	rejectedMalformed   = "spoilt"
	rejectedFormat      = "other format"
	rejectedApplication = "other application"
	rejectedKey         = "other key"
	rejectedMember      = "beyond peers_most"
	rejectedQuery       = "asked too often"
	rejectedNetwork     = "network"
)

// rejections counts what was not let in, by reason.
type rejections struct {
	mu     sync.Mutex
	counts map[string]int
}

func newRejections() *rejections { return &rejections{counts: map[string]int{}} }

func (r *rejections) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[reason]++
}

// copyTo adds the counts to those of a report.
func (r *rejections) copyTo(counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(counts, r.counts)
}

const (
	// warningInterval is the least time between two of memberlist's own warnings in the log.
	warningInterval = 10 * time.Second
	// maxWarningBytes bounds such a line: a peer may have put text into it.
	maxWarningBytes = 300
)

// libraryLog takes memberlist's own log. Its errors and warnings are counted, and at most one in a while is passed on.
type libraryLog struct {
	rejections *rejections
	log        *slog.Logger

	mu          sync.Mutex
	lastWarning time.Time
}

// Write takes one line. Warnings about a member's first message are left out: they come from NotifyAlive, which counts them.
func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(line)
	warning := strings.HasPrefix(text, "[ERR]") || strings.HasPrefix(text, "[WARN]")
	if !warning || strings.Contains(text, "alive message") {
		return len(line), nil
	}
	if strings.Contains(text, "crypt") {
		l.rejections.add(rejectedKey) // memberlist has no delegate for that
	} else {
		l.rejections.add(rejectedNetwork)
	}
	if l.due() {
		l.log.Warn("peers", "trouble", strings.TrimSpace(text[:min(len(text), maxWarningBytes)]))
	}
	return len(line), nil
}

// due tells whether a warning is passed on now.
func (l *libraryLog) due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastWarning) < warningInterval {
		return false
	}
	l.lastWarning = time.Now()
	return true
}
