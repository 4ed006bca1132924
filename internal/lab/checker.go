package lab

import (
	"fmt"
	"slices"
	"sync"
)

// Checker checks the records of clients, endpoints and the agent of a run against the rules: each message has one
// outcome, a message has no second effect where its class forbids it, and no truncated body is treated as complete.
type Checker struct {
	mu       sync.Mutex
	messages map[string]*messageRecord
	order    []string
}

// messageRecord holds everything that was observed of one message.
type messageRecord struct {
	Handover
	answers         []Answer
	notices         []Notice
	arrivals        []Arrival
	responseBody    Content // the body of the endpoint's 200, if hasResponseBody is set by Carries
	hasResponseBody bool
}

// maxShortBodyBytes is the largest body of a message that is held and journalled.
const maxShortBodyBytes = 64 << 10

// NewChecker returns a checker without records.
func NewChecker() *Checker { return &Checker{messages: map[string]*messageRecord{}} }

// message returns the record of a message, and creates it if there is none.
func (c *Checker) message(id string) *messageRecord {
	s := c.messages[id]
	if s == nil {
		s = &messageRecord{}
		c.messages[id] = s
		c.order = append(c.order, id)
	}
	return s
}

// Handed records a submitted message and the answer that its client received.
func (c *Checker) Handed(h Handover, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.message(h.ID)
	s.Handover = h
	s.answers = append(s.answers, a)
}

// Carries records the body of the endpoint's 200 response to a message.
func (c *Checker) Carries(id string, body Content) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.message(id)
	s.responseBody, s.hasResponseBody = body, true
}

// Saw records the delivery reports that the agent received and the calls that the endpoints received.
func (c *Checker) Saw(notices []Notice, arrivals ...[]Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range notices {
		s := c.message(n.Message)
		s.notices = append(s.notices, n)
	}
	for _, list := range arrivals {
		for _, a := range list {
			s := c.message(a.ID)
			s.arrivals = append(s.arrivals, a)
		}
	}
}

// Broken describes the broken rules, in the order in which the messages were first recorded.
func (c *Checker) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, id := range c.order {
		s := c.messages[id]
		broken := func(format string, args ...any) { out = append(out, id+": "+fmt.Sprintf(format, args...)) }
		accepted := slices.IndexFunc(s.answers, func(a Answer) bool { return a.Status == 202 || a.Status == 200 }) >= 0
		outcomeCount := 0 // final outcomes that the client or the platform was told
		for _, a := range s.answers {
			if a.Status != 0 && a.Status != 202 {
				outcomeCount++
			}
			if a.Status == 200 && s.hasResponseBody && a.Whole && a.Digest != s.responseBody.Digest() {
				broken("the answer differs from the body that the endpoint sent: %d bytes instead of %d", a.Bytes, s.responseBody.Size)
			}
		}
		// A kill may lose the acknowledgement of a delivery report, which is then sent again with the same outcome.
		outcomes := map[string]bool{}
		for _, n := range s.notices {
			outcomes[n.Outcome] = true
		}
		if outcomeCount += len(outcomes); outcomeCount > 1 && len(s.answers) <= 1 {
			broken("%d outcomes", outcomeCount)
		}
		// A short message without an answer needs no outcome.
		if !accepted && outcomeCount == 0 && len(s.answers) > 0 && s.Body.Size > maxShortBodyBytes {
			broken("no outcome")
		}
		effects, complete := 0, 0
		for _, a := range s.arrivals {
			if !a.Refused {
				effects++
			}
			if a.Whole {
				complete++
			}
			if a.Whole && s.Class != "" && a.Digest != s.Body.Digest() {
				broken("the body that %s received differs from the one sent: %d bytes instead of %d", a.Endpoint, a.Bytes, s.Body.Size)
			}
		}
		if s.Class == "unsafe" && effects > 1 {
			broken("sent %d times although it may have run", effects)
		}
		if s.CutAfter > 0 && complete > 0 {
			broken("truncated after %d bytes but treated as complete", s.CutAfter)
		}
		for _, a := range s.answers {
			if a.Status == 202 && effects == 0 && len(s.notices) == 0 {
				broken("accepted but lost")
			}
			if a.Status == 503 && len(s.answers) == 1 && effects > 0 && s.Class == "unsafe" {
				broken("refused as never run but has run")
			}
		}
	}
	return out
}
