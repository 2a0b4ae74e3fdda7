package consul

import (
	"fmt"
	"log"
	"sync"
	"time"
)

const (
	// repeatInterval is the least time between two equal lines.
	repeatInterval = time.Minute
	// maxRemembered bounds the remembered lines.
	maxRemembered = 1000
)

// repeatLog is a log that drops repeated lines. It is safe for concurrent use.
type repeatLog struct {
	mu     sync.Mutex
	logged map[string]time.Time // when a line was last logged, by line
}

// logf logs a line unless the same was logged within repeatInterval.
func (r *repeatLog) logf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.logged[text]; ok && time.Since(at) < repeatInterval {
		return
	}
	if len(r.logged) >= maxRemembered {
		clear(r.logged)
	}
	r.logged[text] = time.Now()
	log.Print(text)
}

// reset forgets all lines, so that each is logged again.
func (r *repeatLog) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.logged)
}
