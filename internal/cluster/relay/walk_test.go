package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinbeam/internal/cluster/controlplane"
)

// A walk of a small world: a leader, relays that stop, wake and are replaced, members, and a network that loses, doubles and reorders whatever
// travels. The state machines are the program's own. Each safeguard is taken out in turn: the walk has to find the rule that breaks then.

// safeguard is what a walk leaves out.
type safeguard int

const (
	allSafeguards    safeguard = iota
	leaseFromSending           // without it, a lease counts from the answer's coming
	leaseBySequence            // without it, any answer that grants counts for the latest renewal
	revisionsOnwards           // without it, a member takes whatever it is given
)

const (
	worldLease  = time.Second
	worldMargin = 100 * time.Millisecond
)

// worldMember is a member's side.
type worldMember struct {
	life  controlplane.Incarnation
	lease controlplane.Lease
	sent  time.Duration
	until time.Duration
	view  *controlplane.View
	at    uint64 // the revision that it goes by
}

// world is all that a walk moves.
type world struct {
	t       *rapid.T
	without safeguard
	now     time.Duration
	log     decisions
	old     decisions // a voter that is behind
	leases  controlplane.Leases
	alive   map[controlplane.Incarnation]bool
	members []*worldMember
	relays  []*Core
	tickets map[Ticket]int // whose renewal
	ticket  Ticket
	flying  []func() // messages under way
	broken  string
}

func newWorld(t *rapid.T, without safeguard) *world {
	w := &world{
		t: t, without: without, log: newDecisions(), old: newDecisions(), alive: map[controlplane.Incarnation]bool{}, tickets: map[Ticket]int{},
		leases: controlplane.Leases{Lease: worldLease, Margin: worldMargin},
	}
	w.leases.Elected(0)
	for i := range 3 {
		m := &worldMember{life: controlplane.Incarnation{Name: fmt.Sprint("m", i), Number: 1}, lease: controlplane.Lease{Length: worldLease}, view: controlplane.NewView()}
		w.members = append(w.members, m)
		w.alive[m.life] = true
		w.decide(m.life.Name, &controlplane.Member{Life: 1, Alive: true})
	}
	for range 2 {
		c := NewCore()
		req, _ := c.Batch()
		c.Answered(w.log.answer(req))
		w.relays = append(w.relays, c)
	}
	return w
}

// decide has the leader decide something; the other voter often hears of it.
func (w *world) decide(name string, m *controlplane.Member) {
	w.log.decide(w.t, name, m)
	if w.old.Revision()+1 == w.log.Revision() && rapid.Bool().Draw(w.t, "heard") {
		w.old.decide(w.t, name, m)
	}
}

func (w *world) pick(n int, what string) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

// step is one move.
func (w *world) step() {
	switch w.pick(12, "move") {
	case 0, 1:
		w.renew(w.members[w.pick(len(w.members), "member")], w.pick(len(w.relays), "relay"))
	case 2, 3:
		w.ask(w.pick(len(w.relays), "relay"))
	case 4, 5, 6, 7:
		w.deliver()
	case 8:
		w.now += rapid.SampledFrom([]time.Duration{worldMargin / 2, 2 * worldMargin, worldLease / 2, worldLease}).Draw(w.t, "time")
		w.end()
	case 9:
		i := w.pick(len(w.relays), "relay")
		if rapid.Bool().Draw(w.t, "replaced") {
			w.relays[i] = NewCore()
		} else {
			w.reply(w.relays[i].Failed())
		}
	case 10:
		m := w.members[w.pick(len(w.members), "member")]
		if w.alive[m.life] {
			w.decide(m.life.Name, &controlplane.Member{Life: 1, Alive: true, Leaving: rapid.Bool().Draw(w.t, "leaving")})
		}
	case 11:
		m := w.members[w.pick(len(w.members), "member")]
		i := w.pick(len(w.relays), "relay")
		r := w.relays[i].Read(m.view.Watch())
		w.send(func() { w.learn(m, r) })
	}
}

// send puts a message under way.
func (w *world) send(message func()) { w.flying = append(w.flying, message) }

// deliver brings any of the messages under way, loses it, or brings it and keeps it for a second time.
func (w *world) deliver() {
	if len(w.flying) == 0 {
		return
	}
	i := w.pick(len(w.flying), "message")
	message := w.flying[i]
	fate := w.pick(6, "fate")
	if fate > 0 { // 0: it comes again
		w.flying = slices.Delete(w.flying, i, i+1)
	}
	if fate != 1 { // 1: it is lost
		message()
	}
}

func (w *world) renew(m *worldMember, relay int) {
	m.sent = w.now
	req := m.lease.Renewal(w.now, m.life)
	req.Watch = m.view.Watch()
	w.ticket++
	mine := w.ticket
	w.tickets[mine] = slices.Index(w.members, m)
	w.send(func() { w.reply(w.relays[relay].Renew(mine, req)) })
}

