// Package plan decides how the journal's space is used: which messages are admitted, when the active segment is
// sealed, which sealed segment is compacted next and at which rate. It does no I/O and has no clock: equal states give
// equal decisions.
//
// It maintains these invariants:
//
//   - All files together, each in whole blocks, stay within the limit at every instant, including the output of a
//     compaction.
//   - A compaction that has started can always finish: the space for its output is never given to anything else.
//   - The records that complete an admitted message can always be written: their space is reserved on admission.
package plan

import (
	"math"
	"time"
)

// Config holds the parameters that do not change while a store is open.
type Config struct {
	MaxBytes     int64 // total size of all files
	SegmentBytes int64 // size at which the active segment is sealed
	BlockSize    int64 // file sizes are rounded up to a multiple of this
	HeaderSize   int64 // of a segment, in bytes
}

// Segment is a sealed segment.
type Segment struct {
	Number    uint64
	Size      int64         // of the file, in bytes
	LiveBytes int64         // of records that are still needed
	Age       time.Duration // since it was sealed
}

// State is the present state of the store.
type State struct {
	ActiveBytes   int64     // size of the active segment's file
	Sealed        []Segment // without Victim
	Victim        *Segment  // segment that is being compacted, or nil
	OutputBytes   int64     // size of the compaction's output so far, header included; 0 if there is no file yet
	ReservedBytes int64     // upper bound of the records that complete all live messages
	AppendRate    float64   // recent rate of appends, in bytes per second
	OtherBytes    int64     // size of all other files, in whole blocks
	// RemovingBytes is the size, in whole blocks, of files that a finished or failed compaction has left to be
	// removed. No compaction starts before they are removed, so they occupy the space reserved for its output.
	RemovingBytes int64
	// Totals are the totals of Sealed and Victim, for callers that ask often; if nil they are computed. With Totals
	// set, only PickVictim and CompactionRate need the segments themselves.
	Totals *Totals
}

// Totals is what admission needs to know of the sealed segments, including the victim.
type Totals struct {
	FileBytes    int64 // size of their files, in whole blocks
	MaxLiveBytes int64 // upper bound of the live bytes of any of them
}

const (
	startFreeShare     = 0.25    // fraction of the limit: compaction starts when less is free
	startFreeSegments  = 4.0     // in segments: compaction also starts when less is free
	urgentFreeSegments = 2.0     // in segments: when less is free the cheapest victim is taken, whatever its age
	minGainDivisor     = 16      // a compaction frees at least 1/16 of a segment, unless work is refused
	finishShare        = 0.5     // a compaction should finish within this fraction of the time until the free space is used up
	minBytesPerSecond  = 1 << 20 // lower bound of the compaction rate
)

// roundToBlocks returns the size that a file of n bytes is accounted for.
func (c Config) roundToBlocks(n int64) int64 {
	return (n + c.BlockSize - 1) / c.BlockSize * c.BlockSize
}

// Add adds a segment of a size, with an upper bound of its live bytes.
func (t *Totals) Add(c Config, size, live int64) {
	t.FileBytes += c.roundToBlocks(size)
	t.MaxLiveBytes = max(t.MaxLiveBytes, live)
}

func (c Config) totals(s State) Totals {
	if s.Totals != nil {
		return *s.Totals
	}
	var t Totals
	for _, seg := range s.Sealed {
		t.Add(c, seg.Size, seg.LiveBytes)
	}
	if s.Victim != nil {
		t.Add(c, s.Victim.Size, s.Victim.LiveBytes)
	}
	return t
}

// Used returns the size of all files.
func (c Config) Used(s State) int64 {
	return c.roundToBlocks(s.ActiveBytes) + s.OtherBytes + c.roundToBlocks(s.OutputBytes) + s.RemovingBytes + c.totals(s).FileBytes
}

// maxOutput returns the largest output that a compaction may need, of the victim or of any segment that may become one.
func (c Config) maxOutput(s State) int64 {
	// The active segment will be sealed, and may be entirely live then.
	return c.roundToBlocks(max(c.SegmentBytes, s.ActiveBytes, c.totals(s).MaxLiveBytes) + c.HeaderSize)
}

