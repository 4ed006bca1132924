package node

import (
	"context"
	"errors"
	"time"

	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/replication"
	"mulleinbeam/internal/routing/wal"
)

// Lives and leases of this forwarder, and what it knows of what is decided.

// live begins a life, holds its lease, and begins another where that has ended.
func (n *Node) live(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
		if n.thawed.Load() && !n.MayAct() { // between two askings
			n.frozen()
		}
		pause.Reset(n.beat(ctx))
	}
}

// beat asks once, and says when to ask again.
func (n *Node) beat(ctx context.Context) time.Duration {
	every := n.cfg.Timing.Lease / renewals
	mine, _ := n.latest()
	if mine.Number == 0 {
		if err := n.begin(ctx); err != nil {
			return every
		}
		return 0
	}
	sent := n.now()
	end := sent + n.cfg.Timing.Lease // an answer behind that is of no use
	if until := time.Duration(n.lease.Load()); until > sent {
		end = until
	}
	ask := n.renewal.Renewal(sent, mine)
	ask.Watch, ask.Report = n.watch(), n.configReport()
	call, cancel := context.WithTimeout(ctx, max(every, end-sent))
	r, err := n.client.Do(call, ask)
	cancel()
	more := n.learn(r.Changes)
	until, granted := n.renewal.Granted(r)
	switch {
	case err != nil || r.Granted && !granted: // an answer to an earlier renewal says nothing of this one
		if n.thawed.Load() && !n.MayAct() {
			n.frozen()
		}
		return every / 2
	case !r.Granted: // that life is over
		n.frozen()
		n.mu.Lock()
		n.mine, n.owner, n.asked, n.waiters = controlplane.Incarnation{}, nil, nil, nil // marks are a life's own
		n.mu.Unlock()
		n.cfg.Logger.Warn().Str("part", "node").Stringer("life", mine).Msg("this life was ended, another begins")
		return 0
	}
	n.lease.Store(int64(until))
	if _, state := n.latest(); n.steering != nil && state.Version >= r.Version { // the plan that is known here was the one in force
		n.steering.heard(sent, state.Plan)
	}
	if !n.thawed.Load() {
		n.resume(ctx, mine)
	}
	if n.thawed.Load() && !n.knows.Load() {
		_, state := n.latest()
		n.knows.Store(n.learnPast(ctx, mine, state))
	}
	n.nudge()
	if more {
		return 0
	}
	return every
}

// resume lets the router go on with what it holds, once it is known whose that is.
func (n *Node) resume(ctx context.Context, mine controlplane.Incarnation) {
	n.mu.Lock()
	had, state := n.folder.Number, n.view.State()
	n.mu.Unlock()
	before := controlplane.Incarnation{Name: mine.Name, Number: had}
	if job := state.TakeoverTask(before); had > 0 && had != mine.Number && job != nil && !job.Done && job.Taker == mine {
		n.takeBack(ctx, before, mine, state) // asks again with the next beat if it can't
		return
	}
	n.thaw(before, mine, state)
}

// thaw tells the router which messages are its own.
func (n *Node) thaw(before, mine controlplane.Incarnation, state *controlplane.State) {
	kept := before.Number == 0 || state.CurrentOwner(before) == mine
	n.router.Continue(func(m *wal.Message) bool {
		if m.Owner != "" && state.CurrentOwner(controlplane.Incarnation{Name: m.Owner, Number: m.Life}) != mine {
			return false // it was never this forwarder's, or is not any more
		}
		return kept || m.Alone
	})
	if err := n.writeLife(life{mine.Number, n.token}); err != nil {
		n.cfg.Logger.Error().Str("part", "node").Err(err).Msg("life not written")
	}
	n.mu.Lock()
	n.folder = life{mine.Number, n.token}
	n.mu.Unlock()
	n.thawed.Store(true)
	n.nudge()
}

// frozen stops all that is done for messages of which others hold copies.
func (n *Node) frozen() {
	n.lease.Store(0)
	if n.thawed.CompareAndSwap(true, false) {
		n.mu.Lock()
		n.figures.LeasesLost++
		n.mu.Unlock()
		n.cfg.Logger.Warn().Str("part", "node").Msg("no lease: what others hold copies of is left alone")
		n.router.Suspend()
	}
}

