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

// ---- the keeper's side, and taking over ----

// copiesRPC is what others call for copies.
type copiesRPC struct{ n *Node }

// Append takes a batch of somebody's log. What it answers for is on the disk.
func (c copiesRPC) Append(b replication.Batch, ack *replication.Ack) error {
	n := c.n
	n.shelfMu.Lock()
	keep, a := n.shelf.Append(b, time.Now().UnixNano())
	last, err := n.disk.Save(keep)
	if err != nil {
		n.shelf.MarkDiverged(b.Life) // half of it may be kept: it is sent anew, and until then what is here is the best there is
		if !errors.Is(err, replication.ErrFull) {
			n.cfg.Logger.Warn().Str("part", "copies").Stringer("life", b.Life).Err(err).Msg("copy not kept")
		}
		a = replication.Ack{Shelf: a.Shelf, Full: true}
	}
	n.shelfMu.Unlock()
	if err == nil && last > 0 {
		if err := n.disk.Commit(last); err != nil { // nobody knows what of it lasts
			return fmt.Errorf("copies: %w", err)
		}
	}
	n.mu.Lock()
	n.figures.Taken++
	n.mu.Unlock()
	*ack = a
	return nil
}

// Position says how far a copy goes.
func (c copiesRPC) Position(life controlplane.Incarnation, have *uint64) error {
	c.n.shelfMu.Lock()
	defer c.n.shelfMu.Unlock()
	c.n.shelf.Fence(life) // it stands still from here on
	if h := c.n.shelf.Replica(life); h != nil {
		*have = h.LastIndex
	}
	return nil
}

// FetchRequest asks for a part of a copy: messages from a number on, behind so many ids that are over.
type FetchRequest struct {
	Life controlplane.Incarnation
	From uint64
	Past int
}

// FetchReply is one.
type FetchReply struct {
	Have    uint64
	Skew    time.Duration
	Records [][]byte
	Next    FetchRequest
	More    bool
}

