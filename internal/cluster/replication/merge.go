package replication

import (
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/routing/wal"
)

// Content is what is known of one life's messages: those that are not over by their number, and the ids of those that are.
type Content struct {
	Messages map[uint64]*wal.Message
	Past     map[string]wal.Past
}

// ContentOf takes what a copy says, with the owner's times put on the keeper's clock.
func ContentOf(c *wal.Copy, skew time.Duration) Content {
	out := Content{Messages: map[uint64]*wal.Message{}, Past: map[string]wal.Past{}}
	for _, m := range c.Messages() {
		moved := *m
		moved.Shift(skew)
		out.Messages[m.Seq] = &moved
	}
	for _, p := range c.Past() {
		p.At = p.At.Add(skew)
		out.Past[p.ID] = p
	}
	return out
}

// Merge is what holds where copies of one life's log differ. It commutes, associates and is idempotent, so that it does not matter
// who merges what with whom, and in which order. The table is docs/design/replication.md's:
//
//	over                            over everything: an id that is over for one is over
//	given up, handed back           over whatever has no end
//	may have run                    over a call that is out, over never begun
//	two calls that may have run     the earlier, from which a key's window is counted
//	delivered                       over given up, of ids that are over
func Merge(a, b Content) Content {
	out := Content{Messages: map[uint64]*wal.Message{}, Past: maps.Clone(a.Past)}
	if out.Past == nil {
		out.Past = map[string]wal.Past{}
	}
	for id, p := range b.Past {
		if old, twice := out.Past[id]; twice {
			p.Delivered = p.Delivered || old.Delivered
			if old.At.After(p.At) {
				p.At = old.At
			}
		}
		out.Past[id] = p
	}
	for _, from := range []map[uint64]*wal.Message{a.Messages, b.Messages} {
		for seq, m := range from {
			if _, over := out.Past[m.ID]; over {
				continue
			}
			if old := out.Messages[seq]; old != nil {
				m = wal.Merged(old, m)
			}
			out.Messages[seq] = m
		}
	}
	return out
}

// Ordered gives the messages in the order in which they were accepted.
func (c Content) Ordered() []*wal.Message {
	var out []*wal.Message
	for _, seq := range slices.Sorted(maps.Keys(c.Messages)) {
		out = append(out, c.Messages[seq])
	}
	return out
}

// Ranges digests messages that are not over by ranges of their numbers, so that two sides can tell where they differ without
// showing each other all of it. Ids that are over are left out: each side forgets them in its own time.
func Ranges(messages []*wal.Message) [RangeCount]uint64 {
	var out [RangeCount]uint64
	for _, m := range messages {
		out[m.Seq/rangeWidth%RangeCount] += wal.Digest(m) // a sum: no order
	}
	return out
}

// RangeCount is the number of ranges, and rangeWidth how many messages in a row share one.
const (
	RangeCount = 64
	rangeWidth = 16
)
