// Package node runs a forwarder as a member of a fleet. A node joins the fleet as an incarnation and renews its lease,
// replicates its journal to other members and stores replicas of theirs, takes over the messages of fenced
// incarnations, and answers operators. It drives the pure packages (controlplane, replication, observation, plan) with
// sockets, timers and a folder, and implements the router's Replication.
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

// Version is the version of the protocol between members. A later version may know more kinds of records.
const Version = 1

// Config configures a node.
type Config struct {
	Name                string
	Zone, Region        string
	Listen              string               // address on which this node listens and at which other members reach it
	Founders            []controlplane.Voter // voters of the control plane, until the committed state names them
	Relays              []controlplane.Relay // relays that carry requests to the voters, in any order; a voter uses none
	DialAddresses       map[string]string    // addresses to dial instead of the advertised ones
	Copies              int                  // copies of each message, including the owner's own
	Timing              controlplane.Timing
	ReplicaTimeout      time.Duration   // how long a replica may be unreachable before it is replaced
	ReplicaSpace        int64           // bytes of disk for replicas of other members' journals
	AllowUnreplicated   map[string]bool // classes that are accepted without a replica when none is available
	DedupWindow         time.Duration   // how long the id of an ended message is remembered
	Folder              string          // state folder; the node uses subfolders of it
	Durability          store.Durability
	CheckInterval       time.Duration   // time between two comparisons of a replica with its owner's journal; 0 disables them
	GossipInterval      time.Duration   // time between two gossip rounds; 0 disables gossip
	CatchUpRate         int64           // bytes per second of a snapshot that is sent to one replica
	Locality            *LocalityConfig // nil disables locality-aware steering
	ObservationHalfLife time.Duration   // how long a single member's observation of a destination counts
	Logger              zerolog.Logger
}

const (
	incarnationFile    = "life.json"      // in the state folder
	replicasDir        = "copies"         // likewise
	requestTimeout     = 2 * time.Second  // for a request to the control plane
	peerCallTimeout    = time.Second      // for a call to another member
	fetchTimeout       = 2 * time.Second  // for fetching a whole replica, or ids of ended messages
	maxFetchBytes      = 512 << 10        // of one part of a replica, exceeded by one message at most
	replicationTimeout = 2 * time.Second  // how long a message waits for its replicas
	expireInterval     = 10 * time.Second // between two expirations of ids
	renewalsPerLease   = 4
	catchUpPause       = 10 * time.Millisecond // between two requests for changes
	catchUpTimeout     = 10 * time.Second      // limit for learning the committed state before an incarnation starts
	manageInterval     = 50 * time.Millisecond // between two checks of the replicas without a new record
	retryTimeouts      = 4                     // replica timeouts after which an unreachable member is tried again
	minReplicaBytes    = 1 << 20               // smallest disk space for replicas
)

// ControlPlaneDir is the subfolder of the state folder that holds a voter's control plane log.
const ControlPlaneDir = "council"

// Errors of starting, replicating and acting.
var (
	errNoVoters   = errors.New("node: no control plane voters are configured")
	errNoReplica  = errors.New("node: no in-sync replica is available")
	errNoLocality = errors.New("node: [place] is not set")
	errNoLease    = errors.New("node: this incarnation holds no valid lease")
)

// storedIncarnation is what the state folder records about the latest incarnation that used it.
type storedIncarnation struct {
	Number uint64 `json:"life"`
	Token  string `json:"token"`
}

