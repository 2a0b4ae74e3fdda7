package atomicfile

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Lock reserves a directory for one writer at a time, until unlock is called or the process ends. It waits until another
// writer is done. The lock is advisory (flock(2)): it binds only those who call Lock.
func Lock(dir string) (unlock func(), err error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, withoutPath(err))
	}
	for {
		err = syscall.Flock(int(d.Fd()), syscall.LOCK_EX)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: cannot be locked: %w", dir, err), d.Close())
	}
	return func() { _ = d.Close() }, nil // closing lets go of the lock, also where it returns an error
}
