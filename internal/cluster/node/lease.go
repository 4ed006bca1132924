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

// Incarnations and leases of this forwarder, and its view of the committed state.

// holdLease starts an incarnation, renews its lease, and starts another one after it was fenced, until ctx ends.
func (n *Node) holdLease(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if n.resumed.Load() && !n.MayAct() { // the lease ran out between two renewals
			n.suspend()
		}
		timer.Reset(n.renewLease(ctx))
	}
}

// renewLease renews the lease once, or joins the fleet first, and returns the time until the next renewal.
func (n *Node) renewLease(ctx context.Context) time.Duration {
	every := n.cfg.Timing.Lease / renewalsPerLease
	current, _ := n.currentState()
	if current.Number == 0 {
		if err := n.join(ctx); err != nil {
			return every
		}
		return 0
	}
	sent := n.now()
	end := sent + n.cfg.Timing.Lease // a later answer would be of no use
	if until := time.Duration(n.leaseUntil.Load()); until > sent {
		end = until
	}
	request := n.renewal.Renewal(sent, current)
	request.Watch, request.Report = n.watch(), n.configReport()
	call, cancel := context.WithTimeout(ctx, max(every, end-sent))
	r, err := n.client.Do(call, request)
	cancel()
	more := n.applyChanges(r.Changes)
	until, granted := n.renewal.Granted(r)
	switch {
	case err != nil || r.Granted && !granted: // a late answer to an earlier renewal does not extend the lease
		if n.resumed.Load() && !n.MayAct() {
			n.suspend()
		}
		return every / 2
	case !r.Granted: // the incarnation was fenced
		n.suspend()
		n.mu.Lock()
		n.current, n.owner, n.proposal, n.waiters = controlplane.Incarnation{}, nil, nil, nil // log positions belong to one incarnation
		n.mu.Unlock()
		n.cfg.Logger.Warn().Str("part", "node").Stringer("life", current).Msg("this incarnation was fenced; a new one starts")
		return 0
	}
	n.leaseUntil.Store(int64(until))
	if _, state := n.currentState(); n.steering != nil && state.Version >= r.Version { // the plan known here was in force when the request was sent
		n.steering.applyPlan(sent, state.Plan)
	}
	if !n.resumed.Load() {
		n.resume(ctx, current)
	}
	if n.resumed.Load() && !n.knowsEnded.Load() {
		_, state := n.currentState()
		n.knowsEnded.Store(n.fetchEndedIDs(ctx, current, state))
	}
	n.signal()
	if more {
		return 0
	}
	return every
}

// resume lets the router process the messages that it holds, after their ownership is known. If the control plane has
// assigned this forwarder's previous incarnation to the present one, it is taken over first.
func (n *Node) resume(ctx context.Context, current controlplane.Incarnation) {
	n.mu.Lock()
	previous, state := n.stored.Number, n.view.State()
	n.mu.Unlock()
	before := controlplane.Incarnation{Name: current.Name, Number: previous}
	if job := state.TakeoverTask(before); previous > 0 && previous != current.Number && job != nil && !job.Done && job.Taker == current {
		n.reclaim(ctx, before, current, state) // if it fails, the next renewal tries again
		return
	}
	n.resumeRouter(before, current, state)
}

// resumeRouter tells the router which messages belong to this incarnation and lets it process them.
func (n *Node) resumeRouter(before, current controlplane.Incarnation, state *controlplane.State) {
	owned := before.Number == 0 || state.CurrentOwner(before) == current
	n.router.Continue(func(m *wal.Message) bool {
		if m.Owner != "" && state.CurrentOwner(controlplane.Incarnation{Name: m.Owner, Number: m.Incarnation}) != current {
			return false // it was never this forwarder's, or no longer is
		}
		return owned || m.Unreplicated
	})
	if err := n.writeIncarnation(storedIncarnation{current.Number, n.token}); err != nil {
		n.cfg.Logger.Error().Str("part", "node").Err(err).Msg("writing the incarnation to the state folder failed")
	}
	n.mu.Lock()
	n.stored = storedIncarnation{current.Number, n.token}
	n.mu.Unlock()
	n.resumed.Store(true)
	n.signal()
}

// suspend stops the processing of messages of which others hold replicas.
func (n *Node) suspend() {
	n.leaseUntil.Store(0)
	if n.resumed.CompareAndSwap(true, false) {
		n.mu.Lock()
		n.counters.LeasesLost++
		n.mu.Unlock()
		n.cfg.Logger.Warn().Str("part", "node").Msg("lease lost: replicated messages are suspended")
		n.router.Suspend()
	}
}

