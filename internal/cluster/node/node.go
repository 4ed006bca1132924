// Package node is a forwarder's part in a fleet: it begins lives and holds their lease, sends its journal to keepers and keeps
// copies for others, takes over what ended lives owed, and answers operators. It drives the pure parts (council, copies) with
// sockets, timers and a folder, and stands before the router as its Guard.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/cluster/replication"
	"mulleinbeam/internal/routing"
	"mulleinbeam/internal/routing/wal"
	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
)

// Version is that of what members say to each other; a later one may know more kinds of records.
const Version = 1

// Config is what a node starts with.
type Config struct {
	Name                string
	Zone, Region        string
	Listen              string // where its links listen, and where others reach them
	Founders            []controlplane.Voter
	Relays              []controlplane.Relay // that carry requests to the voters, in no order; a voter itself uses none
	DialAddresses       map[string]string    // what is dialled for an address, where that differs
	Copies              int                  // of each message, the owner's own included
	Timing              controlplane.Timing
	ReplicaTimeout      time.Duration   // how long a keeper may be out of reach before it is replaced
	ReplicaSpace        int64           // bytes of copies for others
	AllowUnreplicated   map[string]bool // classes that go on without a copy when nobody can keep one
	DedupWindow         time.Duration   // how long an id that is over is known
	Folder              string          // the state folder; what is here goes into folders of its own in it
	Durability          store.Durability
	CheckInterval       time.Duration   // between two comparisons of a copy with its owner's journal
	GossipInterval      time.Duration   // between two tellings of facts; 0 is none
	CatchUpRate         int64           // bytes a second of a snapshot to one keeper
	Locality            *LocalityConfig // nil: traffic goes everywhere
	ObservationHalfLife time.Duration   // how long one member's word of a partner counts by itself
	Logger              zerolog.Logger
}

const (
	lifeName    = "life.json" // in the folder
	copiesDir   = "copies"    //
	askFor      = 2 * time.Second
	appendFor   = time.Second
	fetchFor    = 2 * time.Second
	fetchPiece  = 512 << 10
	heldFor     = 2 * time.Second  // how long a message waits for those who keep its copies
	expireEvery = 10 * time.Second //
	renewals    = 4                // in one lease
	catchUpGap  = 10 * time.Millisecond
	learnFor    = 10 * time.Second // until all that is decided is known, before a life begins
	manageEvery = 50 * time.Millisecond
	retryShares = 4 // of the patience, until a member that was out of reach is tried again
	spaceLeast  = 1 << 20
)

// ControlPlaneDir is the part of the state folder that a founder's council is kept in.
const ControlPlaneDir = "council"

// Errors of a start.
var (
	errFounders = errors.New("node: no founders of the council are named")
	errNoCopy   = errors.New("node: nobody has a copy that counts")
	errNoPlaces = errors.New("node: [place] is not set")
	errApart    = errors.New("node: this life may not act")
)

// life is what the folder says of the latest life that had it.
type life struct {
	Number uint64 `json:"life"`
	Token  string `json:"token"`
}

// Node is one forwarder's part.
type Node struct {
	cfg      Config
	listener net.Listener
	peers    *links.Peers
	client   *controlplane.Client
	server   *controlplane.Server // a founder, or one that may become it
	keeper   *controlplane.RaftStore
	token    string
	folder   life // what was found

	router *routing.Router
	began  time.Time
	lease  atomic.Int64 // until when this life may act, since began; 0 is not at all
	thawed atomic.Bool  // the router has been told that it may
	knows  atomic.Bool  // the ids that were over in the life before

	mu       sync.Mutex
	mine     controlplane.Incarnation
	owner    *replication.Owner
	view     *controlplane.View
	waiters  []waiter
	sending  map[string]bool      // keepers to which a sender is on its way
	missed   map[string]time.Time // keepers out of reach, and since when
	heard    map[string]time.Time // when a keeper last answered
	taking   map[controlplane.Incarnation]bool
	wake     chan struct{}
	asked    *controlplane.Command     // for other keepers, and not known to be decided or refused
	asking   bool                      // the council, just now
	reported controlplane.ConfigReport // of the configuration that is in force here
	figures  Counters

	configuring configuring

	talk     talk
	steering *steering          // nil: traffic goes everywhere
	renewal  controlplane.Lease // live's goroutine only

	shelfMu sync.Mutex
	shelf   *replication.Store
	disk    *replication.Disk

	tasks *errgroup.Group
}

// waiter waits for a mark to be held.
type waiter struct {
	mark uint64
	done chan struct{}
}

