package store

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// Timestamp is a simultaneous reading of the wall clock and the uptime of a machine.
type Timestamp struct {
	WallMillis   int64  // Unix time in ms; the wall clock may be set forward or back
	BootID       uint64 // identifier of the current boot of the machine; 0 if unknown
	UptimeMillis int64  // time since the boot in ms; unlike the wall clock, it cannot be set
}

// Clock returns the current reading of the machine's clocks.
type Clock func() Timestamp

// SystemClock returns the clock of this machine. It reads the boot ID and the uptime from Linux once. If these are not available,
// the uptime starts at 0 when SystemClock is called.
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

// storeTimeAt returns the store time in ms at a timestamp, given that it was storeTime at the earlier timestamp last. The store time
// advances with the uptime within one boot of the machine. Across boots it is set to the wall clock, unless that is behind it.
func storeTimeAt(storeTime int64, last, at Timestamp) int64 {
	if last.BootID != 0 && last.BootID == at.BootID && at.UptimeMillis >= last.UptimeMillis {
		return storeTime + at.UptimeMillis - last.UptimeMillis
	}
	return max(storeTime, at.WallMillis)
}

// storeClock is the clock of a store. The store time never decreases, even if the wall clock of the machine is set back.
type storeClock struct {
	machine    Clock // clock of the machine
	baseTime   int64 // store time in ms when the uptime was baseUptime
	baseUptime int64 // uptime in ms when the store time was baseTime
}

// now returns the store time in ms.
func (c *storeClock) now() int64 { return c.baseTime + c.machine().UptimeMillis - c.baseUptime }

// advanceTo sets the store time in ms, unless it is already later.
func (c *storeClock) advanceTo(storeTime int64) {
	if behind := storeTime - c.now(); behind > 0 {
		c.baseTime += behind
	}
}
