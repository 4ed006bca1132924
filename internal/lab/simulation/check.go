package simulation

import (
	"fmt"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

// MessageOutcome is how a message ended.
type MessageOutcome int

// The endings.
const (
	Delivered MessageOutcome = iota
	Refused
	Failed
)

// Result is what a run showed.
type Result struct {
	Scenario              string                  `json:"scenario"`
	Seed                  uint64                  `json:"seed"`
	Events                int64                   `json:"events"`
	Offered               int                     `json:"offered"` // wishes of clients
	Worth                 Worth                   `json:"worth"`
	Classes               map[string]*ClassResult `json:"classes"`
	Calls                 int                     `json:"calls"`
	ColdCalls             int                     `json:"cold_calls"`       // that reached a partner which was still cold
	EarlyColdCalls        int                     `json:"cold_calls_early"` // of these, in the first 14 s
	OverLimit             int                     `json:"over_limit"`       // calls that were refused
	NotSent               int                     `json:"held_back"`        // calls that did not begin when their connection was up
	CallsInRetryAfter     int                     `json:"in_told_waits"`    // calls of a forwarder to a partner that had told it to wait, before its life began
	Overloads             int                     `json:"tips"`             // partners that fell over again
	InformedOverloads     int                     `json:"pushed"`           // of these, those pushed by forwarders that had seen the outage: over two thirds of the calls
	PeakColdLoad          float64                 `json:"crowd"`            // calls that reached a cold partner, over what it bears, in the fullest span
	Kills                 int                     `json:"kills"`
	FoldersLost           int                     `json:"folders_lost"`
	TakenOver             int                     `json:"taken_over"` // messages that another forwarder went on with
	LostWithFolder        int                     `json:"gone"`       // messages that were taken, and lost with a folder of which there was no copy
	KillTimes             []time.Duration         `json:"-"`
	RecoveryTimes         []time.Duration         `json:"-"`
	Seconds               []SecondStats           `json:"seconds"`
	Violations            []string                `json:"broken"`  // rules, with the moment
	FirstViolationMessage mb.MessageID            `json:"message"` // at which the first of them broke; 0 is none
}

// Worth is of messages, by their class and their age.
type Worth struct {
	Offered   float64 `json:"offered"`
	Delivered float64 `json:"delivered"`
	AfterKill float64 `json:"after_kill"` // delivered within 20 s of the first kill
}

// ClassResult is one class's.
type ClassResult struct {
	Offered, Delivered, InTime, Refused, Failed, Lost int
}

// RecordDelivery books a delivery at an age, and gives its worth; after says that it came soon after the first kill.
func (r *Result) RecordDelivery(class *scenario.Class, age time.Duration, after bool) float64 {
	c := r.Classes[class.Name]
	c.Delivered++
	worth, inTime := class.WorthAt(age)
	if inTime {
		c.InTime++
	}
	r.Worth.Delivered += worth
	if after {
		r.Worth.AfterKill += worth
	}
	return worth
}

// AfterKillWindow is how long after the first kill what is delivered counts as after it.
const AfterKillWindow = 20 * time.Second

// SecondStats is one of the run.
type SecondStats struct {
	Offered   int     `json:"offered"`
	Delivered int     `json:"delivered"`
	Worth     float64 `json:"worth"`
	Calls     int     `json:"calls"`
	Held      int     `json:"held"`
}

func (w *Simulation) second() *SecondStats {
	n := int(w.now / time.Second)
	for len(w.result.Seconds) <= n {
		held := 0
		for _, h := range w.hosts {
			held += len(h.held)
		}
		w.result.Seconds = append(w.result.Seconds, SecondStats{Held: held})
	}
	return &w.result.Seconds[n]
}

// deliver books a delivery.
func (w *Simulation) deliver(m *message) {
	x := m.wish
	if x.delivered { // by an earlier handing in whose answer was lost: worth nothing more
		return
	}
	x.delivered = true
	after := len(w.result.KillTimes) > 0 && w.now < w.result.KillTimes[0]+AfterKillWindow
	worth := w.result.RecordDelivery(x.class, w.now-x.at, after)
	s := w.second()
	s.Delivered++
	s.Worth += worth
}

// checker holds a run against the rules, as it goes.
type checker struct {
	w     *Simulation
	open  int // messages taken and not ended
	total int
}

const mostBroken = 20

// broken books a rule that broke, at a message or at none.
func (c *checker) broken(m *message, format string, args ...any) {
	if m != nil && len(c.w.result.Violations) == 0 {
		c.w.result.FirstViolationMessage = m.id
	}
	if len(c.w.result.Violations) < mostBroken {
		c.w.result.Violations = append(c.w.result.Violations, fmt.Sprintf("%v, event %d: ", c.w.now, c.w.events)+fmt.Sprintf(format, args...))
	}
}

func (c *checker) taken(m *message) {
	c.open++
	c.total++
	c.w.trace(m, "taken by forwarder %d, class %s, for partner %d", m.wish.host.name, m.wish.class.Name, m.wish.partner.id)
	c.w.second().Offered++
}

// ended: one end, before the deadline.
func (c *checker) ended(m *message, how MessageOutcome) {
	c.w.trace(m, "ends: %s", [...]string{"delivered", "refused", "failed"}[how])
	if m.ended {
		c.broken(m, "message %d has a second end", m.id)
	}
	due := max(m.deadline, m.wish.host.startAt, m.since) // nobody can end it while its forwarder is dead
	if c.open--; how != Delivered && c.w.now > due+50*time.Millisecond {
		c.broken(m, "message %d ends %v behind its deadline", m.id, c.w.now-due)
	}
}

// gone: with a folder that was the only copy. It breaks the users' rule, and is counted apart: without copies nothing helps.
func (c *checker) gone(m *message) {
	c.w.trace(m, "is lost with its forwarder's folder")
	c.open--
	m.ended = true
	c.w.result.LostWithFolder++
	c.w.result.Classes[m.wish.class.Name].Lost++
}

// sent: slots and drains.
func (c *checker) sent(h *host, k *call) {
	w := c.w
	w.trace(k.m, "attempt %d goes to %s", k.number, k.endpoint.name)
	w.result.Calls++
	w.second().Calls++
	switch {
	case h.out > w.s.Fleet.Slots:
		c.broken(k.m, "forwarder %d has %d calls out with %d slots", h.name, h.out, w.s.Fleet.Slots)
	case h.known[k.endpoint.name] != mb.Serving:
		c.broken(k.m, "forwarder %d calls %s, which is not serving", h.name, k.endpoint.name)
	}
}

// begun, at a call's first byte: waits, and what may have run.
func (c *checker) begun(h *host, k *call) {
	w, class := c.w, k.m.wish.class
	switch {
	case k.m.mayRun && class.Effect == "unsafe":
		c.broken(k.m, "message %d may have run and is sent again", k.m.id)
	case k.m.mayRun && class.Effect == "keyed" && w.now > k.m.ranAt+class.KeyTTL.D():
		c.broken(k.m, "message %d is repeated behind its key's time", k.m.id)
	}
	if told := h.waits[k.partner.id]; w.now < told.until {
		if told.life == h.life {
			c.broken(k.m, "forwarder %d calls partner %d within a told wait", h.name, k.partner.id)
		} else {
			w.result.CallsInRetryAfter++
		}
	}
}

// ran: no second effect.
func (c *checker) ran(m *message) {
	c.w.trace(m, "takes effect")
	if m.effects++; m.effects > 1 && m.wish.class.Effect == "unsafe" {
		c.broken(m, "message %d takes effect a second time", m.id)
	}
}

// end: nothing is left.
func (c *checker) end() {
	if c.open > 0 {
		c.broken(nil, "%d messages have no end", c.open)
	}
}
