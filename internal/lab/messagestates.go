package lab

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The statuses by which an endpoint ends a message that it does not serve.
const (
	StatusOver      = 410 // withdrawn, or out of time
	StatusExhausted = 504 // the message has had all its attempts
)

// MessageStates is what all endpoints of a run know of messages: which are withdrawn, out of time or have had all their
// attempts. They answer such messages without working. Its methods are safe for concurrent use.
type MessageStates struct {
	mu        sync.Mutex
	withdrawn map[string]bool
	exhausted map[string]bool
	deadlines map[string]time.Time
}

// NewMessageStates returns a MessageStates that knows no message.
func NewMessageStates() *MessageStates {
	return &MessageStates{withdrawn: map[string]bool{}, exhausted: map[string]bool{}, deadlines: map[string]time.Time{}}
}

// Withdraw records that nobody wants a message any more.
func (s *MessageStates) Withdraw(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn[id] = true
}

// Exhaust records that a message has had all its attempts.
func (s *MessageStates) Exhaust(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exhausted[id] = true
}

// Expire records when a message is out of time.
func (s *MessageStates) Expire(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlines[id] = at
}

// Status returns the status with which an endpoint answers a call of the message at once, or 0 if it serves the call.
func (s *MessageStates) Status(id string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline, limited := s.deadlines[id]
	switch {
	case s.withdrawn[id], limited && now.After(deadline):
		return StatusOver
	case s.exhausted[id]:
		return StatusExhausted
	}
	return 0
}

// AnswerFault is a way in which an endpoint writes an answer other than whole, once and on a connection that stays open.
type AnswerFault int

// The values of AnswerFault.
const (
	AnswerWhole       AnswerFault = iota
	AnswerTwice                   // twice in one write
	AnswerCut                     // the connection ends within the body
	AnswerThenClose               // the connection ends right behind the answer
	AnswerWithSurplus             // bytes that are no answer stand behind it, in the same write
)

// AnswerWithFault writes an answer with a fault, and returns whether the connection stays open; fields are additional
// header lines, each with its line end.
func (c *Call) AnswerWithFault(status int, fields string, fault AnswerFault) (keep bool) {
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields)
	switch fault {
	case AnswerTwice:
		answer = strings.Repeat(answer, 2)
	case AnswerCut:
		answer = strings.Replace(answer, "Content-Length: 0\r\n\r\n", "Content-Length: 20\r\n\r\nhalf a bo", 1)
	case AnswerWithSurplus:
		answer += "surplus\r\n"
	}
	return c.Raw(answer) == nil && fault != AnswerCut && fault != AnswerThenClose
}