// Node is one forwarder as a member of a fleet.
type Node struct {
	cfg       Config
	listener  net.Listener
	peers     *links.Peers
	client    *controlplane.Client
	server    *controlplane.Server // of a voter, or of a member that may become one
	raftStore *controlplane.RaftStore
	token     string
	stored    storedIncarnation // as read from the state folder, or written last

	router     *routing.Router
	started    time.Time
	leaseUntil atomic.Int64 // end of this incarnation's lease, as nanoseconds since started; 0 means no lease
	resumed    atomic.Bool  // the router has been told to process its messages
	knowsEnded atomic.Bool  // the ids of messages that ended in the previous incarnation are known

	mu             sync.Mutex
	current        controlplane.Incarnation
	owner          *replication.Owner
	view           *controlplane.View
	waiters        []waiter
	sending        map[string]bool      // replicas to which a goroutine is sending
	unreachable    map[string]time.Time // unreachable replicas, and since when
	answeredAt     map[string]time.Time // when a replica last answered
	takingOver     map[controlplane.Incarnation]bool
	wake           chan struct{}
	proposal       *controlplane.Command     // a change of the in-sync replicas whose outcome is not known yet
	proposing      bool                      // a request with the proposal is under way
	configReported controlplane.ConfigReport // about the configuration in force on this forwarder
	counters       Counters

	configuration configuration

	observations observations
	steering     *steering          // nil without locality-aware steering
	renewal      controlplane.Lease // used only by the goroutine of holdLease

	replicasMu sync.Mutex
	replicas   *replication.Store
	disk       *replication.Disk

	tasks *errgroup.Group
}

// waiter waits until the in-sync replicas have the log up to a position.
type waiter struct {
	position uint64
	done     chan struct{}
}

// Counters counts what a node has done since its process started.
type Counters struct {
	Batches, Records, Bytes int64 // sent to replicas and acknowledged
	Snapshots               int64 // started for replicas
	Taken                   int64 // batches received from other members
	Differed                int64 // replicas that differed from their owner's journal
	Full                    int64 // batches refused because the replica had no space
	Lives                   int64 // incarnations started by this process
	Takeovers, Messages     int64 // incarnations taken over, and their messages
	Malformed               int64 // self-contradictory responses about the committed state
	LeasesLost              int64
}

// Open opens the state folder and listens; nothing runs yet. It fails if two voters share a name, the folder cannot be
// read or the address is in use.
func Open(cfg Config) (*Node, error) {
	if len(cfg.Founders) == 0 {
		return nil, errNoVoters
	}
	n := &Node{
		cfg: cfg, peers: &links.Peers{DialAddresses: cfg.DialAddresses}, token: fmt.Sprintf("%016x", rand.Uint64()), started: time.Now(),
		view: controlplane.NewView(), renewal: controlplane.Lease{Length: cfg.Timing.Lease}, sending: map[string]bool{}, unreachable: map[string]time.Time{}, answeredAt: map[string]time.Time{}, takingOver: map[controlplane.Incarnation]bool{},
		wake: make(chan struct{}, 1), configuration: configuration{changed: make(chan struct{}, 1)}, replicas: replication.NewStore(rand.Uint64()), observations: newObservations(cfg),
	}
	if cfg.Locality != nil {
		n.steering = newSteering(n, *cfg.Locality)
	}
	var err error
	if n.stored, err = readIncarnation(cfg.Folder); err != nil {
		return nil, err
	}
	for _, dir := range []string{ControlPlaneDir, replicasDir} {
		if err := os.MkdirAll(filepath.Join(cfg.Folder, dir), 0o700); err != nil {
			return nil, fmt.Errorf("node: %w", err)
		}
	}
	report := func(part string) func(string) {
		return func(line string) { cfg.Logger.Warn().Str("part", part).Msg(line) }
	}
	n.disk, err = replication.OpenDisk(fsys.Dir(filepath.Join(cfg.Folder, replicasDir)), max(minReplicaBytes, cfg.ReplicaSpace), cfg.Durability,
		report("copies"), n.replicas.Restore)
	if err != nil {
		return nil, err
	}
	if err := n.openControlPlane(report("council")); err != nil {
		return nil, errors.Join(err, n.disk.Close())
	}
	if n.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, errors.Join(fmt.Errorf("node: %w", err), n.Close())
	}
	return n, nil
}

