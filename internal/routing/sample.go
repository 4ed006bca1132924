package routing

import (
	"github.com/rs/zerolog"

	mb "mulleinbeam"
)

// Lines of the log on single requests, now and then. The router's goroutine only.

// sample tells what has become of a message, and why.
func (r *Router) sample(what, reason string, h *held) {
	r.cfg.Sampler.Note(what, reason, func(e *zerolog.Event) {
		e.Str("request", h.ID).Str("class", h.Class).Int64("destination", h.Destination).Int("attempts", h.attempts).Bool("may_have_run", h.mayRun)
	})
}

// sampleRefused tells of a message that was not taken on.
func (r *Router) sampleRefused(m Message, reason string) {
	r.cfg.Sampler.Note("message refused", reason, func(e *zerolog.Event) {
		e.Str("request", m.ID).Str("class", m.Class).Int64("destination", m.Destination)
	})
}

// sampleCall tells of a call that has ended, unless it delivered.
func (r *Router) sampleCall(c *attempt, out mb.Outcome) {
	if out == mb.OK {
		return
	}
	r.cfg.Sampler.Note("call ended", outcomeNames[out], func(e *zerolog.Event) {
		e.Str("request", c.msg.ID).Str("endpoint", c.endpoint).Int("attempt", c.number).Bool("begun", c.begun)
	})
}

// outcomeNames are the outcomes as the counters name them.
var outcomeNames = map[mb.Outcome]string{
	mb.OK: "ok", mb.Failed: "error", mb.Refused: "full", mb.TimedOut: "timed_out", mb.ConnectFailed: "connect_failed", mb.Reset: "reset",
	mb.Cancelled: "cancelled", mb.NotSent: "moot",
}

// lastOutcome names how a message's latest call ended, of one that is not delivered.
func (h *held) lastOutcome() string {
	switch {
	case h.attempts == 0:
		return "untried"
	case h.last == mb.OK: // none in this life
		return "earlier life"
	}
	return outcomeNames[h.last]
}
