package atomicfile

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Lock locks a directory exclusively until unlock is called or the process ends. It waits, without a timeout, while another writer
// has the lock. The lock is advisory (flock(2)): it excludes only other callers of Lock. Lock fails if the directory cannot be
// opened or locked.
func Lock(dir string) (unlock func(), err error) {
	file, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, withoutPath(err))
	}
	for {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: cannot be locked: %w", dir, err), file.Close())
	}
	return func() { _ = file.Close() }, nil // closing the file releases the lock, even if Close returns an error
}
