package store

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// Timestamp is a reading of the clocks of a machine.
type Timestamp struct {
	WallMillis   int64  // Unix time in ms, which may be set forward or back
	BootID       uint64 // identifies the boot of the machine; 0 if unknown
	UptimeMillis int64  // time since the boot in ms, which cannot be set
}

// Clock returns the current time.
type Clock func() Timestamp

// SystemClock returns the clock of this machine. It reads the boot ID and the uptime of Linux once. If they are not available, the
// uptime counts from the call of SystemClock.
func SystemClock() Clock {
	bootID, uptime, ok := readUptime()
	if !ok {
		bootID = 0
	}
	start := time.Now()
	return func() Timestamp {
		return Timestamp{
			WallMillis:   time.Now().UnixMilli(),
			BootID:       bootID,
			UptimeMillis: uptime + time.Since(start).Milliseconds(),
		}
	}
}

// readUptime reads the boot ID and the uptime of the machine. ok is false if they are not available.
func readUptime() (bootID uint64, uptimeMillis int64, ok bool) {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return 0, 0, false
	}
	digits := strings.ReplaceAll(string(text), "-", "")
	bootID, err = strconv.ParseUint(digits[:min(16, len(digits))], 16, 64)
	if err != nil || bootID == 0 {
		return 0, 0, false
	}
	if text, err = os.ReadFile("/proc/uptime"); err != nil {
		return 0, 0, false
	}
	first, _, _ := strings.Cut(string(text), " ")
	seconds, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0, 0, false
	}
	return bootID, int64(seconds * 1000), true
}

// storeTimeAt returns the store time at a timestamp, given that it was storeTime at the earlier timestamp last. It advances with the
// uptime within one boot of the machine, and with the wall clock across boots, unless that was set back.
func storeTimeAt(storeTime int64, last, at Timestamp) int64 {
	if last.BootID != 0 && last.BootID == at.BootID && at.UptimeMillis >= last.UptimeMillis {
		return storeTime + at.UptimeMillis - last.UptimeMillis
	}
	return max(storeTime, at.WallMillis)
}

// storeClock is the clock of a store. It never goes back, whatever the clock of the machine is set to.
type storeClock struct {
	machine    Clock
	baseTime   int64 // store time in ms when the uptime was baseUptime
	baseUptime int64 // in ms
}

// now returns the store time in ms.
func (c *storeClock) now() int64 { return c.baseTime + c.machine().UptimeMillis - c.baseUptime }

// advanceTo sets the store time to the given one, unless it is later already.
func (c *storeClock) advanceTo(storeTime int64) {
	if behind := storeTime - c.now(); behind > 0 {
		c.baseTime += behind
	}
}