// begin asks the council for a life.
func (n *Node) begin(ctx context.Context) error {
	n.mu.Lock()
	had := n.folder
	n.mu.Unlock()
	join := controlplane.Command{
		Kind: controlplane.Join, Life: controlplane.Incarnation{Name: n.cfg.Name, Number: had.Number}, Whole: had.Number > 0, Token: n.token,
		Past: had.Token, Address: n.cfg.Listen, Zone: n.cfg.Zone, Region: n.cfg.Region, Version: Version, Space: n.cfg.ReplicaSpace,
	}
	if err := n.catchUp(ctx, 1); err != nil { // before there is a lease to hold meanwhile
		return err
	}
	call, cancel := context.WithTimeout(ctx, askFor+n.cfg.Timing.Lease+n.cfg.Timing.Margin)
	defer cancel()
	r, err := n.client.Do(call, controlplane.Request{Command: &join, Watch: n.watch()})
	if err != nil {
		return err
	}
	if r.Refused != "" {
		n.cfg.Logger.Warn().Str("part", "node").Str("why", r.Refused).Msg("no life was given")
		return errors.New(r.Refused)
	}
	m := r.Joined
	if m == nil || m.Token != n.token {
		return errApart
	}
	n.learn(r.Changes)
	if err := n.catchUp(call, r.Version); err != nil {
		return err
	}
	n.putIntoForce() // before anything is taken on in this life
	mine := controlplane.Incarnation{Name: n.cfg.Name, Number: m.Life}
	n.mu.Lock()
	n.figures.Lives++
	n.knows.Store(false)
	n.mine, n.owner, n.asked, n.waiters = mine, replication.NewOwner(mine), nil, nil
	n.mu.Unlock()
	n.nudge()
	if n.steering != nil {
		n.steering.begins(r.Version)
	}
	n.cfg.Logger.Info().Str("part", "node").Stringer("life", mine).Bool("folder lost", m.Lost).Msg("life begins")
	return nil
}

// MayAct is asked just before a call's first byte.
func (n *Node) MayAct() bool { return time.Duration(n.lease.Load()) > n.now() && n.thawed.Load() }

// watch is what is asked for of what is decided.
func (n *Node) watch() *controlplane.Watch {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Watch()
}

// learn takes an answer about what is decided; true says that more of it is to be asked for at once. One that is not to what was last
// asked for changes nothing.
func (n *Node) learn(c *controlplane.Changes) (more bool) {
	if c == nil {
		return false
	}
	n.mu.Lock()
	was := n.view.State()
	news, more, err := n.view.Apply(c)
	if errors.Is(err, changelog.ErrMalformed) {
		n.figures.Malformed++
	}
	if !news {
		n.mu.Unlock()
		return more
	}
	s := n.view.State()
	for name, m := range s.Members { // another process stands there now
		if old := was.Members[name]; old != nil && old.Life != m.Life {
			delete(n.missed, name)
		}
	}
	changed, reconfigured := s.Council != was.Council, s.Configured != was.Configured
	if m := s.Members[n.cfg.Name]; n.owner != nil && n.asked != nil && m != nil && m.Changed != n.asked.From {
		n.owner.ProposalSettled() // that, or something else, was decided: what was asked for cannot be any more
		n.asked = nil
	}
	n.mu.Unlock()
	if reconfigured {
		n.reconfigure()
	}
	if changed {
		n.client.UpdateVoters(s.Founders)
		n.server.UpdateVoters(s.Founders, s.Council)
	}
	n.tidy(s)
	n.nudge()
	return false
}

// tidy drops copies of lives that nobody will ask for any more.
func (n *Node) tidy(s *controlplane.State) {
	n.shelfMu.Lock()
	for _, life := range n.shelf.Incarnations() {
		if j := s.TakeoverTask(life); j != nil || !s.Alive(life) && s.Members[life.Name] != nil && s.Members[life.Name].Life >= life.Number {
			n.shelf.Fence(life)
		}
	}
	gone := n.shelf.Retain(func(l controlplane.Incarnation) bool {
		m := s.Members[l.Name]
		if m == nil || l.Number > m.Life || s.Alive(l) {
			return true // nothing is known of it yet, or it goes on
		}
		j := s.TakeoverTask(l)
		return j != nil && !j.Done
	})
	if _, err := n.disk.Save(gone); err != nil {
		n.cfg.Logger.Warn().Str("part", "copies").Err(err).Msg("not dropped")
	}
	n.shelfMu.Unlock()
}

// catchUp asks until what is decided is known here as of a version.
func (n *Node) catchUp(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, learnFor)
	defer cancel()
	for {
		if _, state := n.latest(); state.Version >= version {
			return nil
		}
		r, err := n.client.Do(ctx, controlplane.Request{Watch: n.watch()})
		if err != nil {
			return err
		}
		if !n.learn(r.Changes) {
			pause(ctx, catchUpGap)
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// decide has the council decide something. Once it has, this member knows that.
func (n *Node) decide(ctx context.Context, cmd controlplane.Command) (controlplane.Response, error) {
	call, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	r, err := n.client.Do(call, controlplane.Request{Command: &cmd, Watch: n.watch()})
	if err != nil {
		return r, err
	}
	n.learn(r.Changes)
	if r.Refused == "" {
		_ = n.catchUp(call, r.Version) // it is decided; what is not heard now comes with the next renewal
	}
	return r, nil
}
