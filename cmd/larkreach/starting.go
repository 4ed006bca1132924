package main

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	startupRetryTimeout  = 20 * time.Second // bounds the retries of a startup step; the platform allows 30 s for a start
	startupRetryInterval = 20 * time.Millisecond
)

// transientErrors are the system call errors that an overloaded machine or a failing disk may return for a while. Any
// other error is final.
var transientErrors = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOMEM, syscall.ENOBUFS, syscall.EBUSY, syscall.ETIMEDOUT,
}

// isTransient reports whether a retry may succeed after err.
func isTransient(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}

// retryTransient runs a startup step until it succeeds, fails with a final error, or startupRetryTimeout has passed.
// Exiting at once would count as a crash on the platform, and nothing would deliver the messages accepted by earlier
// processes.
func retryTransient[T any](logger zerolog.Logger, step string, attempt func() (T, error)) (T, error) {
	started := time.Now()
	for attempts := 1; ; attempts++ {
		result, err := attempt()
		switch {
		case err == nil && attempts > 1:
			logger.Info().Str("part", "start").Str("step", step).Int("tries", attempts).
				Stringer("after", time.Since(started).Round(time.Millisecond)).Msg("startup step succeeded")
			return result, nil
		case err == nil || !isTransient(err) || time.Since(started) > startupRetryTimeout:
			return result, err
		case attempts == 1:
			logger.Warn().Str("part", "start").Str("step", step).Err(err).Msg("startup step failed, retrying")
		}
		time.Sleep(startupRetryInterval)
	}
}
