package emulator

import "time"

// KeyMemory is the memory for idempotency keys that the servers of one cell share: a key that comes again within the window has no
// second effect. It holds 65,536 keys at most; beyond that the oldest are forgotten early.
type KeyMemory struct {
	Window time.Duration // how long a key is remembered

	executedAt map[string]time.Duration
	order      []keyExecution
}

// keyExecution is the first execution of a key.
type keyExecution struct {
	key string
	at  time.Duration
}

// maxKeys bounds a KeyMemory.
const maxKeys = 1 << 16

// Execute records that a request with a key runs, and reports whether that has an effect, which it has unless the key is remembered.
func (k *KeyMemory) Execute(now time.Duration, key string) (effect bool) {
	if k.executedAt == nil {
		k.executedAt = map[string]time.Duration{}
	}
	for len(k.order) > 0 && (k.order[0].at+k.Window <= now || len(k.order) >= maxKeys) {
		delete(k.executedAt, k.order[0].key)
		k.order = k.order[1:]
	}
	if _, ok := k.executedAt[key]; ok {
		return false
	}
	k.executedAt[key] = now
	k.order = append(k.order, keyExecution{key, now})
	return true
}
