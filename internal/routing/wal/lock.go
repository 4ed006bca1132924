package wal

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

// lockFor is how long a start waits for an earlier process of the same folder to be gone.
const lockFor = time.Second

// lockDir keeps a folder for this process: a second program on it would take the first one's segments for leftovers. The
// kernel gives the lock back when the process ends, however that happens; one that is just ending is waited for. A file system
// without locks is used without.
func lockDir(dir string) (*os.File, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	for until := time.Now().Add(lockFor); ; time.Sleep(lockFor / 20) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		waits := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if !waits || time.Now().After(until) {
			break
		}
	}
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Join(fmt.Errorf("wal: %s: another program has this journal open", dir), f.Close())
	}
	return f, nil
}
