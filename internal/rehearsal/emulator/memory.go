package emulator

import "time"

// Memory is what the boxes of one cell remember of keyed requests: a key that comes again within the window has
// no second effect. It holds mostKeys at most; beyond that the oldest are forgotten early.
type Memory struct {
	Window time.Duration

	first map[string]time.Duration
	order []remembered
}

type remembered struct {
	key string
	at  time.Duration
}

// mostKeys bounds a Memory.
const mostKeys = 1 << 16

// Run notes that a request with a key runs, and tells whether that has an effect: not, if the key is remembered.
func (m *Memory) Run(now time.Duration, key string) (effect bool) {
	if m.first == nil {
		m.first = map[string]time.Duration{}
	}
	for len(m.order) > 0 && (m.order[0].at+m.Window <= now || len(m.order) >= mostKeys) {
		delete(m.first, m.order[0].key)
		m.order = m.order[1:]
	}
	if _, ok := m.first[key]; ok {
		return false
	}
	m.first[key] = now
	m.order = append(m.order, remembered{key, now})
	return true
}
