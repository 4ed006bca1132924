package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/replication"
	"mulleinbeam/internal/routing/wal"
)

// ---- replicas for other members, and takeovers ----

// replicationRPC serves other members' calls about replicas.
type replicationRPC struct{ n *Node }

// Append appends a batch of another member's log to its replica. What it acknowledges is on disk.
func (c replicationRPC) Append(b replication.Batch, ack *replication.Ack) error {
	n := c.n
	n.replicasMu.Lock()
	records, a := n.replicas.Append(b, time.Now().UnixNano())
	last, err := n.disk.Save(records)
	if err != nil {
		n.replicas.MarkDiverged(b.Life) // half of it may be stored: the owner sends a new snapshot, and until then this replica is still used
		if !errors.Is(err, replication.ErrFull) {
			n.cfg.Logger.Warn().Str("part", "copies").Stringer("life", b.Life).Err(err).Msg("storing a batch for a replica failed")
		}
		a = replication.Ack{Shelf: a.Shelf, Full: true}
	}
	n.replicasMu.Unlock()
	if err == nil && last > 0 {
		if err := n.disk.Commit(last); err != nil { // it is unknown which records are on disk
			return fmt.Errorf("copies: %w", err)
		}
	}
	n.mu.Lock()
	n.counters.Taken++
	n.mu.Unlock()
	*ack = a
	return nil
}

// Position returns the index up to which a replica has the log. From then on the replica accepts no further records.
func (c replicationRPC) Position(incarnation controlplane.Incarnation, lastIndex *uint64) error {
	c.n.replicasMu.Lock()
	defer c.n.replicasMu.Unlock()
	c.n.replicas.Fence(incarnation)
	if replica := c.n.replicas.Replica(incarnation); replica != nil {
		*lastIndex = replica.LastIndex
	}
	return nil
}

// FetchRequest asks for the next part of a replica: messages from number From on, and ids of ended messages after the
// first Past.
type FetchRequest struct {
	Life controlplane.Incarnation
	From uint64
	Past int
}

// FetchReply is one part of a replica.
type FetchReply struct {
	Have    uint64
	Skew    time.Duration
	Records [][]byte
	Next    FetchRequest
	More    bool
}

