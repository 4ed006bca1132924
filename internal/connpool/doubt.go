package connpool

import "time"

// Doubt says how sure it is that an answer is its call's own, and why not.
type Doubt int

// The values of Doubt. Up to Unconfirmed nothing speaks against the answer.
const (
	NoDoubt      Doubt = iota // the answer can only be its call's own
	Unconfirmed               // the connection carried another call shortly before
	EarlyAnswer               // it came sooner than the endpoint answers, and was not held back
	SecondAnswer              // another answer that says something else came with it
	CutShort                  // it is incomplete, and may be a part of another call's
)

// String returns the name of the doubt in the log.
func (d Doubt) String() string {
	return [...]string{"none", "unconfirmed", "early", "second answer", "cut short"}[d]
}

// Suspicious reports whether something speaks against the answer.
func (d Doubt) Suspicious() bool { return d > Unconfirmed }

// Certain reports whether an answer to the present call can only be its own: the connection is new, or was silent for long
// before the call.
func (c *Conn[H]) Certain() bool { return c.Uses <= 1 || c.confirmed }

// RestUntil keeps the connection from carrying another call before a time: another answer to its present call may come
// until then.
func (c *Conn[H]) RestUntil(at time.Time) { c.restUntil = at }

// Surplus records that the answer to the present call, with a status, was followed at once by another answer; its status
// is 0 if it is not known. It returns the earlier answers that may have been those of other calls: an answer is its call's
// own, or says the same as that, if all that follow it say the same. It raises no suspicion: a surplus answer that comes with
// an answer is always noticed. The connection has to be closed.
func (p *Pool[H]) Surplus(now time.Time, c *Conn[H], answered, following int) (inDoubt []Answer) {
	differs := answered != following
	for i := len(c.unconfirmed) - 1; i >= 0; i-- {
		answer := c.unconfirmed[i]
		if differs = differs || answer.Status != answered; differs && now.Sub(answer.readAt) <= p.policy.DoubtTimeout {
			inDoubt = append(inDoubt, answer)
		}
	}
	c.unconfirmed = nil
	return inDoubt
}
