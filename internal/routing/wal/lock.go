package wal

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

// lockTimeout is how long opening a journal waits for an earlier process to release the folder.
const lockTimeout = time.Second

// lockDir locks a folder for this process: a second program in it would treat the first one's segments as leftovers.
// The kernel releases the lock when the process ends, however it ends; a process that is just exiting is waited for. On
// a file system without locks the folder is used without one.
func lockDir(dir string) (*os.File, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 20) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		busy := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if !busy || time.Now().After(deadline) {
			break
		}
	}
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Join(fmt.Errorf("wal: %s: another program has this journal open", dir), f.Close())
	}
	return f, nil
}