// Counters count what a node has done.
type Counters struct {
	Batches, Records, Bytes int64 // sent to keepers and answered
	Snapshots               int64 // that keepers were sent
	Taken                   int64 // batches taken from others
	Differed                int64 // copies that differed from their owner's
	Full                    int64 // batches refused for want of room
	Lives                   int64 // begun by this process
	Takeovers, Messages     int64 // lives taken over, and their messages
	Malformed               int64 // answers about what is decided that contradicted themselves
	LeasesLost              int64
}

// Open opens the folder and listens; nothing runs yet. A name that two founders share, a folder that can't be read or an address
// in use is an error.
func Open(cfg Config) (*Node, error) {
	if len(cfg.Founders) == 0 {
		return nil, errFounders
	}
	n := &Node{
		cfg: cfg, peers: &links.Peers{DialAddresses: cfg.DialAddresses}, token: fmt.Sprintf("%016x", rand.Uint64()), began: time.Now(),
		view: controlplane.NewView(), renewal: controlplane.Lease{Length: cfg.Timing.Lease}, sending: map[string]bool{}, missed: map[string]time.Time{}, heard: map[string]time.Time{}, taking: map[controlplane.Incarnation]bool{},
		wake: make(chan struct{}, 1), configuring: configuring{changed: make(chan struct{}, 1)}, shelf: replication.NewStore(rand.Uint64()), talk: newTalk(cfg),
	}
	if cfg.Locality != nil {
		n.steering = newSteering(n, *cfg.Locality)
	}
	var err error
	if n.folder, err = readLife(cfg.Folder); err != nil {
		return nil, err
	}
	for _, dir := range []string{ControlPlaneDir, copiesDir} {
		if err := os.MkdirAll(filepath.Join(cfg.Folder, dir), 0o700); err != nil {
			return nil, fmt.Errorf("node: %w", err)
		}
	}
	report := func(part string) func(string) {
		return func(line string) { cfg.Logger.Warn().Str("part", part).Msg(line) }
	}
	n.disk, err = replication.OpenDisk(fsys.Dir(filepath.Join(cfg.Folder, copiesDir)), max(spaceLeast, cfg.ReplicaSpace), cfg.Durability,
		report("copies"), n.shelf.Restore)
	if err != nil {
		return nil, err
	}
	if err := n.found(report("council")); err != nil {
		return nil, errors.Join(err, n.disk.Close())
	}
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, errors.Join(fmt.Errorf("node: %w", err), n.Close())
	}
	return n, nil
}

// found opens the part in the council, of a founder or of one that may become it, and the way to the others.
func (n *Node) found(report func(string)) error {
	keeper, kept, err := controlplane.OpenRaftStore(fsys.Dir(filepath.Join(n.cfg.Folder, ControlPlaneDir)), report)
	if err != nil {
		return err
	}
	n.keeper = keeper
	core, err := controlplane.NewCore(n.cfg.Name, n.cfg.Founders, kept)
	if err != nil {
		return errors.Join(err, keeper.Close())
	}
	n.server = controlplane.NewServer(core, keeper, n.cfg.Timing, n.cfg.Logger)
	n.server.Dial = func(address string) *links.Peer { return links.NewPeer(n.peers.DialAddress(address)) }
	n.server.FurthestReplica, n.server.CheckEntry = n.furthest, checkEntry
	n.client = controlplane.NewClient(n.cfg.Founders, n.peers.At, n.cfg.Name, n.server)
	if !slices.ContainsFunc(n.cfg.Founders, func(f controlplane.Voter) bool { return f.Name == n.cfg.Name }) {
		n.client.UseRelays(controlplane.RankRelays(n.cfg.Relays, n.cfg.Name, n.cfg.Zone))
	}
	return nil
}

// Close closes what Open opened.
func (n *Node) Close() error {
	var err error
	if n.listener != nil {
		if bad := n.listener.Close(); !errors.Is(bad, net.ErrClosed) {
			err = bad
		}
	}
	if n.keeper != nil {
		err = errors.Join(err, n.keeper.Close())
	}
	n.peers.Close()
	return errors.Join(err, n.disk.Close())
}

func readLife(folder string) (l life, err error) {
	raw, err := os.ReadFile(filepath.Join(folder, lifeName))
	if errors.Is(err, os.ErrNotExist) {
		return l, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &l)
	}
	if err != nil {
		return l, fmt.Errorf("node: %s: %w", lifeName, err)
	}
	return l, nil
}

