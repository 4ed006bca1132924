package routing

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// What the router does while its journal cannot be written. The router's goroutine only.

const (
	// journalRetry is the pause between two tries to write what waits.
	journalRetry = 10 * time.Millisecond
	// outageQuiet is how long nothing has failed when an outage of the journal is logged as over.
	outageQuiet = time.Second
	// longEndWait is how long the client of a long message waits for the record of its end. No later life sends one again, so that
	// nothing but the same end can follow.
	longEndWait = 2 * time.Second
)

// outage is a time in which records could not be written, now and then or all the time. The zero value is none.
type outage struct {
	began, latest time.Time // failures
	failures      int
}

// failed books a failure; first says that an outage begins with it.
func (o *outage) failed(now time.Time) (first bool) {
	if o.failures++; o.failures == 1 {
		o.began = now
	}
	o.latest = now
	return o.failures == 1
}

// over says whether an outage has ended: nothing has failed for a while.
func (o *outage) over(now time.Time) bool { return o.failures > 0 && now.Sub(o.latest) >= outageQuiet }

// trouble begins a line of the log on the journal.
func (r *Router) trouble() *zerolog.Event { return r.cfg.Logger.Warn().Str("part", "journal") }

// journal books how the writing of a message's record has gone, and logs the first failure of an outage. A message that could not be
// journalled is refused and a call not made; what ends attempts and messages is written later.
func (r *Router) journal(id string, err error) {
	if err == nil {
		return
	}
	r.counters.Unwritten++
	if !r.outage.failed(time.Now()) {
		return
	}
	line := r.trouble().Err(err).Str("request", id)
	if number := syscall.Errno(0); errors.As(err, &number) {
		line = line.Int("errno", int(number))
	}
	line.Msg("record not written")
}

// retryJournal writes what waits, and ends an outage that is over.
func (r *Router) retryJournal() {
	defer func() { r.journalTried = time.Now() }()
	if r.cfg.Log.UnwrittenRecords() > 0 {
		if err := r.cfg.Log.Flush(); err != nil {
			r.outage.failed(time.Now())
		}
	}
	now := time.Now()
	if r.outage.over(now) && r.cfg.Log.UnwrittenRecords() == 0 {
		r.cfg.Logger.Info().Str("part", "journal").Int("records", r.outage.failures).
			Stringer("lasted", r.outage.latest.Sub(r.outage.began).Round(time.Millisecond)).Msg("records are written again")
		r.outage = outage{}
	}
	for seq, p := range r.promises {
		if p.told.Load() {
			delete(r.promises, seq)
		} else if !now.Before(p.latest) {
			delete(r.promises, seq)
			r.counters.ToldUnwritten++
			r.cfg.Sampler.Note("end told before it is journalled", "deadline", func(e *zerolog.Event) { e.Uint64("message", seq) })
			p.keep()
		}
	}
}

// journalDue is how long the journal can be left alone.
func (r *Router) journalDue() time.Duration {
	switch {
	case r.cfg.Log.UnwrittenRecords() > 0 || len(r.promises) > 0:
		return max(0, time.Until(r.journalTried.Add(journalRetry)))
	case r.outage.failures > 0:
		return max(0, outageQuiet-time.Since(r.outage.latest))
	}
	return time.Hour
}

// promise is the end of a message that is not told before its records are written, so that no later life goes on with it.
type promise struct {
	latest time.Time // when it is told all the same
	anyway bool      // also with the end of this process
	tell   func()
	told   atomic.Bool
}

// keep tells the end, unless that has been done.
func (p *promise) keep() {
	if p.told.CompareAndSwap(false, true) {
		p.tell()
	}
}

// afterRecords has an end told once a message's records are written, and at the latest at a time at which a later life would not send
// the message again whatever it finds. anyway has it told as well when the journal's durability can't be had any more.
func (r *Router) afterRecords(h *held, latest time.Time, anyway bool, tell func()) {
	p := &promise{latest: latest, anyway: anyway, tell: tell}
	r.cfg.Log.AfterMessageCommit(h.seq, func(err error) {
		if err == nil || anyway {
			p.keep()
		}
	})
	if !p.told.Load() {
		r.promises[h.seq] = p
	}
}

// keepLast tells, at the end of this process, the ends that would be told without their records; the others are the next life's to tell.
func (r *Router) keepLast() {
	for _, p := range r.promises {
		if p.anyway {
			p.keep()
		}
	}
}
