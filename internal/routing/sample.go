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
func (r *Router) sampleCall(call *outgoingCall, outcome mb.Outcome, connection ConnectionUse) {
	if outcome == mb.OK {
		return
	}
	r.cfg.Sampler.Note("call ended", outcomeNames[outcome], func(e *zerolog.Event) {
		e.Str("request", call.message.ID).Str("endpoint", call.endpoint).Int("attempt", call.number).Bool("begun", call.begun).Int("status", call.status)
		if connection.ID > 0 {
			e.Uint64("connection", connection.ID).Int("uses", connection.Uses).Dur("quiet_ms", connection.Quiet)
		}
	})
}

// outcomeNames are the outcomes under the names that the counters have in the log.
var outcomeNames = map[mb.Outcome]string{
	mb.OK: "ok", mb.Failed: "error", mb.Refused: "full", mb.TimedOut: "timed_out", mb.ConnectFailed: "connect_failed", mb.Reset: "reset",
	mb.Cancelled: "cancelled", mb.NotSent: "moot", mb.Doubtful: "in_doubt",
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

// sampleDoubt logs an outcome that is taken back because the answer may have been another call's, and what follows.
func (r *Router) sampleDoubt(call *outgoingCall, consequence string) {
	r.cfg.Sampler.Note("outcome in doubt", consequence, func(e *zerolog.Event) {
		e.Str("request", call.message.ID).Str("class", call.message.Class).Str("endpoint", call.endpoint).Int("attempt", call.number).
			Str("outcome", outcomeNames[call.outcome]).Int("status", call.status).Str("doubt", call.doubtReason)
	})
}
