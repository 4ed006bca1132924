package routing

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Operation while the journal cannot be written. The functions below run on the router's goroutine only.

const (
	// journalRetryInterval is the pause between two attempts to write pending records.
	journalRetryInterval = 10 * time.Millisecond
	// outageQuiet is the time without failures after which an outage of the journal is logged as over.
	outageQuiet = time.Second
	// longEndRecordWait bounds how long the client of a long message waits for the record of its end. Without the
	// record a restart can only end the message the same way, since no later process sends it again.
	longEndRecordWait = 2 * time.Second
)

// outage is a period with write failures, intermittent or continuous. The zero value is no outage.
type outage struct {
	began, latest time.Time // first and latest failure
	failures      int
}

// recordFailure counts a failure and reports whether it begins an outage.
func (o *outage) recordFailure(now time.Time) (first bool) {
	if o.failures++; o.failures == 1 {
		o.began = now
	}
	o.latest = now
	return o.failures == 1
}

// hasEnded reports whether no write has failed for outageQuiet.
func (o *outage) hasEnded(now time.Time) bool {
	return o.failures > 0 && now.Sub(o.latest) >= outageQuiet
}

// journalWarning starts a warning of the part journal.
func (r *Router) journalWarning() *zerolog.Event { return r.cfg.Logger.Warn().Str("part", "journal") }

// noteJournalError counts a record that could not be written and logs the first failure of an outage. A message whose
// record fails is refused and a call does not start; the ends of attempts and messages are written later.
func (r *Router) noteJournalError(id string, err error) {
	if err == nil {
		return
	}
	r.counters.WriteFailures++
	if !r.outage.recordFailure(time.Now()) {
		return
	}
	event := r.journalWarning().Err(err).Str("request", id)
	if errno := syscall.Errno(0); errors.As(err, &errno) {
		event = event.Int("errno", int(errno))
	}
	event.Msg("record not written")
}

// retryJournal writes pending records, logs the end of an outage, and sends the deferred reports that are due.
func (r *Router) retryJournal() {
	defer func() { r.lastJournalTry = time.Now() }()
	if r.cfg.Log.UnwrittenRecords() > 0 {
		if err := r.cfg.Log.Flush(); err != nil {
			r.outage.recordFailure(time.Now())
		}
	}
	now := time.Now()
	if r.outage.hasEnded(now) && r.cfg.Log.UnwrittenRecords() == 0 {
		r.cfg.Logger.Info().Str("part", "journal").Int("records", r.outage.failures).
			Stringer("lasted", r.outage.latest.Sub(r.outage.began).Round(time.Millisecond)).Msg("records are written again")
		r.outage = outage{}
	}
	for seq, p := range r.deferredReports {
		if p.sent.Load() {
			delete(r.deferredReports, seq)
		} else if !now.Before(p.deadline) {
			delete(r.deferredReports, seq)
			r.counters.ReportedUnwritten++
			r.cfg.Sampler.Note("end reported before it is journalled", "deadline", func(e *zerolog.Event) { e.Uint64("message", seq) })
			p.sendOnce()
		}
	}
}

// untilJournalRetry returns the time until retryJournal is needed.
func (r *Router) untilJournalRetry() time.Duration {
	switch {
	case r.cfg.Log.UnwrittenRecords() > 0 || len(r.deferredReports) > 0:
		return max(0, time.Until(r.lastJournalTry.Add(journalRetryInterval)))
	case r.outage.failures > 0:
		return max(0, outageQuiet-time.Since(r.outage.latest))
	}
	return time.Hour
}

// deferredReport reports the end of a message once its records are written, so that no later process continues the
// message after its reported end.
type deferredReport struct {
	deadline       time.Time // sent then, even without records
	withoutRecords bool      // also sent if the process ends before the records are written
	send           func()
	sent           atomic.Bool
}

// sendOnce sends the report unless it has been sent.
func (p *deferredReport) sendOnce() {
	if p.sent.CompareAndSwap(false, true) {
		p.send()
	}
}

// reportAfterRecords calls send once a message's records are written, at the latest at the deadline, after which no
// later process would send the message again. If withoutRecords is set, send is also called when the journal can no
// longer make the records durable.
func (r *Router) reportAfterRecords(held *heldMessage, deadline time.Time, withoutRecords bool, send func()) {
	p := &deferredReport{deadline: deadline, withoutRecords: withoutRecords, send: send}
	r.cfg.Log.AfterMessageCommit(held.seq, func(err error) {
		if err == nil || withoutRecords {
			p.sendOnce()
		}
	})
	if !p.sent.Load() {
		r.deferredReports[held.seq] = p
	}
}

// sendUnrecordedReports sends, at the end of the process, the reports that do not need their records; the next process
// sends the others.
func (r *Router) sendUnrecordedReports() {
	for _, p := range r.deferredReports {
		if p.withoutRecords {
			p.sendOnce()
		}
	}
}
