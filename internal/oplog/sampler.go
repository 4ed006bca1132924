// Package oplog keeps the log short where the same thing happens to many requests.
package oplog

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// lineEvery is the least time between two lines of one kind and reason.
	lineEvery = 10 * time.Second
	// mostKinds bounds what is remembered; beyond it nothing new is logged.
	mostKinds = 256
)

// Sampler logs the first of what happens for a reason at once, with what it happened to, and after that one in lineEvery, with the number
// of times since the line before. Its methods may be called from any goroutine; a nil Sampler logs nothing.
type Sampler struct {
	logger zerolog.Logger
	now    func() time.Time

	mu    sync.Mutex
	kinds map[kind]*sample
}

// kind is what has happened, and why.
type kind struct{ message, reason string }

type sample struct {
	logged time.Time
	since  int // times that were not logged
}

// NewSampler writes to a logger.
func NewSampler(logger zerolog.Logger) *Sampler {
	return &Sampler{logger: logger, now: time.Now, kinds: map[kind]*sample{}}
}

// Note tells of something that has happened, and why. describe adds to the line what it happened to; it is called only for a line.
func (s *Sampler) Note(message, reason string, describe func(*zerolog.Event)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k, now := kind{message, reason}, s.now()
	last := s.kinds[k]
	switch {
	case last == nil && len(s.kinds) >= mostKinds:
		return
	case last == nil:
		last = &sample{}
		s.kinds[k] = last
	case now.Sub(last.logged) < lineEvery:
		last.since++
		return
	}
	line := s.logger.Info().Str("reason", reason).Int("times", last.since+1)
	describe(line)
	line.Msg(message)
	last.logged, last.since = now, 0
}

// Close logs what was counted and not told yet.
func (s *Sampler) Close() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, last := range s.kinds {
		if last.since > 0 {
			s.logger.Info().Str("reason", k.reason).Int("times", last.since).Msg(k.message)
			last.since = 0
		}
	}
}