// Fetch returns a part of a replica. The replica accepts no further records after the first call.
func (c replicationRPC) Fetch(r FetchRequest, p *FetchReply) error {
	c.n.replicasMu.Lock()
	defer c.n.replicasMu.Unlock()
	c.n.replicas.Fence(r.Life)
	replica := c.n.replicas.Replica(r.Life)
	if replica == nil || replica.LastIndex == 0 {
		return nil
	}
	p.Have, p.Skew, p.Next = replica.LastIndex, replica.Skew, r
	size := 0
	for _, m := range replica.Content.Messages() {
		if m.Seq < r.From {
			continue
		}
		if size > maxFetchBytes {
			p.More = true
			return nil
		}
		for _, b := range wal.MessageRecords(m) {
			p.Records = append(p.Records, b)
			size += len(b)
		}
		p.Next.From = m.Seq + 1
	}
	past := replica.Content.CompletedIDs()
	slices.SortFunc(past, func(a, b wal.CompletedID) int { return compareText(a.ID, b.ID) })
	for i := r.Past; i < len(past); i++ {
		if size > maxFetchBytes {
			p.More = true
			return nil
		}
		b := wal.CompletedIDRecord(past[i])
		p.Records = append(p.Records, b)
		p.Next.Past, size = i+1, size+len(b)
	}
	return nil
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// furthestReplica asks replicas how far they have the log and returns the name of the one that has most of it, or "".
func (n *Node) furthestReplica(ctx context.Context, incarnation controlplane.Incarnation, replicas []string, s *controlplane.State) string {
	var mu sync.Mutex
	best, bestIndex := "", uint64(0)
	var wg sync.WaitGroup
	for _, name := range replicas {
		wg.Go(func() {
			var lastIndex uint64
			if name == n.cfg.Name {
				_ = replicationRPC{n}.Position(incarnation, &lastIndex)
			} else {
				call, cancel := context.WithTimeout(ctx, peerCallTimeout)
				defer cancel()
				if n.peers.At(s.Members[name].Address).Call(call, "Copies.Position", incarnation, &lastIndex) != nil {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if lastIndex > bestIndex || lastIndex == bestIndex && lastIndex > 0 && name < best {
				best, bestIndex = name, lastIndex
			}
		})
	}
	wg.Wait()
	return best
}

// startTakeovers starts the takeovers that the control plane has assigned to this incarnation.
func (n *Node) startTakeovers(ctx context.Context) {
	if !n.MayAct() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, j := range n.view.State().Jobs {
		if j.Done || j.Taker != n.current || n.takingOver[j.Life] {
			continue
		}
		n.takingOver[j.Life] = true
		incarnation, replicas, current, state := j.Life, j.Keepers, n.current, n.view.State()
		n.tasks.Go(func() error {
			began := time.Now()
			count, err := n.runTakeover(ctx, incarnation, current, replicas, state)
			line := n.cfg.Logger.Info()
			if err != nil {
				line = n.cfg.Logger.Warn().Err(err)
			}
			line.Str("part", "node").Stringer("life", incarnation).Int("messages", count).Dur("ms", time.Since(began)).Msg("takeover attempt ended")
			pause(ctx, n.cfg.ReplicaTimeout) // before another attempt, if this one failed
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.takingOver, incarnation)
			if err == nil {
				n.counters.Takeovers++
				n.counters.Messages += int64(count)
			}
			return nil
		})
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// runTakeover takes over a fenced incarnation by the steps of replication.Takeover and returns the number of its
// messages.
func (n *Node) runTakeover(ctx context.Context, incarnation, current controlplane.Incarnation, replicas []string, s *controlplane.State) (count int, err error) {
	var content replication.Content
	var position uint64
	for t := replication.NewTakeover(incarnation, current); ; {
		switch t.Step() {
		case replication.Gather:
			found := false
			if content, found = n.gatherReplicas(ctx, incarnation, replicas, s); !found {
				err = errNoReplica
			}
			t.Gathered(found)
		case replication.Stage:
			position, err = n.router.Adopt(incarnation.Name, incarnation.Number, content.Ordered(), endedIDs(content))
			t.Staged(err == nil)
		case replication.Replicate:
			err = n.awaitReplication(ctx, position)
			t.Replicated(err == nil)
		case replication.Commit:
			var done bool
			done, err = n.completeTakeover(ctx, incarnation, current)
			t.Committed(err == nil, done)
		case replication.Activate:
			if ok := n.MayAct(); ok {
				count = n.router.Activate(incarnation.Name, incarnation.Number, true)
				t.Activated(true)
			} else { // the messages belong to this incarnation: it, or the next one, resumes them
				err = errNoLease
				t.Activated(false)
			}
		case replication.Discard:
			n.router.Activate(incarnation.Name, incarnation.Number, false)
			err = errors.Join(err, errNoLease)
			t.Discarded()
		case replication.Done:
			return count, err
		}
	}
}

func endedIDs(c replication.Content) (out []wal.CompletedID) {
	for _, p := range c.Past {
		out = append(out, p)
	}
	return out
}

// awaitReplication waits until the in-sync replicas have the log up to a position, if there is any member that can be a
// replica.
func (n *Node) awaitReplication(ctx context.Context, position uint64) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		noReplica := n.owner == nil || len(n.owner.InSync()) == 0 && len(n.view.State().RankReplicas(n.cfg.Name, nil)) == 0
		n.mu.Unlock()
		if noReplica {
			return nil // no other member is left
		}
		if _, err := n.WaitReplicated(position, ""); err == nil {
			return nil
		}
		if !n.MayAct() {
			return errNoLease
		}
	}
	return ctx.Err()
}

func (n *Node) completeTakeover(ctx context.Context, incarnation, current controlplane.Incarnation) (bool, error) {
	r, err := n.propose(ctx, controlplane.Command{Kind: controlplane.CompleteTakeover, Life: incarnation, Taker: current})
	if err != nil {
		return false, err
	}
	return r.Refused == "", nil
}

// reclaim takes over the messages of an earlier incarnation of this forwarder. Its own journal has them; replicas may
// have more if the state folder is an older copy.
func (n *Node) reclaim(ctx context.Context, before, current controlplane.Incarnation, s *controlplane.State) {
	job := s.TakeoverTask(before)
	content, found := n.gatherReplicas(ctx, before, job.Keepers, s)
	if found {
		if _, err := n.router.Adopt(before.Name, before.Number, content.Ordered(), endedIDs(content)); err != nil {
			n.cfg.Logger.Warn().Str("part", "node").Err(err).Msg("merging the replicas of an earlier incarnation failed")
		}
	}
	done, err := n.completeTakeover(ctx, before, current)
	if err != nil {
		return // the next renewal tries again
	}
	_, state := n.currentState()
	if !done {
		n.router.Activate(before.Name, before.Number, false)
	}
	n.resumeRouter(before, current, state)
	if done {
		count := n.router.Activate(before.Name, before.Number, true)
		n.cfg.Logger.Info().Str("part", "node").Stringer("life", before).Int("from copies", count).Msg("resumed the messages of an earlier incarnation")
	}
}

// Past returns the ids of ended messages that this member knows: its own, and those of incarnations that it took over.
func (c replicationRPC) Past(_ bool, out *[][]byte) error {
	add := func(past []wal.CompletedID) {
		for _, p := range past {
			*out = append(*out, wal.CompletedIDRecord(p))
		}
	}
	c.n.router.EndedIDs(add, func(_ *wal.Log, rest []wal.CompletedID) { add(rest) })
	return nil
}

// fetchEndedIDs requests the ids of messages that ended in this forwarder's previous incarnation from the member that
// took it over, so that a message submitted here again is recognized. It returns false if it has to be tried again,
// because the takeover is not complete or there was no answer.
func (n *Node) fetchEndedIDs(ctx context.Context, current controlplane.Incarnation, s *controlplane.State) bool {
	var latest controlplane.Incarnation
	for _, j := range s.Jobs {
		if j.Life.Name == current.Name && j.Life.Number < current.Number && j.Life.Number > latest.Number {
			latest = j.Life
		}
	}
	holder := s.CurrentOwner(latest)
	m := s.Members[holder.Name]
	if latest.Number == 0 || holder.Name == current.Name {
		return true
	}
	if m == nil {
		return false
	}
	var records [][]byte
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if n.peers.At(m.Address).Call(call, "Copies.Past", true, &records) != nil {
		return false
	}
	c := wal.NewReplicaState()
	for _, r := range records {
		_ = c.Apply(r)
	}
	if _, err := n.router.Adopt(latest.Name, latest.Number, nil, c.CompletedIDs()); err != nil {
		n.cfg.Logger.Warn().Str("part", "node").Err(err).Msg("storing the ids of ended messages failed")
	}
	return true
}

// gatherReplicas merges the reachable replicas of an incarnation.
func (n *Node) gatherReplicas(ctx context.Context, incarnation controlplane.Incarnation, replicas []string, s *controlplane.State) (content replication.Content, found bool) {
	var mu sync.Mutex
	add := func(c replication.Content) {
		mu.Lock()
		defer mu.Unlock()
		if content, found = replication.Merge(content, c), true; found {
			return
		}
	}
	n.replicasMu.Lock()
	n.replicas.Fence(incarnation)
	if replica := n.replicas.Replica(incarnation); replica != nil && replica.LastIndex > 0 && slices.Contains(replicas, n.cfg.Name) {
		add(replication.ContentOf(replica.Content, replica.Skew))
	}
	n.replicasMu.Unlock()
	var wg sync.WaitGroup
	for _, name := range replicas {
		m := s.Members[name]
		if name == n.cfg.Name || m == nil || !m.Alive {
			continue
		}
		wg.Go(func() {
			if c, ok := n.fetchReplica(ctx, incarnation, m.Address); ok {
				add(c)
			}
		})
	}
	wg.Wait()
	return content, found
}

// fetchReplica fetches a replica from another member, part by part.
func (n *Node) fetchReplica(ctx context.Context, incarnation controlplane.Incarnation, address string) (replication.Content, bool) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c := wal.NewReplicaState()
	next := FetchRequest{Life: incarnation}
	for {
		var p FetchReply
		if err := n.peers.At(address).Call(call, "Copies.Fetch", next, &p); err != nil || p.Have == 0 {
			return replication.Content{}, false
		}
		for _, r := range p.Records {
			_ = c.Apply(r) // records of unknown kinds are kept with their message
		}
		if !p.More {
			return replication.ContentOf(c, p.Skew), true // the clocks of the two members are assumed equal, within the safety margin
		}
		next = p.Next
	}
}

// expireIDs forgets ids of ended messages after the deduplication window and compacts the replicas' disk.
func (n *Node) expireIDs(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, expireInterval)
		n.replicasMu.Lock()
		_, err := n.disk.Save(n.replicas.Expire(time.Now().Add(-n.cfg.DedupWindow)))
		n.replicasMu.Unlock()
		if err = errors.Join(err, n.disk.Compact()); err != nil {
			n.cfg.Logger.Warn().Str("part", "copies").Err(err).Msg("expiring ids or compacting the replicas' disk failed")
		}
	}
}

