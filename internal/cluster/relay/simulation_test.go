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

// A randomized simulation of a leader, relays that pause, resume and are replaced, members, and a network that loses,
// duplicates and reorders messages. It runs the state machines of the program. Another test disables one safeguard
// after the other: the simulation must then find the invariant that is violated.

// safeguard is a protection that a simulation disables.
type safeguard int

const (
	allSafeguards          safeguard = iota
	leaseFromSendTime                // if disabled, a lease counts from the arrival of the answer
	leaseMatchesSequence             // if disabled, any answer that grants a lease counts for the latest renewal
	revisionsNeverDecrease           // if disabled, a member accepts any revision
)

const (
	simLease  = time.Second
	simMargin = 100 * time.Millisecond
)

// simMember is the state of a member.
type simMember struct {
	incarnation controlplane.Incarnation
	lease       controlplane.Lease
	sentAt      time.Duration
	leaseUntil  time.Duration
	view        *controlplane.View
	revision    uint64 // the revision in use
}

// simulation is the state of a run.
type simulation struct {
	t              *rapid.T
	disabled       safeguard
	now            time.Duration
	log            voterLog
	lagging        voterLog // a voter that lags behind the leader
	leases         controlplane.Leases
	alive          map[controlplane.Incarnation]bool
	members        []*simMember
	relays         []*Core
	memberOfTicket map[Ticket]int // index of the member that sent the renewal
	lastTicket     Ticket
	inTransit      []func() // messages in the network
	violation      string
}

func newSimulation(t *rapid.T, disabled safeguard) *simulation {
	s := &simulation{
		t: t, disabled: disabled, log: newVoterLog(), lagging: newVoterLog(), alive: map[controlplane.Incarnation]bool{}, memberOfTicket: map[Ticket]int{},
		leases: controlplane.Leases{Lease: simLease, Margin: simMargin},
	}
	s.leases.Elected(0)
	for i := range 3 {
		m := &simMember{incarnation: controlplane.Incarnation{Name: fmt.Sprint("m", i), Number: 1}, lease: controlplane.Lease{Length: simLease}, view: controlplane.NewView()}
		s.members = append(s.members, m)
		s.alive[m.incarnation] = true
		s.commit(m.incarnation.Name, &controlplane.Member{Life: 1, Alive: true})
	}
	for range 2 {
		c := NewCore()
		req, _ := c.Batch()
		c.Answered(s.log.respond(req))
		s.relays = append(s.relays, c)
	}
	return s
}

// commit commits a change at the leader. The other voter may miss it, and then gets no later one.
func (s *simulation) commit(name string, m *controlplane.Member) {
	s.log.commit(s.t, name, m)
	if s.lagging.Revision()+1 == s.log.Revision() && rapid.Bool().Draw(s.t, "replicated") {
		s.lagging.commit(s.t, name, m)
	}
}

func (s *simulation) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(s.t, label) }

// step makes one random step.
func (s *simulation) step() {
	switch s.pick(12, "step") {
	case 0, 1:
		s.renew(s.members[s.pick(len(s.members), "member")], s.pick(len(s.relays), "relay"))
	case 2, 3:
		s.sendBatch(s.pick(len(s.relays), "relay"))
	case 4, 5, 6, 7:
		s.deliver()
	case 8:
		s.now += rapid.SampledFrom([]time.Duration{simMargin / 2, 2 * simMargin, simLease / 2, simLease}).Draw(s.t, "time")
		s.fence()
	case 9:
		i := s.pick(len(s.relays), "relay")
		if rapid.Bool().Draw(s.t, "replaced") {
			s.relays[i] = NewCore()
		} else {
			s.deliverReplies(s.relays[i].Failed())
		}
	case 10:
		m := s.members[s.pick(len(s.members), "member")]
		if s.alive[m.incarnation] {
			s.commit(m.incarnation.Name, &controlplane.Member{Life: 1, Alive: true, Leaving: rapid.Bool().Draw(s.t, "leaving")})
		}
	case 11:
		m := s.members[s.pick(len(s.members), "member")]
		i := s.pick(len(s.relays), "relay")
		r := s.relays[i].Read(m.view.Watch())
		s.send(func() { s.applyChanges(m, r) })
	}
}

// send puts a message into the network.
func (s *simulation) send(message func()) { s.inTransit = append(s.inTransit, message) }

// deliver delivers, loses or duplicates a random message in the network.
func (s *simulation) deliver() {
	if len(s.inTransit) == 0 {
		return
	}
	i := s.pick(len(s.inTransit), "message")
	message := s.inTransit[i]
	fate := s.pick(6, "fate")
	if fate > 0 { // 0: the message is duplicated
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
	}
	if fate != 1 { // 1: the message is lost
		message()
	}
}

func (s *simulation) renew(m *simMember, relay int) {
	m.sentAt = s.now
	req := m.lease.Renewal(s.now, m.incarnation)
	req.Watch = m.view.Watch()
	s.lastTicket++
	ticket := s.lastTicket
	s.memberOfTicket[ticket] = slices.Index(s.members, m)
	s.send(func() { s.deliverReplies(s.relays[relay].Renew(ticket, req)) })
}

// sendBatch makes a relay send a batch.
func (s *simulation) sendBatch(relay int) {
	c := s.relays[relay]
	req, ok := c.Batch()
	if !ok {
		return
	}
	s.send(func() {
		answer := s.serve(req)
		s.send(func() { s.deliverReplies(c.Answered(answer)) })
	})
}

