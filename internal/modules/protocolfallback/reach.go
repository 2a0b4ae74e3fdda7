// Package protocolfallback remembers by which protocol an endpoint can be reached. HTTP/3
// runs over UDP, which networks block more often than TCP, and in silence; a
// sidecar that tried it anew with each attempt would lose a handshake's patience
// each time. The package does no I/O and takes the time as an argument.
package protocolfallback

import "time"

// Settings are the pauses after HTTP/3 has failed.
type Settings struct {
	Pause   time.Duration // after the first failure; each further one in a row doubles it
	Longest time.Duration
}

// mostKept bounds what is remembered. Addresses beyond it are tried each time.
const mostKept = 20000

// word is what is known of an address that has failed.
type word struct {
	until  time.Duration // not tried before
	pause  time.Duration
	trying bool // one attempt is finding out
}

// Memory is what is known of all addresses. The zero value with its Settings is ready for use.
type Memory struct {
	Settings Settings
	failed   map[string]*word
}

// Try tells whether HTTP/3 is to be tried with an address now. After a pause one attempt finds out, while all
// others go on without; Worked or Failed has to follow it.
func (m *Memory) Try(now time.Duration, address string) bool {
	w := m.failed[address]
	if w == nil {
		return true
	}
	if now < w.until || w.trying {
		return false
	}
	w.trying = true
	return true
}

// Worked tells that a connection came about.
func (m *Memory) Worked(address string) { delete(m.failed, address) }

// Failed tells that none did. It returns how long HTTP/3 is not tried, and whether that is news: several
// attempts may have waited for the same connection.
func (m *Memory) Failed(now time.Duration, address string) (pause time.Duration, news bool) {
	w := m.failed[address]
	if w == nil {
		if m.failed == nil {
			m.failed = map[string]*word{}
		}
		if len(m.failed) >= mostKept {
			return 0, false
		}
		w = &word{}
		m.failed[address] = w
	} else if now < w.until {
		return w.until - now, false
	}
	w.pause = min(max(2*w.pause, m.Settings.Pause), m.Settings.Longest)
	w.until, w.trying = now+w.pause, false
	return w.pause, true
}

// Undecided tells that an attempt ended before it was known whether a connection would come about.
func (m *Memory) Undecided(address string) {
	if w := m.failed[address]; w != nil {
		w.trying = false
	}
}

// Forget drops what is known of an address that is listed no more.
func (m *Memory) Forget(address string) { delete(m.failed, address) }