// openControlPlane opens the Raft store, the server and the client of the control plane. A member that is no voter
// opens a server too, because it may become one.
func (n *Node) openControlPlane(report func(string)) error {
	raftStore, durable, err := controlplane.OpenRaftStore(fsys.Dir(filepath.Join(n.cfg.Folder, ControlPlaneDir)), report)
	if err != nil {
		return err
	}
	n.raftStore = raftStore
	core, err := controlplane.NewCore(n.cfg.Name, n.cfg.Founders, durable)
	if err != nil {
		return errors.Join(err, raftStore.Close())
	}
	n.server = controlplane.NewServer(core, raftStore, n.cfg.Timing, n.cfg.Logger)
	n.server.Dial = func(address string) *links.Peer { return links.NewPeer(n.peers.DialAddress(address)) }
	n.server.FurthestReplica, n.server.CheckEntry = n.furthestReplica, checkEntry
	n.client = controlplane.NewClient(n.cfg.Founders, n.peers.At, n.cfg.Name, n.server)
	if !slices.ContainsFunc(n.cfg.Founders, func(f controlplane.Voter) bool { return f.Name == n.cfg.Name }) {
		n.client.UseRelays(controlplane.RankRelays(n.cfg.Relays, n.cfg.Name, n.cfg.Zone))
	}
	return nil
}

// Close releases what Open opened.
func (n *Node) Close() error {
	var err error
	if n.listener != nil {
		if bad := n.listener.Close(); !errors.Is(bad, net.ErrClosed) {
			err = bad
		}
	}
	if n.raftStore != nil {
		err = errors.Join(err, n.raftStore.Close())
	}
	n.peers.Close()
	return errors.Join(err, n.disk.Close())
}

func readIncarnation(folder string) (l storedIncarnation, err error) {
	raw, err := os.ReadFile(filepath.Join(folder, incarnationFile))
	if errors.Is(err, os.ErrNotExist) {
		return l, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &l)
	}
	if err != nil {
		return l, fmt.Errorf("node: %s: %w", incarnationFile, err)
	}
	return l, nil
}

func (n *Node) writeIncarnation(l storedIncarnation) error {
	raw, err := json.Marshal(l)
	if err == nil {
		_, err = fsys.Replace(fsys.Dir(n.cfg.Folder), incarnationFile, raw, n.cfg.Durability != store.SyncNever)
	}
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	return nil
}

// Run runs the node until ctx ends or a sync of its folders fails.
func (n *Node) Run(ctx context.Context, router *routing.Router) error {
	n.router = router
	group, ctx := errgroup.WithContext(ctx)
	n.tasks = group
	group.Go(func() error {
		return links.Serve(n.listener, map[string]any{
			"Copies": replicationRPC{n}, "Status": statusRPC{n}, "Facts": observationRPC{n}, "Plan": planRPC{n}, "Council": n.server.RPC(),
		})
	})
	group.Go(func() error {
		<-ctx.Done()
		_ = n.listener.Close()
		n.peers.Close()
		return nil
	})
	group.Go(func() error { return n.exitOnSyncFailure(ctx) })
	group.Go(func() error {
		if err := n.server.Run(ctx); err != nil { // messages are still processed; the other voters decide
			n.cfg.Logger.Error().Str("part", "council").Err(err).Msg("control plane server stopped: this voter no longer takes part")
		}
		return nil
	})
	group.Go(func() error { n.holdLease(ctx); return nil })
	group.Go(func() error { n.manage(ctx); return nil })
	group.Go(func() error { n.configure(ctx); return nil })
	group.Go(func() error { n.expireIDs(ctx); return nil })
	if n.steering != nil {
		group.Go(func() error { n.steering.run(ctx); return nil })
		group.Go(func() error { n.steering.watchDelays(ctx); return nil })
	}
	if n.cfg.GossipInterval > 0 {
		group.Go(func() error { n.gossip(ctx); return nil })
	}
	if n.cfg.CheckInterval > 0 {
		group.Go(func() error { n.compareReplicas(ctx); return nil })
	}
	return group.Wait()
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

// currentState returns this node's incarnation and the committed state as far as it is known here. A committed state is
// never modified. n.mu is not held.
func (n *Node) currentState() (current controlplane.Incarnation, committed *controlplane.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current, n.view.State()
}

// Steering returns the router's access control by zone; nil allows calls to every zone.
func (n *Node) Steering() routing.Steering {
	if n.steering == nil {
		return nil
	}
	return n.steering
}

// Limiter returns the configured rate limits of classes.
func (n *Node) Limiter() routing.Limiter { return &n.configuration.limits }

// signal wakes manage.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// ---- the owner's journal ----

// Tap receives each record that the router has journalled. It runs in the router's goroutine.
func (n *Node) Tap(payload []byte) {
	n.mu.Lock()
	if n.owner != nil {
		n.owner.Append(slices.Clone(payload))
	}
	n.mu.Unlock()
	n.signal()
}

// LogPosition returns the index of the latest record in the replicated log.
func (n *Node) LogPosition() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == nil {
		return 0
	}
	return n.owner.LastIndex()
}