// Fetch gives a part of a copy, which stands still from the first on.
func (c copiesRPC) Fetch(r FetchRequest, p *FetchReply) error {
	c.n.shelfMu.Lock()
	defer c.n.shelfMu.Unlock()
	c.n.shelf.Fence(r.Life)
	h := c.n.shelf.Replica(r.Life)
	if h == nil || h.LastIndex == 0 {
		return nil
	}
	p.Have, p.Skew, p.Next = h.LastIndex, h.Skew, r
	size := 0
	for _, m := range h.Content.Messages() {
		if m.Seq < r.From {
			continue
		}
		if size > fetchPiece {
			p.More = true
			return nil
		}
		for _, b := range wal.Condense(m) {
			p.Records = append(p.Records, b)
			size += len(b)
		}
		p.Next.From = m.Seq + 1
	}
	past := h.Content.Past()
	slices.SortFunc(past, func(a, b wal.Past) int { return compareText(a.ID, b.ID) })
	for i := r.Past; i < len(past); i++ {
		if size > fetchPiece {
			p.More = true
			return nil
		}
		b := wal.CondensePast(past[i])
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

// furthest asks keepers how far their copies go.
func (n *Node) furthest(ctx context.Context, life controlplane.Incarnation, keepers []string, s *controlplane.State) string {
	var mu sync.Mutex
	best, most := "", uint64(0)
	var wg sync.WaitGroup
	for _, name := range keepers {
		wg.Go(func() {
			var have uint64
			if name == n.cfg.Name {
				_ = copiesRPC{n}.Position(life, &have)
			} else {
				call, cancel := context.WithTimeout(ctx, appendFor)
				defer cancel()
				if n.peers.At(s.Members[name].Address).Call(call, "Copies.Position", life, &have) != nil {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if have > most || have == most && have > 0 && name < best {
				best, most = name, have
			}
		})
	}
	wg.Wait()
	return best
}

// takeOver begins what the council has given to this life.
func (n *Node) takeOver(ctx context.Context) {
	if !n.MayAct() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, j := range n.view.State().Jobs {
		if j.Done || j.Taker != n.mine || n.taking[j.Life] {
			continue
		}
		n.taking[j.Life] = true
		life, keepers, mine, state := j.Life, j.Keepers, n.mine, n.view.State()
		n.tasks.Go(func() error {
			began := time.Now()
			count, err := n.take(ctx, life, mine, keepers, state)
			line := n.cfg.Logger.Info()
			if err != nil {
				line = n.cfg.Logger.Warn().Err(err)
			}
			line.Str("part", "node").Stringer("life", life).Int("messages", count).Dur("ms", time.Since(began)).Msg("taking over")
			pause(ctx, n.cfg.ReplicaTimeout) // before another try, if it failed
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.taking, life)
			if err == nil {
				n.figures.Takeovers++
				n.figures.Messages += int64(count)
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

// take takes over an ended life, as replication.Takeover says.
func (n *Node) take(ctx context.Context, life, mine controlplane.Incarnation, keepers []string, s *controlplane.State) (count int, err error) {
	var content replication.Content
	var mark uint64
	for t := replication.NewTakeover(life, mine); ; {
		switch t.Step() {
		case replication.Gather:
			found := false
			if content, found = n.gather(ctx, life, keepers, s); !found {
				err = errNoCopy
			}
			t.Gathered(found)
		case replication.Stage:
			mark, err = n.router.Adopt(life.Name, life.Number, content.Ordered(), pastOf(content))
			t.Staged(err == nil)
		case replication.Replicate:
			err = n.copied(ctx, mark)
			t.Replicated(err == nil)
		case replication.Commit:
			var done bool
			done, err = n.decideDone(ctx, life, mine)
			t.Committed(err == nil, done)
		case replication.Activate:
			if ok := n.MayAct(); ok {
				count = n.router.Activate(life.Name, life.Number, true)
				t.Activated(true)
			} else { // it is this life's: the next thaw, or the next life, goes on with it
				err = errApart
				t.Activated(false)
			}
		case replication.Discard:
			n.router.Activate(life.Name, life.Number, false)
			err = errors.Join(err, errApart)
			t.Discarded()
		case replication.Done:
			return count, err
		}
	}
}

func pastOf(c replication.Content) (out []wal.Past) {
	for _, p := range c.Past {
		out = append(out, p)
	}
	return out
}

// copied waits until those who count hold what was taken on, if anybody does.
func (n *Node) copied(ctx context.Context, mark uint64) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		none := n.owner == nil || len(n.owner.InSync()) == 0 && len(n.view.State().RankReplicas(n.cfg.Name, nil)) == 0
		n.mu.Unlock()
		if none {
			return nil // this is the only one left
		}
		if _, err := n.WaitReplicated(mark, ""); err == nil {
			return nil
		}
		if !n.MayAct() {
			return errApart
		}
	}
	return ctx.Err()
}

func (n *Node) decideDone(ctx context.Context, life, mine controlplane.Incarnation) (bool, error) {
	r, err := n.decide(ctx, controlplane.Command{Kind: controlplane.CompleteTakeover, Life: life, Taker: mine})
	if err != nil {
		return false, err
	}
	return r.Refused == "", nil
}

// takeBack goes on with what an earlier life of this very forwarder owed: its own journal has it, and keepers may know more
// where the folder is an older one.
func (n *Node) takeBack(ctx context.Context, before, mine controlplane.Incarnation, s *controlplane.State) {
	job := s.TakeoverTask(before)
	content, found := n.gather(ctx, before, job.Keepers, s)
	if found {
		if _, err := n.router.Adopt(before.Name, before.Number, content.Ordered(), pastOf(content)); err != nil {
			n.cfg.Logger.Warn().Str("part", "node").Err(err).Msg("copies of an earlier life not taken back")
		}
	}
	done, err := n.decideDone(ctx, before, mine)
	if err != nil {
		return // with the next beat
	}
	_, state := n.latest()
	if !done {
		n.router.Activate(before.Name, before.Number, false)
	}
	n.thaw(before, mine, state)
	if done {
		back := n.router.Activate(before.Name, before.Number, true)
		n.cfg.Logger.Info().Str("part", "node").Stringer("life", before).Int("from copies", back).Msg("goes on with an earlier life's")
	}
}

// Past gives the ids that are over, as far as this member knows: its own, and those of whom it took over from.
func (c copiesRPC) Past(_ bool, out *[][]byte) error {
	add := func(past []wal.Past) {
		for _, p := range past {
			*out = append(*out, wal.CondensePast(p))
		}
	}
	c.n.router.EndedIDs(add, func(_ *wal.Log, rest []wal.Past) { add(rest) })
	return nil
}

// learnPast asks whoever has what this forwarder's latest life owed for the ids that were over there, so that one which is handed
// in here again is known. False says that it is to be asked again: nobody has taken over yet, or there was no answer.
func (n *Node) learnPast(ctx context.Context, mine controlplane.Incarnation, s *controlplane.State) bool {
	var latest controlplane.Incarnation
	for _, j := range s.Jobs {
		if j.Life.Name == mine.Name && j.Life.Number < mine.Number && j.Life.Number > latest.Number {
			latest = j.Life
		}
	}
	holder := s.CurrentOwner(latest)
	m := s.Members[holder.Name]
	if latest.Number == 0 || holder.Name == mine.Name {
		return true
	}
	if m == nil {
		return false
	}
	var records [][]byte
	call, cancel := context.WithTimeout(ctx, fetchFor)
	defer cancel()
	if n.peers.At(m.Address).Call(call, "Copies.Past", true, &records) != nil {
		return false
	}
	c := wal.NewCopy()
	for _, r := range records {
		_ = c.Apply(r)
	}
	if _, err := n.router.Adopt(latest.Name, latest.Number, nil, c.Past()); err != nil {
		n.cfg.Logger.Warn().Str("part", "node").Err(err).Msg("ids that are over not learned")
	}
	return true
}

// gather merges the copies of a life that can be reached.
func (n *Node) gather(ctx context.Context, life controlplane.Incarnation, keepers []string, s *controlplane.State) (content replication.Content, found bool) {
	var mu sync.Mutex
	add := func(c replication.Content) {
		mu.Lock()
		defer mu.Unlock()
		if content, found = replication.Merge(content, c), true; found {
			return
		}
	}
	n.shelfMu.Lock()
	n.shelf.Fence(life)
	if h := n.shelf.Replica(life); h != nil && h.LastIndex > 0 && slices.Contains(keepers, n.cfg.Name) {
		add(replication.ContentOf(h.Content, h.Skew))
	}
	n.shelfMu.Unlock()
	var wg sync.WaitGroup
	for _, name := range keepers {
		m := s.Members[name]
		if name == n.cfg.Name || m == nil || !m.Alive {
			continue
		}
		wg.Go(func() {
			if c, ok := n.fetch(ctx, life, m.Address); ok {
				add(c)
			}
		})
	}
	wg.Wait()
	return content, found
}

// fetch gets a copy from another keeper, piece by piece.
func (n *Node) fetch(ctx context.Context, life controlplane.Incarnation, address string) (replication.Content, bool) {
	call, cancel := context.WithTimeout(ctx, fetchFor)
	defer cancel()
	c := wal.NewCopy()
	next := FetchRequest{Life: life}
	for {
		var p FetchReply
		if err := n.peers.At(address).Call(call, "Copies.Fetch", next, &p); err != nil || p.Have == 0 {
			return replication.Content{}, false
		}
		for _, r := range p.Records {
			_ = c.Apply(r) // kinds that are not known here go on with their message
		}
		if !p.More {
			return replication.ContentOf(c, p.Skew), true // both keepers' clocks are taken for one, within the margin of the wait
		}
		next = p.Next
	}
}

// expire forgets ids that are over, and keeps the disk of copies in order.
func (n *Node) expire(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, expireEvery)
		n.shelfMu.Lock()
		_, err := n.disk.Save(n.shelf.Expire(time.Now().Add(-n.cfg.DedupWindow)))
		n.shelfMu.Unlock()
		if err = errors.Join(err, n.disk.Compact()); err != nil {
			n.cfg.Logger.Warn().Str("part", "copies").Err(err).Msg("space not gained")
		}
	}
}

// ---- comparing ----

// CheckRequest has a keeper compare its copy with its owner's journal at an index.
type CheckRequest struct {
	Life   controlplane.Incarnation
	Index  uint64
	Ranges [replication.RangeCount]uint64
}

// CheckReply says what came of it.
type CheckReply struct {
	Compared bool // the copy was just at that index
	Differ   int  // ranges
}

// Check compares; a copy that differs is replaced whole by its owner's next snapshot.
func (c copiesRPC) Check(r CheckRequest, a *CheckReply) error {
	c.n.shelfMu.Lock()
	defer c.n.shelfMu.Unlock()
	h := c.n.shelf.Replica(r.Life)
	if h == nil || h.LastIndex != r.Index {
		return nil
	}
	a.Compared = true
	for i, d := range replication.Ranges(h.Content.Messages()) {
		if d != r.Ranges[i] {
			a.Differ++
		}
	}
	if a.Differ > 0 {
		c.n.shelf.MarkDiverged(r.Life)
	}
	return nil
}

// compare has those who count compare their copies now and then.
func (n *Node) compare(ctx context.Context) {
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
			call, cancel := context.WithTimeout(ctx, appendFor)
			err := n.peers.At(address).Call(call, "Copies.Check", req, &a)
			cancel()
			if err != nil || a.Differ == 0 {
				continue
			}
			n.mu.Lock()
			n.figures.Differed++
			if n.owner != nil {
				n.owner.HandleNoAck(name) // its next answer says that it has nothing
			}
			n.mu.Unlock()
			n.cfg.Logger.Warn().Str("part", "copies").Str("keeper", name).Stringer("life", req.Life).Int("ranges", a.Differ).
				Msg("the keeper's copy differs from this journal and is sent anew")
			n.nudge()
		}
	}
}