// join asks the control plane for a new incarnation and starts it.
func (n *Node) join(ctx context.Context) error {
	n.mu.Lock()
	previous := n.stored
	n.mu.Unlock()
	join := controlplane.Command{
		Kind: controlplane.Join, Life: controlplane.Incarnation{Name: n.cfg.Name, Number: previous.Number}, Whole: previous.Number > 0, Token: n.token,
		Past: previous.Token, Address: n.cfg.Listen, Zone: n.cfg.Zone, Region: n.cfg.Region, Version: Version, Space: n.cfg.ReplicaSpace,
	}
	if err := n.catchUp(ctx, 1); err != nil { // done first, because the lease has to be renewed once it is held
		return err
	}
	call, cancel := context.WithTimeout(ctx, requestTimeout+n.cfg.Timing.Lease+n.cfg.Timing.Margin)
	defer cancel()
	r, err := n.client.Do(call, controlplane.Request{Command: &join, Watch: n.watch()})
	if err != nil {
		return err
	}
	if r.Refused != "" {
		n.cfg.Logger.Warn().Str("part", "node").Str("why", r.Refused).Msg("joining the fleet was refused")
		return errors.New(r.Refused)
	}
	m := r.Joined
	if m == nil || m.Token != n.token {
		return errNoLease
	}
	n.applyChanges(r.Changes)
	if err := n.catchUp(call, r.Version); err != nil {
		return err
	}
	n.applyConfiguration() // before this incarnation accepts any message
	current := controlplane.Incarnation{Name: n.cfg.Name, Number: m.Life}
	n.mu.Lock()
	n.counters.Lives++
	n.knowsEnded.Store(false)
	n.current, n.owner, n.proposal, n.waiters = current, replication.NewOwner(current), nil, nil
	n.mu.Unlock()
	n.signal()
	if n.steering != nil {
		n.steering.startIncarnation(r.Version)
	}
	n.cfg.Logger.Info().Str("part", "node").Stringer("life", current).Bool("folder lost", m.Lost).Msg("incarnation started")
	return nil
}

// MayAct reports whether this incarnation holds a valid lease and its router was resumed. The router checks it just
// before the first byte of a call.
func (n *Node) MayAct() bool { return time.Duration(n.leaseUntil.Load()) > n.now() && n.resumed.Load() }

// watch returns the part of a request that asks for changes of the committed state.
func (n *Node) watch() *controlplane.Watch {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Watch()
}

// applyChanges applies changes of the committed state to the view. More reports that further changes should be
// requested at once. A response that does not match the latest request changes nothing.
func (n *Node) applyChanges(c *controlplane.Changes) (more bool) {
	if c == nil {
		return false
	}
	n.mu.Lock()
	previous := n.view.State()
	changed, more, err := n.view.Apply(c)
	if errors.Is(err, changelog.ErrMalformed) {
		n.counters.Malformed++
	}
	if !changed {
		n.mu.Unlock()
		return more
	}
	s := n.view.State()
	for name, m := range s.Members { // a new incarnation is another process: try it at once
		if old := previous.Members[name]; old != nil && old.Life != m.Life {
			delete(n.unreachable, name)
		}
	}
	votersChanged, reconfigured := s.Council != previous.Council, s.Configured != previous.Configured
	if m := s.Members[n.cfg.Name]; n.owner != nil && n.proposal != nil && m != nil && m.Changed != n.proposal.From {
		n.owner.ProposalSettled() // this or another change was committed, so the proposal can no longer be accepted
		n.proposal = nil
	}
	n.mu.Unlock()
	if reconfigured {
		n.signalConfiguration()
	}
	if votersChanged {
		n.client.UpdateVoters(s.Founders)
		n.server.UpdateVoters(s.Founders, s.Council)
	}
	n.cleanReplicas(s)
	n.signal()
	return false
}

// cleanReplicas refuses further records for fenced incarnations and drops the replicas that no takeover will need any
// more.
func (n *Node) cleanReplicas(s *controlplane.State) {
	n.replicasMu.Lock()
	for _, incarnation := range n.replicas.Incarnations() {
		if j := s.TakeoverTask(incarnation); j != nil || !s.Alive(incarnation) && s.Members[incarnation.Name] != nil && s.Members[incarnation.Name].Life >= incarnation.Number {
			n.replicas.Fence(incarnation)
		}
	}
	gone := n.replicas.Retain(func(l controlplane.Incarnation) bool {
		m := s.Members[l.Name]
		if m == nil || l.Number > m.Life || s.Alive(l) {
			return true // not known here yet, or alive
		}
		j := s.TakeoverTask(l)
		return j != nil && !j.Done
	})
	if _, err := n.disk.Save(gone); err != nil {
		n.cfg.Logger.Warn().Str("part", "copies").Err(err).Msg("dropping replicas from the disk failed")
	}
	n.replicasMu.Unlock()
}

// catchUp requests changes until the committed state is known here up to a version.
func (n *Node) catchUp(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		if _, state := n.currentState(); state.Version >= version {
			return nil
		}
		r, err := n.client.Do(ctx, controlplane.Request{Watch: n.watch()})
		if err != nil {
			return err
		}
		if !n.applyChanges(r.Changes) {
			pause(ctx, catchUpPause)
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// propose sends a command to the control plane. If the command is accepted, the view includes its effect afterwards, as
// far as time allows.
func (n *Node) propose(ctx context.Context, cmd controlplane.Command) (controlplane.Response, error) {
	call, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := n.client.Do(call, controlplane.Request{Command: &cmd, Watch: n.watch()})
	if err != nil {
		return r, err
	}
	n.applyChanges(r.Changes)
	if r.Refused == "" {
		_ = n.catchUp(call, r.Version) // the command is committed; changes that do not arrive now come with the next renewal
	}
	return r, nil
}
