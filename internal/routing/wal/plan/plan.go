// Package plan decides on the journal's space: what is admitted, when the active segment is sealed, which sealed segment
// is compacted next and how fast. It does no input or output and has no clock: equal states give equal decisions.
//
// The rules it keeps, whatever comes:
//
//   - All files together, each in whole blocks, stay within the bound at every instant, a compaction's output included.
//   - A compaction that was begun can always finish: room for its output is never given to anything else.
//   - What ends a message that was admitted can always be written: room for that is set aside with its admission.
package plan

import (
	"math"
	"time"
)

// Config is what does not change while a store is open.
type Config struct {
	MaxBytes   int64 // bytes of all files together
	SegmentBytes int64 // size at which the active segment is sealed
	BlockSize   int64 // files are counted in whole ones of these
	HeaderSize    int64 // bytes of a segment beside its records
}

// Segment is a sealed one.
type Segment struct {
	Number uint64
	Size   int64         // of its file, in bytes
	LiveBytes   int64         // of its records, those that are still needed
	Age    time.Duration // since it was sealed
}

// State is the store as it is now.
type State struct {
	ActiveBytes  int64     // bytes of the active segment's file
	Sealed  []Segment // but for the one that is being compacted,
	Victim  *Segment  // which is this
	OutputBytes int64     // bytes of the file that its compaction has written so far, its head included; 0 is no file yet
	ReservedBytes    int64     // bytes that the records which end all live messages may take, at the most
	AppendRate    float64   // bytes a second that are appended, of late
	OtherBytes   int64     // bytes of all other files, in whole blocks
	// RemovingBytes is bytes, in whole blocks, of files that a compaction has replaced or given up and that are to be removed. No
	// compaction begins before they are, so that these files stand in room that is set aside for the next output.
	RemovingBytes int64
	// Totals are those of Sealed and Victim, for who asks often; nil has them worked out, and a state that carries them
	// needs the segments themselves only for Pick and Pace.
	Totals *Totals
}

// Totals are what admission needs of the sealed segments, the victim among them.
type Totals struct {
	FileBytes  int64 // bytes of their files, in whole blocks
	MaxLiveBytes int64 // bytes that are live in any of them, at the most
}

const (
	startShare = 0.25 // of the bound: with less free, compaction begins
	startLeast = 4.0  // segments free, at the least, before it may wait
	hurryLeast = 2.0  // segments free under which the cheapest is taken, whatever its age
	gainLeast  = 16   // a compaction frees this part of a segment at the least, unless work is refused
	slackTime  = 0.5  // of the time until the room is used up: within this a compaction is to be over
	leastPace  = 1 << 20
)

// blocks is a file's size as it counts.
func (c Config) blocks(n int64) int64 { return (n + c.BlockSize - 1) / c.BlockSize * c.BlockSize }

// Add books a segment of so many bytes, of which so many are live at the most.
func (t *Totals) Add(c Config, size, live int64) {
	t.FileBytes += c.blocks(size)
	t.MaxLiveBytes = max(t.MaxLiveBytes, live)
}

func (c Config) totals(s State) Totals {
	if s.Totals != nil {
		return *s.Totals
	}
	var t Totals
	for _, g := range s.Sealed {
		t.Add(c, g.Size, g.LiveBytes)
	}
	if s.Victim != nil {
		t.Add(c, s.Victim.Size, s.Victim.LiveBytes)
	}
	return t
}

// Used is what all files take now.
func (c Config) Used(s State) int64 {
	return c.blocks(s.ActiveBytes) + s.OtherBytes + c.blocks(s.OutputBytes) + s.RemovingBytes + c.totals(s).FileBytes
}

// largest is the largest output that a compaction may need: of the victim, or of any segment that may become one.
func (c Config) largest(s State) int64 {
	// The active one is sealed some day, and may be all live then.
	return c.blocks(max(c.SegmentBytes, s.ActiveBytes, c.totals(s).MaxLiveBytes) + c.HeaderSize)
}

