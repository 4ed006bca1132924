//go:build linux

package main

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// record collects what clients, endpoints and the platform observed of the messages of a run.
type record struct {
	mu       sync.Mutex
	messages map[string]*messageRecord
	kills    []time.Time
	stops    []processStop
}

// processStop is an end of the program: from SIGKILL until it was gone, or the moment in which it ended in order.
type processStop struct{ from, to time.Time }

// messageRecord contains the observations of one message.
type messageRecord struct {
	lab.Handover
	handedAt   time.Time
	answeredAt time.Time
	answer     lab.Answer
	calls      []recordedCall
	reports    []recordedReport
	overAt     time.Time // when an endpoint answered that the message is over or has had all its attempts; zero if none did
	overStatus int       // the status of that answer
}

type recordedCall struct {
	at                time.Time
	mayRun, delivered bool
}

type recordedReport struct {
	at      time.Time
	outcome string
}

func newRecord() *record { return &record{messages: map[string]*messageRecord{}} }

func (r *record) message(id string) *messageRecord {
	m := r.messages[id]
	if m == nil {
		m = &messageRecord{}
		r.messages[id] = m
	}
	return m
}

func (r *record) submitting(h lab.Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.message(h.ID)
	m.Handover, m.handedAt = h, time.Now()
}

func (r *record) answered(id string, a lab.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.message(id)
	m.answer, m.answeredAt = a, time.Now()
}

func (r *record) called(id string, mayRun, delivered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.message(id)
	m.calls = append(m.calls, recordedCall{time.Now(), mayRun, delivered})
}

func (r *record) reported(n lab.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.message(n.Message)
	m.reports = append(m.reports, recordedReport{time.Now(), n.Outcome})
}

func (r *record) killed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills = append(r.kills, time.Now())
}

// stopped records an end of the program that began at a time and is complete now.
func (r *record) stopped(from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, processStop{from, time.Now()})
}

// answeredOver records that an endpoint answers now that it serves a message no more.
func (r *record) answeredOver(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.message(id); m.overAt.IsZero() {
		m.overAt, m.overStatus = time.Now(), status
	}
}

func (m *messageRecord) accepted() bool { return m.answer.Status == 202 || m.answer.Status == 200 }

func (m *messageRecord) delivered() bool {
	return slices.ContainsFunc(m.calls, func(c recordedCall) bool { return c.delivered })
}

// acceptedCount returns the number of accepted messages, and the largest delay between the deadline and the end of a
// message.
func (r *record) acceptedCount() (n int, latest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.messages {
		if !m.accepted() {
			continue
		}
		n++
		if end := m.end(); !end.IsZero() {
			latest = max(latest, end.Sub(m.handedAt.Add(m.Left)))
		}
	}
	return n, latest.Round(time.Millisecond)
}

// end returns the time at which the message first ended; zero if it did not.
func (m *messageRecord) end() (first time.Time) {
	at := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	for _, c := range m.calls {
		if c.delivered {
			at(c.at)
		}
	}
	for _, reported := range m.reports {
		at(reported.at)
	}
	return first
}

// unfinished returns the ids of accepted messages that have not ended.
func (r *record) unfinished() (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.messages {
		if m.accepted() && !m.delivered() && m.overStatus != lab.StatusOver && len(m.reports) == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// recordingDelay bounds the time from the first byte of a call until it is recorded: a call of an abandoned message may
// be recorded after its delivery report.
const recordingDelay = 300 * time.Millisecond

// broken lists the violations of delivery rules.
func (r *record) broken() (out []string) {
	for _, id := range r.unfinished() {
		out = append(out, id+": accepted, and it never ended")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.messages {
		violation := func(format string, args ...any) {
			out = append(out, id+" ("+m.Class+"): "+fmt.Sprintf(format, args...))
		}
		effects := 0
		for _, c := range m.calls {
			if c.mayRun {
				effects++
			}
			for _, reported := range m.reports {
				if c.at.After(reported.at.Add(recordingDelay)) {
					violation("called %v after its end was reported as %s", c.at.Sub(reported.at), reported.outcome)
				}
			}
		}
		if n, first := r.callsAfterOver(m); n > 0 {
			violation("called %d times after its answer %d, first %v later", n, m.overStatus, first)
		}
		if m.Class == "unsafe" && effects > 1 {
			violation("may have run %d times", effects)
		}
		refused := m.answer.Status == 429 || m.answer.Status == 503
		if longBodyTest := m.Body.Size >= longBodySize; refused && (effects > 0 || len(m.calls) > 0 && !longBodyTest) { // a long message is answered when it has ended
			violation("refused with %d, and called", m.answer.Status)
		}
		for _, reported := range m.reports {
			if reported.outcome != m.reports[0].outcome {
				violation("reported as %s and as %s", m.reports[0].outcome, reported.outcome)
			}
			if reported.outcome == "handed_back" && m.Class == "unsafe" && effects > 0 {
				violation("returned, and it may have run")
			}
		}
		if m.answer.Status == 0 && !r.answerExcused(m) {
			violation("no complete answer: %v", m.answer.Err)
		}
	}
	slices.Sort(out)
	return out
}

// protocolSlack is the time by which the protocol page extends each limit: an answer that was written so shortly before
// the program ended need not have been read.
const protocolSlack = 50 * time.Millisecond

// callsAfterOver returns the number of calls of a message after the answer that it is over, and when the first came.
func (r *record) callsAfterOver(m *messageRecord) (n int, first time.Duration) {
	if m.overAt.IsZero() || slices.ContainsFunc(r.stops, func(stop processStop) bool {
		return m.overAt.After(stop.from.Add(-protocolSlack)) && m.overAt.Before(stop.to)
	}) {
		return 0, 0
	}
	for _, c := range m.calls {
		if !c.at.After(m.overAt) {
			continue
		}
		if n++; n == 1 {
			first = c.at.Sub(m.overAt).Round(time.Millisecond)
		}
	}
	return n, first
}

// answerExcused reports whether a request may have no answer: the program was killed while it waited, or just before.
func (r *record) answerExcused(m *messageRecord) bool {
	const tolerance = 2 * time.Second
	return slices.ContainsFunc(r.kills, func(at time.Time) bool {
		return at.After(m.handedAt.Add(-tolerance)) && at.Before(m.answeredAt.Add(tolerance))
	})
}

// reportViolations fails the test with the first violations of a run, and logs what the program has logged.
func reportViolations(t *testing.T, seed uint64, broken []string, f *lab.Forwarder) {
	t.Helper()
	const most = 10
	for i, line := range broken {
		if i == most {
			t.Errorf("seed %d: and %d more", seed, len(broken)-i)
			break
		}
		t.Errorf("seed %d: %s", seed, line)
	}
	if t.Failed() {
		t.Log(f.Log())
	}
}
