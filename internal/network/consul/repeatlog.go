package consul

import (
	"fmt"
	"log"
	"sync"
	"time"
)

const (
	// repeatInterval is the minimum time between two equal lines.
	repeatInterval = time.Minute
	// maxDedupLines bounds the number of remembered lines.
	maxDedupLines = 1000
)

// dedupLog is a log that drops repeated lines. It is safe for concurrent use.
type dedupLog struct {
	mu     sync.Mutex
	logged map[string]time.Time // time of the last logging of each line
}

// logf logs a line unless an equal one was logged within repeatInterval.
func (r *dedupLog) logf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.logged[text]; ok && time.Since(at) < repeatInterval {
		return
	}
	if len(r.logged) >= maxDedupLines {
		clear(r.logged)
	}
	r.logged[text] = time.Now()
	log.Print(text)
}

// reset discards the remembered lines, so that each is logged again.
func (r *dedupLog) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.logged)
}
