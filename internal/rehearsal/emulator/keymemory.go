package emulator

import "time"

// KeyMemory is the memory of idempotency keys that the servers of one cell share: a key that is repeated within the window has no
// second effect. It holds at most 65,536 keys; above that, the oldest are evicted before their window ends.
type KeyMemory struct {
	Window time.Duration // time for which a key is remembered

	executedAt map[string]time.Duration // time of the first execution, by key
	order      []keyExecution           // executions of the remembered keys, oldest first
}

// keyExecution is the first execution of a key.
type keyExecution struct {
	key string
	at  time.Duration
}

// maxKeys is the maximum number of keys in a KeyMemory.
const maxKeys = 1 << 16

// Execute records that a request with a key runs, and reports whether it has an effect: it has none if the key is remembered.
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
