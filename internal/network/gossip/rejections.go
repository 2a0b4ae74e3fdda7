package gossip

import (
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"
)

// The reasons under which a report counts rejected messages and members. They are keys in the report; none contains text from a peer.
const (
	rejectedMalformed   = "spoilt"
	rejectedFormat      = "other format"
	rejectedApplication = "other application"
	rejectedKey         = "other key"
	rejectedMember      = "beyond peers_most"
	rejectedQuery       = "asked too often"
	rejectedNetwork     = "network"
)

// rejections counts rejected messages and members by reason. It is safe for concurrent use.
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

// copyTo copies the counts into a map of counts by reason.
func (r *rejections) copyTo(counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(counts, r.counts)
}

const (
	// warningInterval is the minimum time between two logged warnings of memberlist.
	warningInterval = 10 * time.Second
	// maxWarningBytes bounds the logged part of a warning, which may contain text from a peer.
	maxWarningBytes = 300
)

// libraryLog is the writer that receives memberlist's log. It counts errors and warnings, and logs at most one per warningInterval.
type libraryLog struct {
	rejections *rejections
	log        *slog.Logger

	mu          sync.Mutex
	lastWarning time.Time
}

// Write handles one log line. Warnings about alive messages are skipped: they result from NotifyAlive, which has counted the rejection.
func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(line)
	warning := strings.HasPrefix(text, "[ERR]") || strings.HasPrefix(text, "[WARN]")
	if !warning || strings.Contains(text, "alive message") {
		return len(line), nil
	}
	if strings.Contains(text, "crypt") {
		l.rejections.add(rejectedKey) // memberlist has no callback for a failed decryption
	} else {
		l.rejections.add(rejectedNetwork)
	}
	if l.due() {
		l.log.Warn("peers", "trouble", strings.TrimSpace(text[:min(len(text), maxWarningBytes)]))
	}
	return len(line), nil
}

// due reports whether a warning may be logged now. If it returns true, it returns false for the next warningInterval.
func (l *libraryLog) due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastWarning) < warningInterval {
		return false
	}
	l.lastWarning = time.Now()
	return true
}
