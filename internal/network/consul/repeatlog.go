package consul

import (
	"fmt"
	"log"
	"sync"
	"time"
)

const (
	// repeatInterval is how long the same line is not logged again.
	repeatInterval = time.Minute
	// maxRemembered bounds the lines that are remembered for that.
	maxRemembered = 1000
)

// repeatLog leaves out lines that were logged a short time ago. It is safe for concurrent use.
type repeatLog struct {
	mu     sync.Mutex
	logged map[string]time.Time // by the line
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

// reset has everything logged again, though it was logged before.
func (r *repeatLog) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.logged)
}
