package observation

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// hash identifies a record.
func (r Record) hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, byte(r.Kind))
	for _, v := range []uint64{uint64(r.Destination), r.Life, r.Serial} {
		buffer = binary.LittleEndian.AppendUint64(buffer, v)
	}
	buffer = append(append(append(buffer, r.Endpoint...), 0), r.Origin...)
	return xxh3.Hash(buffer)
}

// Each new record is pushed to fanout members chosen at random on a tick, until it was pushed ln(n)+extraPushes times
// from here. If every member that receives it does the same, all but a share of e^-(ln n+extraPushes) are reached: in
// one of twenty fleets one member is missed. A member that was missed receives the record when digests are compared.
const (
	fanout         = 3
	extraPushes    = 3
	maxPushRecords = 256 // records per push
	digestTicks    = 50  // ticks between two comparisons of digests
	probeTicks     = 10  // ticks after which a member is contacted anyway, to check that it is reachable
)

// update is a record that is still being pushed.
type update struct {
	id        uint64
	key       recordKey
	origin    string
	remaining int
}

// Gossip decides which records are sent to which members on each tick. It is not safe for concurrent use.
type Gossip struct {
	store    *Store
	rng      *rand.Rand
	pending  []update
	ticks    int
	unsynced bool // nothing was compared yet: a forwarder that has just started requests all records of a member
}

// NewGossip returns the gossip of a store.
func NewGossip(store *Store, seed uint64) *Gossip {
	// The start value varies with the seed, so that not all members compare digests on the same tick.
	return &Gossip{store: store, rng: rand.New(rand.NewPCG(seed, 0)), ticks: int(seed % digestTicks), unsynced: true}
}

// Push is a message to one member. Compare requests all records that the receiver knows, if its digest differs.
type Push struct {
	To      string
	Facts   []Record
	Compare bool
	Digest  uint64
}

// Enqueue queues records that are new here for forwarding.
func (g *Gossip) Enqueue(members int, records ...Record) {
	pushes := int(math.Ceil(math.Log(float64(max(1, members))))) + extraPushes
	for _, record := range records {
		g.pending = append(g.pending, update{record.hash(), record.key(), record.Origin, pushes})
	}
}

// Tick returns the pushes to send now; members are all members except this one.
func (g *Gossip) Tick(now time.Duration, members []string) (pushes []Push) {
	g.ticks++
	compare := g.ticks%digestTicks == 0 || g.unsynced
	probe := g.ticks%probeTicks == 0
	if len(members) == 0 || len(g.pending) == 0 && !compare && !probe {
		return nil
	}
	g.unsynced = false
	targets := slices.Clone(members)
	n := min(fanout, len(targets))
	for i := range n {
		j := i + g.rng.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
	}
	if len(g.pending) == 0 {
		n = 1
	}
	for i := range n {
		push := Push{To: targets[i], Facts: g.nextRecords(now)}
		if compare && i == 0 {
			push.Compare, push.Digest = true, g.store.Digest(now)
		}
		if len(push.Facts) > 0 || push.Compare || probe {
			pushes = append(pushes, push)
		}
	}
	return pushes
}

// nextRecords returns the records of one push and drops those that were replaced or have expired meanwhile.
func (g *Gossip) nextRecords(now time.Duration) (records []Record) {
	remaining := g.pending[:0]
	for _, update := range g.pending {
		entry := g.store.entries[update.key][update.origin]
		if entry == nil || entry.Record.hash() != update.id || g.store.expired(entry, now) {
			continue
		}
		if len(records) < maxPushRecords {
			records = append(records, g.store.outgoing(entry, now))
			update.remaining--
		}
		if update.remaining > 0 {
			remaining = append(remaining, update)
		}
	}
	g.pending = remaining
	return records
}