// ReplicatesStarts reports whether a class is strict: its calls may begin only after the in-sync replicas have recorded
// their start.
func (n *Node) ReplicatesStarts(class string) bool {
	return !n.cfg.AllowUnreplicated[class] && n.cfg.Copies > 1
}

// CanAccept reports whether a message of a class can be accepted. A strict class needs reachable in-sync replicas.
func (n *Node) CanAccept(class string) bool {
	if !n.ReplicatesStarts(class) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replicasReachable()
}

// Replicated reports whether every in-sync replica has the log up to a position. It also returns true if there is no
// in-sync replica that could be used for a takeover, and for a class that may be unreplicated if replicas are
// unreachable.
func (n *Node) Replicated(position uint64, class string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.Copies <= 1 || n.owner != nil && (n.owner.HighWatermark() >= position || len(n.owner.InSync()) == 0 || n.cfg.AllowUnreplicated[class] && !n.replicasReachable())
}

// WaitReplicated waits until every in-sync replica has the log up to a position. Alone reports that a class that may be
// unreplicated goes on without them.
func (n *Node) WaitReplicated(position uint64, class string) (alone bool, err error) {
	n.mu.Lock()
	switch {
	case n.cfg.Copies <= 1:
		n.mu.Unlock()
		return false, nil
	case n.owner == nil:
		n.mu.Unlock()
		return n.cfg.AllowUnreplicated[class], errorIfStrict(n.cfg.AllowUnreplicated[class])
	case n.owner.HighWatermark() >= position:
		n.mu.Unlock()
		return false, nil
	case n.cfg.AllowUnreplicated[class] && !n.replicasReachable():
		n.mu.Unlock()
		return true, nil
	}
	w := waiter{position, make(chan struct{})}
	n.waiters = append(n.waiters, w)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.removeWaiter(w)
		n.mu.Unlock()
	}()
	timeout := time.NewTimer(replicationTimeout)
	defer timeout.Stop()
	replicaCheck := time.NewTimer(n.cfg.ReplicaTimeout)
	defer replicaCheck.Stop()
	for {
		select {
		case <-w.done:
			return false, nil
		case <-replicaCheck.C:
			n.mu.Lock()
			unreplicated := n.cfg.AllowUnreplicated[class] && !n.replicasReachable()
			n.mu.Unlock()
			if unreplicated {
				return true, nil
			}
		case <-timeout.C:
			return n.cfg.AllowUnreplicated[class], errorIfStrict(n.cfg.AllowUnreplicated[class])
		}
	}
}

func errorIfStrict(alone bool) error {
	if alone {
		return nil
	}
	return errNoReplica
}

// timedOut reports whether a member has been unreachable for longer than ReplicaTimeout. n.mu is held.
func (n *Node) timedOut(name string) bool {
	since, unreachable := n.unreachable[name]
	return unreachable && time.Since(since) > n.cfg.ReplicaTimeout
}

// replicasReachable reports whether this incarnation may act and all its in-sync replicas are reachable and have space.
// n.mu is held.
func (n *Node) replicasReachable() bool {
	return n.owner != nil && len(n.owner.InSync()) > 0 && n.MayAct() &&
		!slices.ContainsFunc(n.owner.InSync(), func(name string) bool { return n.timedOut(name) || n.owner.Full(name) })
}