// serve returns the answer of a voter: of the leader, or, if only changes are read, possibly of the voter that lags
// behind.
func (s *simulation) serve(req controlplane.Request) controlplane.Response {
	if len(req.Batch) == 0 && rapid.Bool().Draw(s.t, "other voter") {
		if req.Watch.Cursor.RequiredRevision() > s.lagging.Revision() {
			return noLeaderResponse()
		}
		return s.lagging.respond(req)
	}
	var fenced []controlplane.Incarnation
	for _, incarnation := range req.Batch {
		if granted := s.leases.Renew(s.now, incarnation); !granted || !s.alive[incarnation] {
			fenced = append(fenced, incarnation)
		}
	}
	return s.log.respond(req, fenced...)
}

func (s *simulation) deliverReplies(replies []Reply) {
	for _, r := range replies {
		m := s.members[s.memberOfTicket[r.Ticket]]
		s.send(func() { s.handleReply(m, r.Response) })
	}
}

// handleReply handles the reply to a member's renewal.
func (s *simulation) handleReply(m *simMember, r controlplane.Response) {
	s.applyChanges(m, r)
	until, ok := m.lease.Granted(r)
	switch s.disabled {
	case leaseFromSendTime:
		until = s.now + simLease
	case leaseMatchesSequence:
		ok, until = r.Granted, m.sentAt+simLease
	}
	if ok {
		m.leaseUntil = max(m.leaseUntil, until)
	}
}

// applyChanges gives committed changes to a member.
func (s *simulation) applyChanges(m *simMember, r controlplane.Response) {
	if r.Changes == nil {
		return
	}
	if s.disabled == revisionsNeverDecrease {
		if !r.Changes.More {
			s.setRevision(m, r.Changes.To.Revision)
		}
		return
	}
	if changed, _, err := m.view.Apply(r.Changes); err == nil && changed {
		s.setRevision(m, m.view.State().Version)
		s.compareState(m)
	}
}

// setRevision sets the revision that a member uses, which must not decrease.
func (s *simulation) setRevision(m *simMember, revision uint64) {
	if revision < m.revision {
		s.violation = fmt.Sprintf("%s went from revision %d back to %d", m.incarnation, m.revision, revision)
	}
	m.revision = revision
}

// compareState checks a member's state against the committed state if the member has reached the latest revision.
func (s *simulation) compareState(m *simMember) {
	if m.revision != s.log.Revision() {
		return
	}
	all := controlplane.NewView()
	for more := true; more; {
		_, more, _ = all.Apply(controlplane.ChangesFor(s.log.Log, *all.Watch()))
	}
	if known, committed := describeMembers(m.view.State()), describeMembers(all.State()); known != committed {
		s.violation = fmt.Sprintf("%s has %s at revision %d, want %s", m.incarnation, known, m.revision, committed)
	}
}

// describeMembers formats the members of a state.
func describeMembers(s *controlplane.State) string {
	var out []string
	for _, name := range s.Names() {
		out = append(out, fmt.Sprint(name, " ", s.Members[name].Alive, s.Members[name].Leaving))
	}
	return strings.Join(out, ", ")
}

// fence fences incarnations whose leases have expired and checks that none of them may still act.
func (s *simulation) fence() {
	for _, m := range s.members {
		if !s.alive[m.incarnation] || !s.leases.MayFence(s.now, m.incarnation) {
			continue
		}
		s.alive[m.incarnation] = false
		s.commit(m.incarnation.Name, &controlplane.Member{Life: 1})
		if m.leaseUntil > s.now {
			s.violation = fmt.Sprintf("%s was fenced at %v, but may act until %v", m.incarnation, s.now, m.leaseUntil)
		}
	}
	for _, m := range s.members {
		if !s.alive[m.incarnation] && m.leaseUntil > s.now {
			s.violation = fmt.Sprintf("%s is fenced, but may act until %v at %v", m.incarnation, m.leaseUntil, s.now)
		}
	}
}

// run makes a number of steps, or stops at the first violation.
func (s *simulation) run(steps int) {
	for range steps {
		if s.step(); s.violation != "" {
			return
		}
	}
}

// Whatever relays and the network do, no member acts after its incarnation was fenced, no member goes back to an
// earlier revision, and all members at the revision of the leader have the same state.
func TestRelaysKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, allSafeguards)
		if s.run(150); s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// maxRuns is the number of runs within which a violation must be found while a safeguard is disabled.
const maxRuns = 5000

// Checks that the simulation detects faults: with a safeguard disabled, it must find a violation.
func TestSimulationFindsDisabledSafeguards(t *testing.T) {
	for name, disabled := range map[string]safeguard{
		"lease counts from answer": leaseFromSendTime, "any answer counts": leaseMatchesSequence, "revisions may go back": revisionsNeverDecrease,
	} {
		t.Run(name, func(t *testing.T) {
			runs := rapid.Custom(func(t *rapid.T) string {
				s := newSimulation(t, disabled)
				s.run(150)
				return s.violation
			})
			for seed := range maxRuns {
				if violation := runs.Example(seed); violation != "" {
					t.Logf("run %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no violation in %d runs", maxRuns)
		})
	}
}
