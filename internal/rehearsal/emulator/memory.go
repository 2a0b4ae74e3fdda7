package emulator

import "time"

// KeyMemory is what the boxes of one cell remember of keyed requests: a key that comes again within the window has
// no second effect. It holds maxKeys at most; beyond that the oldest are forgotten early.
type KeyMemory struct {
	Window time.Duration

	executedAt map[string]time.Duration
	order      []keyExecution
}

type keyExecution struct {
	key string
	at  time.Duration
}

// maxKeys bounds a Memory.
const maxKeys = 1 << 16

// Execute notes that a request with a key runs, and tells whether that has an effect: not, if the key is remembered.
func (m *KeyMemory) Execute(now time.Duration, key string) (effect bool) {
	if m.executedAt == nil {
		m.executedAt = map[string]time.Duration{}
	}
	for len(m.order) > 0 && (m.order[0].at+m.Window <= now || len(m.order) >= maxKeys) {
		delete(m.executedAt, m.order[0].key)
		m.order = m.order[1:]
	}
	if _, ok := m.executedAt[key]; ok {
		return false
	}
	m.executedAt[key] = now
	m.order = append(m.order, keyExecution{key, now})
	return true
}
