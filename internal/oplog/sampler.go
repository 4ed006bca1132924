// Package oplog samples log lines about events that occur for many requests.
package oplog

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// logInterval is the minimum time between two lines with the same message and reason.
	logInterval = 10 * time.Second
	// maxKinds bounds the pairs of message and reason; further ones are not logged.
	maxKinds = 256
)

// Sampler logs the first event of each message and reason at once and then at most one per logInterval, with the number
// of events since the previous line. It is safe for concurrent use; a nil Sampler logs nothing.
type Sampler struct {
	logger zerolog.Logger
	now    func() time.Time

	mu    sync.Mutex
	kinds map[eventKind]*sample
}

// eventKind identifies the events that are sampled together.
type eventKind struct{ message, reason string }

type sample struct {
	logged     time.Time
	suppressed int // events not logged since then
}

// NewSampler returns a Sampler that writes to logger.
func NewSampler(logger zerolog.Logger) *Sampler {
	return &Sampler{logger: logger, now: time.Now, kinds: map[eventKind]*sample{}}
}

// Note records an event and its reason. describe adds fields to the log line; it is called only if a line is logged.
func (s *Sampler) Note(message, reason string, describe func(*zerolog.Event)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k, now := eventKind{message, reason}, s.now()
	previous := s.kinds[k]
	switch {
	case previous == nil && len(s.kinds) >= maxKinds:
		return
	case previous == nil:
		previous = &sample{}
		s.kinds[k] = previous
	case now.Sub(previous.logged) < logInterval:
		previous.suppressed++
		return
	}
	line := s.logger.Info().Str("reason", reason).Int("times", previous.suppressed+1)
	describe(line)
	line.Msg(message)
	previous.logged, previous.suppressed = now, 0
}

// Close logs the counts of events that were not logged yet.
func (s *Sampler) Close() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, previous := range s.kinds {
		if previous.suppressed > 0 {
			s.logger.Info().Str("reason", k.reason).Int("times", previous.suppressed).Msg(k.message)
			previous.suppressed = 0
		}
	}
}