// compactionReserve returns the space reserved for the files of a compaction: its output while it is written, and then
// the replaced file until it is removed.
func (c Config) compactionReserve(s State) int64 { return max(c.maxOutput(s), s.RemovingBytes) }

// Free returns the space for new messages: the limit less what is used, reserved for live messages, and reserved for a
// compaction. It may be negative. No step of a compaction lowers it, except a failed removal.
func (c Config) Free(s State) int64 {
	used := c.Used(s) - c.roundToBlocks(s.OutputBytes) - s.RemovingBytes // without files in the space reserved for a compaction
	return c.usableBytes() - used - s.ReservedBytes - c.compactionReserve(s)
}

// usableBytes returns the limit less the last block of the active segment and the header of the next.
func (c Config) usableBytes() int64 { return c.MaxBytes - c.BlockSize - c.HeaderSize }

// outputFits reports whether a compaction of a segment stays within the limit, whatever completes messages meanwhile.
// The reserved space is not available while a replaced file could not be removed. If the files already exceed the
// limit, because it was lowered, they are compacted all the same: nothing else reduces them.
func (c Config) outputFits(s State, seg Segment) bool {
	used := c.Used(s)
	return used > c.MaxBytes || used+s.ReservedBytes+c.roundToBlocks(seg.LiveBytes+c.HeaderSize) <= c.usableBytes()
}

// Admit reports whether a message may be admitted that needs so many bytes now and so many reserved bytes for the
// records that complete it.
func (c Config) Admit(s State, need, reserve int64) bool {
	after := s
	after.ActiveBytes, after.ReservedBytes = s.ActiveBytes+need, s.ReservedBytes+reserve
	return c.Free(after) >= 0
}

// ShouldSeal reports whether a record of need bytes goes into a new segment.
func (c Config) ShouldSeal(s State, need int64) bool {
	return s.ActiveBytes > c.HeaderSize && s.ActiveBytes+need > c.SegmentBytes
}

// gain returns the space that compacting a segment frees.
func (c Config) gain(seg Segment) int64 {
	if seg.LiveBytes == 0 {
		return c.roundToBlocks(seg.Size)
	}
	return c.roundToBlocks(seg.Size) - c.roundToBlocks(seg.LiveBytes+c.HeaderSize)
}

// PickVictim selects the segment to compact next, or false if there is none now. refused means that work is refused
// for lack of space.
//
// A segment without live records costs nothing and is always taken. Otherwise compaction is delayed until space runs
// short: the longer it waits, the more records have become obsolete. Segments are then rated by the space freed per
// byte read and written, weighted by age, since records that have lived long are likely to stay. If space is very
// short, or work is refused, age is ignored.
func (c Config) PickVictim(s State, refused bool) (Segment, bool) {
	if s.Victim != nil || s.RemovingBytes > 0 {
		return Segment{}, false
	}
	free := float64(c.Free(s))
	startBelow := math.Max(startFreeShare*float64(c.MaxBytes), startFreeSegments*float64(c.SegmentBytes))
	minGain := c.SegmentBytes / minGainDivisor
	if refused {
		minGain = c.BlockSize
	}
	var best Segment
	found, score := false, 0.0
	for _, seg := range s.Sealed {
		gain := c.gain(seg)
		if seg.LiveBytes == 0 {
			return seg, true
		}
		if gain < max(1, minGain) || free > startBelow && !refused || !c.outputFits(s, seg) {
			continue
		}
		value := float64(gain) / float64(seg.Size+seg.LiveBytes)
		if !refused && free > urgentFreeSegments*float64(c.SegmentBytes) {
			value *= 1 + seg.Age.Seconds()
		}
		if !found || value > score {
			best, found, score = seg, true, value
		}
	}
	return best, found
}

// CompactionRate returns the bytes per second that the running compaction should copy; +Inf means without a limit. The
// compaction should finish well before the free space is used up at the present rate of appends.
func (c Config) CompactionRate(s State, refused bool) float64 {
	if s.Victim == nil {
		return 0
	}
	free := float64(c.Free(s))
	if refused || free <= 0 {
		return math.Inf(1)
	}
	remaining := math.Max(0, float64(s.Victim.LiveBytes+c.HeaderSize-s.OutputBytes))
	return math.Max(minBytesPerSecond, remaining*s.AppendRate/(finishShare*free))
}
