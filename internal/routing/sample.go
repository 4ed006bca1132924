package routing

import (
	"github.com/rs/zerolog"

	mb "mulleinbeam"
)

// Sampled log lines on single requests. The functions below run on the router's goroutine only.

// sample logs the event of a message, with the reason.
func (r *Router) sample(event, reason string, held *heldMessage) {
	r.cfg.Sampler.Note(event, reason, func(e *zerolog.Event) {
		e.Str("request", held.ID).Str("class", held.Class).Int64("destination", held.Destination).Int("attempts", held.attempts).Bool("may_have_run", held.mayHaveRun)
	})
}

// sampleRefused logs a refused message.
func (r *Router) sampleRefused(message Message, reason string) {
	r.cfg.Sampler.Note("message refused", reason, func(e *zerolog.Event) {
		e.Str("request", message.ID).Str("class", message.Class).Int64("destination", message.Destination)
	})
}

// sampleCall logs a call that ended without delivery.
func (r *Router) sampleCall(call *outgoingCall, outcome mb.Outcome) {
	if outcome == mb.OK {
		return
	}
	r.cfg.Sampler.Note("call ended", outcomeNames[outcome], func(e *zerolog.Event) {
		e.Str("request", call.message.ID).Str("endpoint", call.endpoint).Int("attempt", call.number).Bool("begun", call.begun)
	})
}

// outcomeNames are the outcomes under the names that the counters have in the log.
var outcomeNames = map[mb.Outcome]string{
	mb.OK: "ok", mb.Failed: "error", mb.Refused: "full", mb.TimedOut: "timed_out", mb.ConnectFailed: "connect_failed", mb.Reset: "reset",
	mb.Cancelled: "cancelled", mb.NotSent: "moot",
}

// lastOutcomeName names the outcome of the latest call of an undelivered message.
func (held *heldMessage) lastOutcomeName() string {
	switch {
	case held.attempts == 0:
		return "never attempted"
	case held.latestOutcome == mb.OK: // no call in this process
		return "earlier process"
	}
	return outcomeNames[held.latestOutcome]
}
