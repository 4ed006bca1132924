package replication

import (
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/routing/wal"
)

// Content is what is known of the messages of one incarnation: those not yet completed, by sequence number, and the IDs
// of those that are.
type Content struct {
	Messages map[uint64]*wal.Message
	Past     map[string]wal.CompletedID
}

// ContentOf returns the content of a replica, with the owner's times converted to the replica's clock.
func ContentOf(c *wal.ReplicaState, skew time.Duration) Content {
	out := Content{Messages: map[uint64]*wal.Message{}, Past: map[string]wal.CompletedID{}}
	for _, m := range c.Messages() {
		shifted := *m
		shifted.ShiftTimes(skew)
		out.Messages[m.Seq] = &shifted
	}
	for _, p := range c.CompletedIDs() {
		p.At = p.At.Add(skew)
		out.Past[p.ID] = p
	}
	return out
}

// Merge combines two differing replicas of one incarnation's log. It is commutative, associative and idempotent, so the
// result does not depend on which replicas are merged in which order. The rules are those of
// docs/design/replication.md:
//
//	completed                       wins over everything: an ID completed in one replica is completed
//	abandoned, returned             win over a message without an ending
//	may have run                    wins over a call in progress, which wins over never started
//	two calls that may have run     the earlier wins; a key's deduplication window counts from it
//	delivered                       wins over abandoned, for completed IDs
func Merge(a, b Content) Content {
	out := Content{Messages: map[uint64]*wal.Message{}, Past: maps.Clone(a.Past)}
	if out.Past == nil {
		out.Past = map[string]wal.CompletedID{}
	}
	for id, p := range b.Past {
		if old, both := out.Past[id]; both {
			p.Delivered = p.Delivered || old.Delivered
			if old.At.After(p.At) {
				p.At = old.At
			}
		}
		out.Past[id] = p
	}
	for _, messages := range []map[uint64]*wal.Message{a.Messages, b.Messages} {
		for seq, m := range messages {
			if _, completed := out.Past[m.ID]; completed {
				continue
			}
			if old := out.Messages[seq]; old != nil {
				m = wal.Merge(old, m)
			}
			out.Messages[seq] = m
		}
	}
	return out
}

// Ordered returns the messages in the order in which they were accepted.
func (c Content) Ordered() []*wal.Message {
	var out []*wal.Message
	for _, seq := range slices.Sorted(maps.Keys(c.Messages)) {
		out = append(out, c.Messages[seq])
	}
	return out
}

// Ranges returns digests of the messages that are not completed, one for each range of sequence numbers. Two sides
// compare them to find where they differ without exchanging the messages. Completed IDs are left out because each side
// expires them on its own schedule.
func Ranges(messages []*wal.Message) [RangeCount]uint64 {
	var out [RangeCount]uint64
	for _, m := range messages {
		out[m.Seq/rangeWidth%RangeCount] += wal.Digest(m) // a sum does not depend on the order
	}
	return out
}

// RangeCount is the number of digests, and rangeWidth the number of consecutive messages that share one.
const (
	RangeCount = 64
	rangeWidth = 16
)
