package plan

import (
	"testing"

	"pgregory.net/rapid"
)

// compaction models one compaction at a time, step by step, without appends in between.
type compaction struct {
	config Config
	state  State
}

func (m *compaction) begin(victim Segment) {
	for i, seg := range m.state.Sealed {
		if seg.Number == victim.Number {
			m.state.Sealed = append(m.state.Sealed[:i:i], m.state.Sealed[i+1:]...)
			break
		}
	}
	m.state.Victim = &victim
}

// publish replaces the victim by the output.
func (m *compaction) publish() {
	victim := *m.state.Victim
	if m.state.OutputBytes > 0 {
		m.state.Sealed = append(m.state.Sealed, Segment{Number: victim.Number + 1000, Size: m.state.OutputBytes, LiveBytes: victim.LiveBytes})
	}
	m.state.RemovingBytes = m.config.roundToBlocks(victim.Size)
	m.state.Victim, m.state.OutputBytes = nil, 0
}

// fail keeps the victim and leaves the output to be removed.
func (m *compaction) fail() {
	m.state.Sealed = append(m.state.Sealed, *m.state.Victim)
	m.state.RemovingBytes = m.config.roundToBlocks(m.state.OutputBytes)
	m.state.Victim, m.state.OutputBytes = nil, 0
}

// Guards against free space that shrinks while a compaction proceeds, is published, fails or has its victim removed,
// and against files that exceed the limit at any of these steps.
func TestCompactionStepsNeverLowerFreeSpace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config(4<<20, 128<<10)
		m := compaction{config: c, state: State{ActiveBytes: c.HeaderSize + rapid.Int64Range(0, c.SegmentBytes).Draw(t, "active"), OtherBytes: 4 * c.BlockSize}}
		m.state.ReservedBytes = rapid.Int64Range(0, 200<<10).Draw(t, "reserved")
		for number := uint64(1); number < 40; number++ {
			size := c.HeaderSize + rapid.Int64Range(1, c.SegmentBytes).Draw(t, "size")
			m.state.Sealed = append(m.state.Sealed, Segment{Number: number, Size: size, LiveBytes: rapid.Int64Range(0, size-c.HeaderSize).Draw(t, "live")})
			if c.Free(m.state) < 0 {
				m.state.Sealed = m.state.Sealed[:len(m.state.Sealed)-1]
				break
			}
		}
		free := c.Free(m.state)
		check := func(step string) {
			now := c.Free(m.state)
			if now < free {
				t.Fatalf("%d bytes free after %s, %d before", now, step, free)
			}
			free = now
			if used := c.Used(m.state); used > c.MaxBytes {
				t.Fatalf("%d bytes used of %d after %s", used, c.MaxBytes, step)
			}
		}
		for range 20 {
			victim, ok := c.PickVictim(m.state, true)
			if !ok {
				return
			}
			m.begin(victim)
			check("the start")
			for m.state.OutputBytes < victim.LiveBytes+c.HeaderSize && victim.LiveBytes > 0 {
				m.state.OutputBytes = min(victim.LiveBytes+c.HeaderSize, m.state.OutputBytes+rapid.Int64Range(1, 64<<10).Draw(t, "written"))
				check("a write")
			}
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				m.fail()
				check("a failure")
			} else {
				m.publish()
				check("the publication")
			}
			if rapid.IntRange(0, 5).Draw(t, "stranded") > 0 {
				m.state.RemovingBytes = 0
				check("a removal")
			} else { // a failed removal may lower the free space; the limit holds nevertheless
				m.state.OtherBytes, m.state.RemovingBytes = m.state.OtherBytes+m.state.RemovingBytes, 0
				free = c.Free(m.state)
				check("a failed removal")
			}
		}
	})
}