// setAside is the room kept for a compaction's files: its output while it is written, then, beside an output that counts as a
// segment, the replaced file until it is removed.
func (c Config) setAside(s State) int64 { return max(c.largest(s), s.RemovingBytes) }

// Free is what may still be appended for new messages: the bound less what is used, what ends messages, and what a
// compaction needs. It may be negative. No step of a compaction lowers it, but for a removal that fails.
func (c Config) Free(s State) int64 {
	kept := c.Used(s) - c.blocks(s.OutputBytes) - s.RemovingBytes // all that does not stand in what is set aside
	return c.room() - kept - s.ReservedBytes - c.setAside(s)
}

// room is the bound less the active segment's last block and the head of the next.
func (c Config) room() int64 { return c.MaxBytes - c.BlockSize - c.HeaderSize }

// outputFits says whether a compaction of a segment stays within the bound, whatever ends messages meanwhile. What is set aside
// is not there where a replaced file could not be removed. Files beyond the bound, of a store whose bound was lowered, are
// compacted all the same: nothing else makes them fewer.
func (c Config) outputFits(s State, g Segment) bool {
	used := c.Used(s)
	return used > c.MaxBytes || used+s.ReservedBytes+c.blocks(g.LiveBytes+c.HeaderSize) <= c.room()
}

// Admit says whether a message may be taken on: need bytes now, and owed bytes for what ends it.
func (c Config) Admit(s State, need, owed int64) bool {
	after := s
	after.ActiveBytes, after.ReservedBytes = s.ActiveBytes+need, s.ReservedBytes+owed
	return c.Free(after) >= 0
}

// ShouldSeal says whether a record of need bytes goes into a new segment.
func (c Config) ShouldSeal(s State, need int64) bool { return s.ActiveBytes > c.HeaderSize && s.ActiveBytes+need > c.SegmentBytes }

// gain is what compacting a segment frees.
func (c Config) gain(g Segment) int64 {
	if g.LiveBytes == 0 {
		return c.blocks(g.Size)
	}
	return c.blocks(g.Size) - c.blocks(g.LiveBytes+c.HeaderSize)
}

// PickVictim chooses the segment to compact next; false is none for now. refused says that work is turned away for want of
// room. A segment with nothing live in it costs nothing and is always taken. Else it waits until room gets short: the
// longer it waits, the more has died by itself. Then what counts is the room freed for the bytes moved, and how long the
// rest has stayed, since what is old will stay; when room is very short only the former.
func (c Config) PickVictim(s State, refused bool) (Segment, bool) {
	if s.Victim != nil || s.RemovingBytes > 0 {
		return Segment{}, false
	}
	free := float64(c.Free(s))
	begin := math.Max(startShare*float64(c.MaxBytes), startLeast*float64(c.SegmentBytes))
	least := c.SegmentBytes / gainLeast
	if refused {
		least = c.BlockSize
	}
	var best Segment
	found, score := false, 0.0
	for _, g := range s.Sealed {
		gain := c.gain(g)
		if g.LiveBytes == 0 {
			return g, true
		}
		if gain < max(1, least) || free > begin && !refused || !c.outputFits(s, g) {
			continue
		}
		value := float64(gain) / float64(g.Size+g.LiveBytes)
		if !refused && free > hurryLeast*float64(c.SegmentBytes) {
			value *= 1 + g.Age.Seconds()
		}
		if !found || value > score {
			best, found, score = g, true, value
		}
	}
	return best, found
}

// CompactionRate is how many bytes a second the compaction under way should move; +Inf is as many as it can. It is to be over well
// before what is free is used up at the present rate.
func (c Config) CompactionRate(s State, refused bool) float64 {
	if s.Victim == nil {
		return 0
	}
	free := float64(c.Free(s))
	if refused || free <= 0 {
		return math.Inf(1)
	}
	left := math.Max(0, float64(s.Victim.LiveBytes+c.HeaderSize-s.OutputBytes))
	return math.Max(leastPace, left*s.AppendRate/(slackTime*free))
}