func (n *Node) writeLife(l life) error {
	raw, err := json.Marshal(l)
	if err == nil {
		_, err = fsys.Replace(fsys.Dir(n.cfg.Folder), lifeName, raw, n.cfg.Durability != store.Process)
	}
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	return nil
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context, router *routing.Router) error {
	n.router = router
	group, ctx := errgroup.WithContext(ctx)
	n.tasks = group
	group.Go(func() error {
		return links.Serve(n.listener, map[string]any{
			"Copies": copiesRPC{n}, "Status": statusRPC{n}, "Facts": factsRPC{n}, "Plan": planRPC{n}, "Council": n.server.RPC(),
		})
	})
	group.Go(func() error {
		<-ctx.Done()
		_ = n.listener.Close()
		n.peers.Close()
		return nil
	})
	group.Go(func() error { return n.outlast(ctx) })
	group.Go(func() error {
		if err := n.server.Run(ctx); err != nil { // messages go on without it; the other founders decide
			n.cfg.Logger.Error().Str("part", "council").Err(err).Msg("this founder is silent from here on")
		}
		return nil
	})
	group.Go(func() error { n.live(ctx); return nil })
	group.Go(func() error { n.manage(ctx); return nil })
	group.Go(func() error { n.configure(ctx); return nil })
	group.Go(func() error { n.expire(ctx); return nil })
	if n.steering != nil {
		group.Go(func() error { n.steering.run(ctx); return nil })
		group.Go(func() error { n.steering.watchDelays(ctx); return nil })
	}
	if n.cfg.GossipInterval > 0 {
		group.Go(func() error { n.gossip(ctx); return nil })
	}
	if n.cfg.CheckInterval > 0 {
		group.Go(func() error { n.compare(ctx); return nil })
	}
	return group.Wait()
}

func (n *Node) now() time.Duration { return time.Since(n.began) }

// latest is this life and what the council has decided, as far as is known here; n.mu is not held. What is decided is never changed.
func (n *Node) latest() (mine controlplane.Incarnation, decided *controlplane.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mine, n.view.State()
}

// Steering says where calls may go; nil is everywhere.
func (n *Node) Steering() routing.Steering {
	if n.steering == nil {
		return nil
	}
	return n.steering
}

// Limiter bounds what is taken on of a class, as it is configured.
func (n *Node) Limiter() routing.Limiter { return &n.configuring.limits }

func (n *Node) nudge() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// ---- the owner's side ----

// Tap takes a record that the router has journalled; it is the log's tap and runs in the router's goroutine.
func (n *Node) Tap(payload []byte) {
	n.mu.Lock()
	if n.owner != nil {
		n.owner.Append(slices.Clone(payload))
	}
	n.mu.Unlock()
	n.nudge()
}

// LogPosition is the latest record's place in the log that goes to keepers.
func (n *Node) LogPosition() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == nil {
		return 0
	}
	return n.owner.LastIndex()
}

// ReplicatesStarts says that a class's calls begin only when keepers know of it.
func (n *Node) ReplicatesStarts(class string) bool {
	return !n.cfg.AllowUnreplicated[class] && n.cfg.Copies > 1
}

// CanAccept says whether a message of a class can be taken on: a strict one needs somebody in reach to keep it.
func (n *Node) CanAccept(class string) bool {
	if !n.ReplicatesStarts(class) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reachable()
}

// Replicated says whether all who count have the log up to a mark, or nobody does who could take over.
func (n *Node) Replicated(mark uint64, class string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.Copies <= 1 || n.owner != nil && (n.owner.HighWatermark() >= mark || len(n.owner.InSync()) == 0 || n.cfg.AllowUnreplicated[class] && !n.reachable())
}

// WaitReplicated waits until all who count have the log up to a mark.
func (n *Node) WaitReplicated(mark uint64, class string) (alone bool, err error) {
	n.mu.Lock()
	switch {
	case n.cfg.Copies <= 1:
		n.mu.Unlock()
		return false, nil
	case n.owner == nil:
		n.mu.Unlock()
		return n.cfg.AllowUnreplicated[class], ifStrict(n.cfg.AllowUnreplicated[class])
	case n.owner.HighWatermark() >= mark:
		n.mu.Unlock()
		return false, nil
	case n.cfg.AllowUnreplicated[class] && !n.reachable():
		n.mu.Unlock()
		return true, nil
	}
	w := waiter{mark, make(chan struct{})}
	n.waiters = append(n.waiters, w)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.unwait(w)
		n.mu.Unlock()
	}()
	late := time.NewTimer(heldFor)
	defer late.Stop()
	soon := time.NewTimer(n.cfg.ReplicaTimeout)
	defer soon.Stop()
	for {
		select {
		case <-w.done:
			return false, nil
		case <-soon.C:
			n.mu.Lock()
			away := n.cfg.AllowUnreplicated[class] && !n.reachable()
			n.mu.Unlock()
			if away {
				return true, nil
			}
		case <-late.C:
			return n.cfg.AllowUnreplicated[class], ifStrict(n.cfg.AllowUnreplicated[class])
		}
	}
}

