package wal

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// lockDir keeps a folder for this process: a second program on it would take the first one's segments for leftovers. The
// kernel gives the lock back when the process ends, however that happens. A file system without locks is used without.
func lockDir(dir string) (*os.File, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Join(fmt.Errorf("wal: %s: another program has this journal open", dir), f.Close())
	}
	return f, nil
}