// removeWaiter removes a waiter that no longer waits. n.mu is held.
func (n *Node) removeWaiter(w waiter) {
	n.waiters = slices.DeleteFunc(n.waiters, func(x waiter) bool { return x.done == w.done })
}

// releaseWaiters wakes the waiters whose positions are replicated. n.mu is held.
func (n *Node) releaseWaiters() {
	highWatermark := n.owner.HighWatermark()
	rest := n.waiters[:0]
	for _, w := range n.waiters {
		if w.position <= highWatermark {
			close(w.done)
		} else {
			rest = append(rest, w)
		}
	}
	clear(n.waiters[len(rest):])
	n.waiters = rest
}

// manage replicates the log, adjusts the set of replicas and starts assigned takeovers until ctx ends.
func (n *Node) manage(ctx context.Context) {
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.wake:
		case <-ticker.C:
			n.adjustReplicas(ctx)
		case <-ctx.Done():
			return
		}
		n.replicate(ctx)
		n.startTakeovers(ctx)
	}
}

// replicate starts a sending goroutine for each replica that has none.
func (n *Node) replicate(ctx context.Context) {
	if !n.MayAct() {
		return // without a lease a successor may already be reading an older replica
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == nil {
		return
	}
	m := n.view.State().Members[n.cfg.Name]
	if m == nil || m.Life != n.current.Number {
		return
	}
	owner := n.owner
	for _, name := range append(slices.Clone(owner.InSync()), n.candidates(m)...) {
		to := n.view.State().Members[name]
		if to == nil || n.sending[name] {
			continue
		}
		if since, unreachable := n.unreachable[name]; unreachable && time.Since(since) < manageInterval {
			continue
		}
		n.sending[name] = true
		n.tasks.Go(func() error {
			n.replicateTo(ctx, owner, name, to.Address)
			return nil
		})
	}
}

// usable reports whether a member can be a replica for this incarnation. n.mu is held.
func (n *Node) usable(name string) bool {
	to := n.view.State().Members[name]
	return to != nil && to.Alive && !to.Leaving && !n.owner.Full(name) && !n.timedOut(name)
}

// candidates returns the members that are to receive the log in addition to the in-sync replicas: the best ranked
// usable members, as many as usable replicas are missing. n.mu is held.
func (n *Node) candidates(m *controlplane.Member) []string {
	missing := max(0, n.cfg.Copies-1)
	for _, name := range m.Keepers {
		if n.usable(name) {
			missing--
		}
	}
	if missing <= 0 { // the usual case; ranking visits all members
		return nil
	}
	rank := n.view.State().RankReplicas(n.cfg.Name, func(name string) bool { return n.usable(name) && !slices.Contains(m.Keepers, name) })
	return rank[:min(len(rank), missing)]
}

// replicateTo sends a replica what it lacks until it is up to date.
func (n *Node) replicateTo(ctx context.Context, owner *replication.Owner, name, address string) {
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
		if needs && !n.startSnapshot(owner, name) {
			return
		}
		n.mu.Lock()
		batch, due := owner.Next(name, time.Now().UnixNano())
		if !due && time.Since(n.answeredAt[name]) > n.cfg.ReplicaTimeout/2 {
			batch, due = owner.Ping(name, time.Now().UnixNano())
		}
		n.mu.Unlock()
		if !due {
			return
		}
		var ack replication.Ack
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		err := peer.Call(call, "Copies.Append", batch, &ack)
		cancel()
		n.mu.Lock()
		if err != nil {
			if _, unreachable := n.unreachable[name]; !unreachable {
				n.unreachable[name] = time.Now()
			}
			owner.HandleNoAck(name)
			n.mu.Unlock()
			return
		}
		delete(n.unreachable, name)
		n.answeredAt[name] = time.Now()
		n.counters.Batches++
		n.counters.Records += int64(len(batch.Records))
		n.counters.Bytes += batchSize(batch)
		if ack.Full {
			n.counters.Full++
		}
		owner.HandleAck(name, ack)
		if n.owner == owner {
			n.releaseWaiters()
		}
		stop := ack.Full || ack.Ended
		throttle := n.replicasReachable() // otherwise strict messages may be waiting for this replica
		n.mu.Unlock()
		if stop {
			return
		}
		if batch.Snapshot > 0 && throttle { // new messages have priority on the link and on this machine
			pause(ctx, time.Duration(float64(batchSize(batch))/float64(max(1, n.cfg.CatchUpRate))*float64(time.Second)))
		}
	}
}