func ifStrict(alone bool) error {
	if alone {
		return nil
	}
	return errNoCopy
}

// away says whether a member has been out of reach for longer than that is waited for; n.mu is held.
func (n *Node) away(name string) bool {
	since, missed := n.missed[name]
	return missed && time.Since(since) > n.cfg.ReplicaTimeout
}

// reachable says whether this life may act and everybody who counts can be reached and has room; n.mu is held.
func (n *Node) reachable() bool {
	return n.owner != nil && len(n.owner.InSync()) > 0 && n.MayAct() &&
		!slices.ContainsFunc(n.owner.InSync(), func(name string) bool { return n.away(name) || n.owner.Full(name) })
}

// unwait drops a waiter that has gone; n.mu is held.
func (n *Node) unwait(w waiter) {
	n.waiters = slices.DeleteFunc(n.waiters, func(x waiter) bool { return x.done == w.done })
}

// held wakes those whose marks are held; n.mu is held.
func (n *Node) held() {
	up := n.owner.HighWatermark()
	rest := n.waiters[:0]
	for _, w := range n.waiters {
		if w.mark <= up {
			close(w.done)
		} else {
			rest = append(rest, w)
		}
	}
	clear(n.waiters[len(rest):])
	n.waiters = rest
}

// manage sends the log on, chooses keepers and takes over what the council says.
func (n *Node) manage(ctx context.Context) {
	pause := time.NewTicker(manageEvery)
	defer pause.Stop()
	for {
		select {
		case <-n.wake:
		case <-pause.C:
			n.choose(ctx)
		case <-ctx.Done():
			return
		}
		n.replicate(ctx)
		n.takeOver(ctx)
	}
}