// ask has a relay send a batch.
func (w *world) ask(relay int) {
	c := w.relays[relay]
	req, some := c.Batch()
	if !some {
		return
	}
	w.send(func() {
		answer := w.serve(req)
		w.send(func() { w.reply(c.Answered(answer)) })
	})
}

// serve is a voter's answer: the leader's, or for what is decided alone that of one that is behind.
func (w *world) serve(req controlplane.Request) controlplane.Response {
	if len(req.Batch) == 0 && rapid.Bool().Draw(w.t, "other voter") {
		if req.Watch.Cursor.RequiredRevision() > w.old.Revision() {
			return refusal()
		}
		return w.old.answer(req)
	}
	var ended []controlplane.Incarnation
	for _, life := range req.Batch {
		if booked := w.leases.Renew(w.now, life); !booked || !w.alive[life] {
			ended = append(ended, life)
		}
	}
	return w.log.answer(req, ended...)
}

func (w *world) reply(replies []Reply) {
	for _, r := range replies {
		m := w.members[w.tickets[r.Ticket]]
		w.send(func() { w.granted(m, r.Response) })
	}
}

// granted is a member's taking of an answer to a renewal.
func (w *world) granted(m *worldMember, r controlplane.Response) {
	w.learn(m, r)
	until, ok := m.lease.Granted(r)
	switch w.without {
	case leaseFromSending:
		until = w.now + worldLease
	case leaseBySequence:
		ok, until = r.Granted, m.sent+worldLease
	}
	if ok {
		m.until = max(m.until, until)
	}
}

// learn is a member's taking of what is decided.
func (w *world) learn(m *worldMember, r controlplane.Response) {
	if r.Changes == nil {
		return
	}
	if w.without == revisionsOnwards {
		if !r.Changes.More {
			w.moves(m, r.Changes.To.Revision)
		}
		return
	}
	if changed, _, err := m.view.Apply(r.Changes); err == nil && changed {
		w.moves(m, m.view.State().Version)
		w.compare(m)
	}
}

// moves has a member go by a revision, which must not be an earlier one.
func (w *world) moves(m *worldMember, revision uint64) {
	if revision < m.at {
		w.broken = fmt.Sprintf("%s went from revision %d back to %d", m.life, m.at, revision)
	}
	m.at = revision
}

// compare holds what a member knows against what was decided, where it is as far.
func (w *world) compare(m *worldMember) {
	if m.at != w.log.Revision() {
		return
	}
	all := controlplane.NewView()
	for more := true; more; {
		_, more, _ = all.Apply(controlplane.ChangesFor(w.log.Log, *all.Watch()))
	}
	if known, decided := membersOf(m.view.State()), membersOf(all.State()); known != decided {
		w.broken = fmt.Sprintf("%s knows %s as of %d, decided was %s", m.life, known, m.at, decided)
	}
}

// membersOf tells all members of a state.
func membersOf(s *controlplane.State) string {
	var out []string
	for _, name := range s.Names() {
		out = append(out, fmt.Sprint(name, " ", s.Members[name].Alive, s.Members[name].Leaving))
	}
	return strings.Join(out, ", ")
}

// end ends lives whose leases are over: none of them may still act.
func (w *world) end() {
	for _, m := range w.members {
		if !w.alive[m.life] || !w.leases.MayFence(w.now, m.life) {
			continue
		}
		w.alive[m.life] = false
		w.decide(m.life.Name, &controlplane.Member{Life: 1})
		if m.until > w.now {
			w.broken = fmt.Sprintf("%s was ended at %v, and acts until %v", m.life, w.now, m.until)
		}
	}
	for _, m := range w.members {
		if !w.alive[m.life] && m.until > w.now {
			w.broken = fmt.Sprintf("%s has ended, and acts until %v at %v", m.life, m.until, w.now)
		}
	}
}

// run walks until a rule is broken, or for so many moves.
func (w *world) run(moves int) {
	for range moves {
		if w.step(); w.broken != "" {
			return
		}
	}
}

// No member acts behind its life's end, none goes back to an earlier revision, and all that are as far as the leader know the same, whatever
// relays and the network between them do.
func TestRelaysKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, allSafeguards)
		if w.run(150); w.broken != "" {
			t.Fatal(w.broken)
		}
	})
}

// walksUntilFound is how many walks may be needed to find what a missing safeguard breaks.
const walksUntilFound = 5000

// The walk finds the rule that a missing safeguard breaks, so it would find a fault of that kind.
func TestTheWalkFindsMissingSafeguards(t *testing.T) {
	for name, without := range map[string]safeguard{
		"lease counts from the answer": leaseFromSending, "any answer counts": leaseBySequence, "revisions may go back": revisionsOnwards,
	} {
		t.Run(name, func(t *testing.T) {
			walk := rapid.Custom(func(t *rapid.T) string {
				w := newWorld(t, without)
				w.run(150)
				return w.broken
			})
			for seed := range walksUntilFound {
				if broken := walk.Example(seed); broken != "" {
					t.Logf("walk %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("no rule broken in %d walks", walksUntilFound)
		})
	}
}
