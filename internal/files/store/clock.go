package store

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// Timestamp is what a machine says of the time.
type Timestamp struct {
	WallMillis   int64  // Unix time in ms, which anybody may set
	BootID       uint64 // which start of the machine it is; 0 where that is unknown
	UptimeMillis int64  // since that start in ms, which nobody can set
}

// Clock returns the present time.
type Clock func() Timestamp

// SystemClock returns the clock of this machine. It reads Linux's boot ID and uptime once; where there are none, it counts the
// uptime from the call.
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

// readUptime reads which start of the machine this is, and the milliseconds since.
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

// storeTimeAt is the time of the store at a timestamp, if it was storeTime at an earlier one. Within one run of the machine
// its uptime counts; after a restart the wall clock does, unless it was set back.
func storeTimeAt(storeTime int64, last, at Timestamp) int64 {
	if last.BootID != 0 && last.BootID == at.BootID && at.UptimeMillis >= last.UptimeMillis {
		return storeTime + at.UptimeMillis - last.UptimeMillis
	}
	return max(storeTime, at.WallMillis)
}

// storeClock is the time of a store, which never goes back, whatever the machine's clock is set to.
type storeClock struct {
	machine    Clock
	baseTime   int64 // time of the store when it was opened, in ms,
	baseUptime int64 // which was at this uptime of the machine
}

func (c *storeClock) now() int64 { return c.baseTime + c.machine().UptimeMillis - c.baseUptime }

// advanceTo makes the present time of the store the given one, if it isn't later already.
func (c *storeClock) advanceTo(storeTime int64) {
	if behind := storeTime - c.now(); behind > 0 {
		c.baseTime += behind
	}
}