// replicate starts a sender for each keeper that has something to get and has none on its way.
func (n *Node) replicate(ctx context.Context) {
	if !n.MayAct() {
		return // what is taken on now may be taken over from an older copy
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == nil {
		return
	}
	m := n.view.State().Members[n.cfg.Name]
	if m == nil || m.Life != n.mine.Number {
		return
	}
	owner := n.owner
	for _, name := range append(slices.Clone(owner.InSync()), n.wanted(m)...) {
		to := n.view.State().Members[name]
		if to == nil || n.sending[name] {
			continue
		}
		if since, away := n.missed[name]; away && time.Since(since) < manageEvery {
			continue
		}
		n.sending[name] = true
		n.tasks.Go(func() error {
			n.send(ctx, owner, name, to.Address)
			return nil
		})
	}
}

// usable says whether a member can keep copies for this life; n.mu is held.
func (n *Node) usable(name string) bool {
	to := n.view.State().Members[name]
	return to != nil && to.Alive && !to.Leaving && !n.owner.Full(name) && !n.away(name)
}

// wanted are members that are to get the log and do not count yet: the best ranked, as many as are missing of those that do. n.mu is
// held.
func (n *Node) wanted(m *controlplane.Member) []string {
	missing := max(0, n.cfg.Copies-1)
	for _, name := range m.Keepers {
		if n.usable(name) {
			missing--
		}
	}
	if missing <= 0 { // as nearly always: ranking looks at all members
		return nil
	}
	rank := n.view.State().RankReplicas(n.cfg.Name, func(name string) bool { return n.usable(name) && !slices.Contains(m.Keepers, name) })
	return rank[:min(len(rank), missing)]
}

// send brings a keeper up to date.
func (n *Node) send(ctx context.Context, owner *replication.Owner, name, address string) {
	defer func() {
		n.mu.Lock()
		delete(n.sending, name)
		n.mu.Unlock()
	}()
	peer := n.peers.At(address)
	for ctx.Err() == nil && n.MayAct() {
		n.mu.Lock()
		if n.owner != owner {
			n.mu.Unlock()
			return
		}
		needs := owner.NeedsSnapshot(name)
		n.mu.Unlock()
		if needs && !n.snapshot(owner, name) {
			return
		}
		n.mu.Lock()
		b, some := owner.Next(name, time.Now().UnixNano())
		if !some && time.Since(n.heard[name]) > n.cfg.ReplicaTimeout/2 {
			b, some = owner.Ping(name, time.Now().UnixNano())
		}
		n.mu.Unlock()
		if !some {
			return
		}
		var ack replication.Ack
		call, cancel := context.WithTimeout(ctx, appendFor)
		err := peer.Call(call, "Copies.Append", b, &ack)
		cancel()
		n.mu.Lock()
		if err != nil {
			if _, away := n.missed[name]; !away {
				n.missed[name] = time.Now()
			}
			owner.HandleNoAck(name)
			n.mu.Unlock()
			return
		}
		delete(n.missed, name)
		n.heard[name] = time.Now()
		n.figures.Batches++
		n.figures.Records += int64(len(b.Records))
		n.figures.Bytes += batchSize(b)
		if ack.Full {
			n.figures.Full++
		}
		owner.HandleAck(name, ack)
		if n.owner == owner {
			n.held()
		}
		stop := ack.Full || ack.Ended
		spare := n.reachable() // else strict messages wait for this very keeper
		n.mu.Unlock()
		if stop {
			return
		}
		if b.Snapshot > 0 && spare { // its share of the link and of this machine: what is taken on meanwhile comes first
			pause(ctx, time.Duration(float64(batchSize(b))/float64(max(1, n.cfg.CatchUpRate))*float64(time.Second)))
		}
	}
}

func batchSize(b replication.Batch) (size int64) {
	for _, r := range b.Records {
		size += int64(len(r.Payload))
	}
	return size
}

// snapshot has a keeper go on from all that is held now.
func (n *Node) snapshot(owner *replication.Owner, name string) (ok bool) {
	var records [][]byte
	add := func(past []wal.Past) {
		for _, p := range past {
			records = append(records, wal.CondensePast(p))
		}
	}
	served := n.router.EndedIDs(add, func(log *wal.Log, rest []wal.Past) { // no record is journalled between the two
		add(rest)
		held, err := log.Snapshot()
		if err != nil {
			n.cfg.Logger.Warn().Str("part", "copies").Err(err).Msg("not all that is held can be copied")
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		owner.Snapshot(name, append(records, held...))
		n.figures.Snapshots++
		ok = true
	})
	return served && ok
}

// choose asks the council to count other keepers where those that do are out of reach, full or too few.
func (n *Node) choose(ctx context.Context) {
	if !n.MayAct() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.view.State().Members[n.cfg.Name]
	if n.owner == nil || m == nil || m.Life != n.mine.Number || !m.Alive {
		return
	}
	for name, since := range n.missed { // one that does not count is tried again now and then: it may be back
		if !slices.Contains(m.Keepers, name) && time.Since(since) > retryShares*n.cfg.ReplicaTimeout {
			delete(n.missed, name)
		}
	}
	more := n.wanted(m)
	n.owner.SetReplicas(m.Keepers, more)
	n.held()
	if n.asked != nil {
		n.askForKeepers(ctx) // again
		return
	}
	most := max(0, n.cfg.Copies-1)
	var set []string
	for _, name := range m.Keepers {
		if n.usable(name) && len(set) < most {
			set = append(set, name)
		}
	}
	fresh := 0
	for _, name := range more {
		if len(set) < most && n.owner.CaughtUp(name) {
			set = append(set, name)
			fresh++
		}
	}
	for _, name := range m.Keepers { // one that can't be reached counts until another is as far
		if !slices.Contains(set, name) && len(set) < most {
			set = append(set, name)
		}
	}
	if slices.Equal(slices.Sorted(slices.Values(set)), slices.Sorted(slices.Values(m.Keepers))) || fresh == 0 && len(set) >= len(m.Keepers) {
		return
	}
	n.owner.Propose(set)
	n.asked = &controlplane.Command{Kind: controlplane.SetReplicas, Life: n.mine, From: m.Changed, Set: set}
	n.askForKeepers(ctx)
}

// askForKeepers asks for what is to be decided, until it is known that it was, or cannot be any more; n.mu is held. Until then
// both those that count and those that were asked for have to hold what is told as held.
func (n *Node) askForKeepers(ctx context.Context) {
	if n.asking {
		return
	}
	n.asking = true
	cmd, owner := *n.asked, n.owner
	n.tasks.Go(func() error {
		r, err := n.decide(ctx, cmd)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.asking = false
		if n.owner == owner && err == nil && r.Refused != "" {
			owner.ProposalSettled()
			n.asked = nil
		}
		return nil
	})
}
