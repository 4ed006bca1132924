package simulation

import (
	"fmt"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

// MessageOutcome is the final outcome of a message.
type MessageOutcome int

// The outcomes.
const (
	Delivered MessageOutcome = iota
	Refused
	Failed
)

// Result is the result of a run.
type Result struct {
	Scenario       string                  `json:"scenario"`
	Seed           uint64                  `json:"seed"`
	Events         int64                   `json:"events"`
	Offered        int                     `json:"offered"` // messages of clients, without repeated submissions
	Worth          Worth                   `json:"worth"`
	Classes        map[string]*ClassResult `json:"classes"`
	Calls          int                     `json:"calls"`
	ColdCalls      int                     `json:"cold_calls"`       // calls that reached a cold destination
	EarlyColdCalls int                     `json:"cold_calls_early"` // of these, within 14 s of its recovery
	OverLimit      int                     `json:"over_limit"`       // calls refused above the rate limit
	// NotSent counts calls that were cancelled when their connection was up, before their first byte.
	NotSent int `json:"held_back"`
	// CallsInRetryAfter counts calls within a retry-after that an earlier incarnation of the forwarder received.
	CallsInRetryAfter int `json:"in_told_waits"`
	// Overloads counts how often destinations went down again by overload while cold.
	Overloads int `json:"tips"`
	// InformedOverloads counts those with over two thirds of the calls from forwarders that knew of the outage.
	InformedOverloads int `json:"pushed"`
	// PeakColdLoad is the maximum number of calls at a cold destination within OverloadWindow, over the tolerated
	// number.
	PeakColdLoad float64 `json:"crowd"`
	Kills        int     `json:"kills"`
	FoldersLost  int     `json:"folders_lost"`
	TakenOver    int     `json:"taken_over"` // messages taken over by another forwarder
	// LostWithFolder counts accepted messages that were lost with a folder and had no copy.
	LostWithFolder        int             `json:"gone"`
	KillTimes             []time.Duration `json:"-"`
	RecoveryTimes         []time.Duration `json:"-"`
	Seconds               []SecondStats   `json:"seconds"`
	Violations            []string        `json:"broken"`  // violated rules, with time and event
	FirstViolationMessage mb.MessageID    `json:"message"` // the message of the first violation; 0 is none
}

// Worth is the total worth of messages, by their class and their age at delivery.
type Worth struct {
	Offered   float64 `json:"offered"`
	Delivered float64 `json:"delivered"`
	AfterKill float64 `json:"after_kill"` // delivered within AfterKillWindow of the first kill
}

// ClassResult counts the messages of one class by outcome.
type ClassResult struct {
	Offered, Delivered, InTime, Refused, Failed, Lost int
}

// RecordDelivery counts a delivery at an age and returns its worth; after says that it is within AfterKillWindow.
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

// AfterKillWindow is the time from the first kill in which deliveries count for Worth.AfterKill.
const AfterKillWindow = 20 * time.Second

// SecondStats holds the figures of one second of the run.
type SecondStats struct {
	Offered   int     `json:"offered"`
	Delivered int     `json:"delivered"`
	Worth     float64 `json:"worth"`
	Calls     int     `json:"calls"`
	Held      int     `json:"held"`
}

func (sim *Simulation) currentSecond() *SecondStats {
	n := int(sim.now / time.Second)
	for len(sim.result.Seconds) <= n {
		held := 0
		for _, fwd := range sim.forwarders {
			held += len(fwd.held)
		}
		sim.result.Seconds = append(sim.result.Seconds, SecondStats{Held: held})
	}
	return &sim.result.Seconds[n]
}

// recordDelivery counts a delivery.
func (sim *Simulation) recordDelivery(m *message) {
	r := m.request
	if r.delivered { // by an earlier submission whose answer was lost; worth nothing more
		return
	}
	r.delivered = true
	after := len(sim.result.KillTimes) > 0 && sim.now < sim.result.KillTimes[0]+AfterKillWindow
	worth := sim.result.RecordDelivery(r.class, sim.now-r.createdAt, after)
	s := sim.currentSecond()
	s.Delivered++
	s.Worth += worth
}

// checker checks the rules during a run.
type checker struct {
	sim   *Simulation
	open  int // accepted messages that have not ended
	total int
}

const maxViolations = 20

// violation records a violated rule; m is the message concerned, or nil.
func (c *checker) violation(m *message, format string, args ...any) {
	if m != nil && len(c.sim.result.Violations) == 0 {
		c.sim.result.FirstViolationMessage = m.id
	}
	if len(c.sim.result.Violations) < maxViolations {
		c.sim.result.Violations = append(c.sim.result.Violations, fmt.Sprintf("%v, event %d: ", c.sim.now, c.sim.events)+fmt.Sprintf(format, args...))
	}
}

func (c *checker) accepted(m *message) {
	c.open++
	c.total++
	c.sim.trace(m, "accepted by forwarder %d, class %s, for destination %d", m.request.forwarder.name, m.request.class.Name, m.request.destination.id)
	c.sim.currentSecond().Offered++
}

// ended checks that a message ends only once and, unless it is delivered, at most 50 ms after its deadline.
func (c *checker) ended(m *message, outcome MessageOutcome) {
	c.sim.trace(m, "ends: %s", [...]string{"delivered", "refused", "failed"}[outcome])
	if m.ended {
		c.violation(m, "message %d ended twice", m.id)
	}
	due := max(m.deadline, m.request.forwarder.startedAt, m.takenOverAt) // a message cannot end while its forwarder is down
	if c.open--; outcome != Delivered && c.sim.now > due+50*time.Millisecond {
		c.violation(m, "message %d ended %v after its deadline", m.id, c.sim.now-due)
	}
}

// lost counts a message that was lost with the only folder that held it. This violates the rule that accepted messages
// are kept; it is counted separately because it cannot be prevented without copies.
func (c *checker) lost(m *message) {
	c.sim.trace(m, "lost with its forwarder's folder")
	c.open--
	m.ended = true
	c.sim.result.LostWithFolder++
	c.sim.result.Classes[m.request.class.Name].Lost++
}

// sent checks, when a call is sent, the slots and that the endpoint is serving.
func (c *checker) sent(fwd *forwarder, k *call) {
	sim := c.sim
	sim.trace(k.message, "attempt %d goes to %s", k.number, k.endpoint.name)
	sim.result.Calls++
	sim.currentSecond().Calls++
	switch {
	case fwd.callsOut > sim.scenario.Fleet.Slots:
		c.violation(k.message, "forwarder %d has %d calls out with %d slots", fwd.name, fwd.callsOut, sim.scenario.Fleet.Slots)
	case fwd.readiness[k.endpoint.name] != mb.Serving:
		c.violation(k.message, "forwarder %d calls endpoint %s, which is not serving", fwd.name, k.endpoint.name)
	}
}

// started checks, at a call's first byte, that it violates no retry-after and does not repeat a call that may have run.
func (c *checker) started(fwd *forwarder, k *call) {
	sim, class := c.sim, k.message.request.class
	switch {
	case k.message.mayHaveRun && class.Effect == "unsafe":
		c.violation(k.message, "message %d may have run and is sent again", k.message.id)
	case k.message.mayHaveRun && class.Effect == "keyed" && sim.now > k.message.ranAt+class.KeyTTL.D():
		c.violation(k.message, "message %d is repeated after its key expired", k.message.id)
	}
	if received := fwd.retryAfters[k.destination.id]; sim.now < received.until {
		if received.incarnation == fwd.incarnation {
			c.violation(k.message, "forwarder %d calls destination %d within a retry-after", fwd.name, k.destination.id)
		} else {
			sim.result.CallsInRetryAfter++
		}
	}
}

// executed checks that an unsafe message takes effect only once.
func (c *checker) executed(m *message) {
	c.sim.trace(m, "takes effect")
	if m.effects++; m.effects > 1 && m.request.class.Effect == "unsafe" {
		c.violation(m, "message %d took effect twice", m.id)
	}
}

// end checks that all accepted messages have ended.
func (c *checker) end() {
	if c.open > 0 {
		c.violation(nil, "%d messages have not ended", c.open)
	}
}