func batchSize(b replication.Batch) (size int64) {
	for _, r := range b.Records {
		size += int64(len(r.Payload))
	}
	return size
}

// startSnapshot makes a snapshot of all messages held now the next thing that a replica is sent.
func (n *Node) startSnapshot(owner *replication.Owner, name string) (ok bool) {
	var records [][]byte
	add := func(past []wal.CompletedID) {
		for _, p := range past {
			records = append(records, wal.CompletedIDRecord(p))
		}
	}
	served := n.router.EndedIDs(add, func(log *wal.Log, rest []wal.CompletedID) { // no record is journalled between the two callbacks
		add(rest)
		held, err := log.Snapshot()
		if err != nil {
			n.cfg.Logger.Warn().Str("part", "copies").Err(err).Msg("the snapshot for a replica is incomplete")
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		owner.Snapshot(name, append(records, held...))
		n.counters.Snapshots++
		ok = true
	})
	return served && ok
}

// adjustReplicas proposes another set of in-sync replicas where the present ones are unreachable, full or too few.
func (n *Node) adjustReplicas(ctx context.Context) {
	if !n.MayAct() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.view.State().Members[n.cfg.Name]
	if n.owner == nil || m == nil || m.Life != n.current.Number || !m.Alive {
		return
	}
	for name, since := range n.unreachable { // members outside the in-sync set are tried again from time to time
		if !slices.Contains(m.Keepers, name) && time.Since(since) > retryTimeouts*n.cfg.ReplicaTimeout {
			delete(n.unreachable, name)
		}
	}
	candidates := n.candidates(m)
	n.owner.SetReplicas(m.Keepers, candidates)
	n.releaseWaiters()
	if n.proposal != nil {
		n.proposeReplicas(ctx) // the outcome is still unknown: retry
		return
	}
	maxReplicas := max(0, n.cfg.Copies-1)
	var proposed []string
	for _, name := range m.Keepers {
		if n.usable(name) && len(proposed) < maxReplicas {
			proposed = append(proposed, name)
		}
	}
	added := 0
	for _, name := range candidates {
		if len(proposed) < maxReplicas && n.owner.CaughtUp(name) {
			proposed = append(proposed, name)
			added++
		}
	}
	for _, name := range m.Keepers { // an unreachable replica stays in sync until another has caught up
		if !slices.Contains(proposed, name) && len(proposed) < maxReplicas {
			proposed = append(proposed, name)
		}
	}
	if slices.Equal(slices.Sorted(slices.Values(proposed)), slices.Sorted(slices.Values(m.Keepers))) || added == 0 && len(proposed) >= len(m.Keepers) {
		return
	}
	n.owner.Propose(proposed)
	n.proposal = &controlplane.Command{Kind: controlplane.SetReplicas, Life: n.current, From: m.Changed, Set: proposed}
	n.proposeReplicas(ctx)
}

// proposeReplicas sends the pending proposal to the control plane, unless a request is under way. Until the outcome is
// known, both the present and the proposed replicas have to acknowledge a record before it counts as replicated. n.mu
// is held.
func (n *Node) proposeReplicas(ctx context.Context) {
	if n.proposing {
		return
	}
	n.proposing = true
	cmd, owner := *n.proposal, n.owner
	n.tasks.Go(func() error {
		r, err := n.propose(ctx, cmd)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.proposing = false
		if n.owner == owner && err == nil && r.Refused != "" {
			owner.ProposalSettled()
			n.proposal = nil
		}
		return nil
	})
}