// ---- comparison of replicas with their owner's journal ----

// CheckRequest asks a replica to compare itself with its owner's journal at an index.
type CheckRequest struct {
	Life   controlplane.Incarnation
	Index  uint64
	Ranges [replication.RangeCount]uint64
}

// CheckReply is the result of a comparison.
type CheckReply struct {
	Compared bool // the replica was exactly at that index
	Differ   int  // number of ranges that differ
}

// Check compares a replica with its owner's journal. A replica that differs is replaced by the owner's next snapshot.
func (c replicationRPC) Check(r CheckRequest, a *CheckReply) error {
	c.n.replicasMu.Lock()
	defer c.n.replicasMu.Unlock()
	replica := c.n.replicas.Replica(r.Life)
	if replica == nil || replica.LastIndex != r.Index {
		return nil
	}
	a.Compared = true
	for i, d := range replication.Ranges(replica.Content.Messages()) {
		if d != r.Ranges[i] {
			a.Differ++
		}
	}
	if a.Differ > 0 {
		c.n.replicas.MarkDiverged(r.Life)
	}
	return nil
}

// compareReplicas periodically asks the in-sync replicas to compare themselves with this journal.
func (n *Node) compareReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, n.cfg.CheckInterval)
		if !n.MayAct() {
			continue
		}
		var req CheckRequest
		n.router.Inspect(func(log *wal.Log) {
			req.Ranges = replication.Ranges(log.Live())
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.owner != nil {
				req.Life, req.Index = n.owner.Incarnation(), n.owner.LastIndex()
			}
		})
		n.mu.Lock()
		to := map[string]string{}
		if n.owner != nil && req.Index > 0 {
			for _, name := range n.owner.InSync() {
				if m := n.view.State().Members[name]; m != nil {
					to[name] = m.Address
				}
			}
		}
		n.mu.Unlock()
		for name, address := range to {
			var a CheckReply
			call, cancel := context.WithTimeout(ctx, peerCallTimeout)
			err := n.peers.At(address).Call(call, "Copies.Check", req, &a)
			cancel()
			if err != nil || a.Differ == 0 {
				continue
			}
			n.mu.Lock()
			n.counters.Differed++
			if n.owner != nil {
				n.owner.HandleNoAck(name) // its next acknowledgement says that it has nothing, so it gets a snapshot
			}
			n.mu.Unlock()
			n.cfg.Logger.Warn().Str("part", "copies").Str("keeper", name).Stringer("life", req.Life).Int("ranges", a.Differ).
				Msg("replica differs from this journal; sending a new snapshot")
			n.signal()
		}
	}
}
