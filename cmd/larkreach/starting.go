package main

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	startFor   = 20 * time.Second      // how long a step of the start is tried; the platform waits for 30 s
	startPause = 20 * time.Millisecond // between two tries
)

// passing are the errors of system calls that a busy machine or a disk in trouble gives for a while. Any other is final.
var passing = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOMEM, syscall.ENOBUFS, syscall.EBUSY, syscall.ETIMEDOUT,
}

// passes says whether an error may be gone at the next try.
func passes(err error) bool {
	number := syscall.Errno(0)
	return errors.As(err, &number) && slices.Contains(passing, number)
}

// insist tries a step of the start until it works, fails for good, or has been tried for long enough. An exit would be a crash to the
// platform, and would leave what an earlier life had taken on without anybody who owes it.
func insist[T any](logger zerolog.Logger, step string, try func() (T, error)) (T, error) {
	began := time.Now()
	for tries := 1; ; tries++ {
		result, err := try()
		switch {
		case err == nil && tries > 1:
			logger.Info().Str("part", "start").Str("step", step).Int("tries", tries).
				Stringer("after", time.Since(began).Round(time.Millisecond)).Msg("step done")
			return result, nil
		case err == nil || !passes(err) || time.Since(began) > startFor:
			return result, err
		case tries == 1:
			logger.Warn().Str("part", "start").Str("step", step).Err(err).Msg("step failed, tried again")
		}
		time.Sleep(startPause)
	}
}
