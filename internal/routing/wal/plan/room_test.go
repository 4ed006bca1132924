package plan

import (
	"testing"

	"pgregory.net/rapid"
)

// compaction is a model of one compaction at a time, step by step, with nothing appended in between.
type compaction struct {
	c Config
	s State
}

func (m *compaction) begin(victim Segment) {
	for i, g := range m.s.Sealed {
		if g.Number == victim.Number {
			m.s.Sealed = append(m.s.Sealed[:i:i], m.s.Sealed[i+1:]...)
			break
		}
	}
	m.s.Victim = &victim
}

// publish has the output count in the victim's place.
func (m *compaction) publish() {
	victim := *m.s.Victim
	if m.s.OutputBytes > 0 {
		m.s.Sealed = append(m.s.Sealed, Segment{Number: victim.Number + 1000, Size: m.s.OutputBytes, LiveBytes: victim.LiveBytes})
	}
	m.s.RemovingBytes = m.c.blocks(victim.Size)
	m.s.Victim, m.s.OutputBytes = nil, 0
}

// fail has the victim stay and the output go.
func (m *compaction) fail() {
	m.s.Sealed = append(m.s.Sealed, *m.s.Victim)
	m.s.RemovingBytes = m.c.blocks(m.s.OutputBytes)
	m.s.Victim, m.s.OutputBytes = nil, 0
}

// Guards against a free room that falls because a compaction goes on, is published, fails or has its victim removed, and against
// files that pass the bound at one of these moments.
func TestNoStepOfACompactionLowersTheFreeRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config(4<<20, 128<<10)
		m := compaction{c: c, s: State{ActiveBytes: c.HeaderSize + rapid.Int64Range(0, c.SegmentBytes).Draw(t, "active"), OtherBytes: 4 * c.BlockSize}}
		m.s.ReservedBytes = rapid.Int64Range(0, 200<<10).Draw(t, "owed")
		for number := uint64(1); number < 40; number++ {
			size := c.HeaderSize + rapid.Int64Range(1, c.SegmentBytes).Draw(t, "size")
			m.s.Sealed = append(m.s.Sealed, Segment{Number: number, Size: size, LiveBytes: rapid.Int64Range(0, size-c.HeaderSize).Draw(t, "live")})
			if c.Free(m.s) < 0 {
				m.s.Sealed = m.s.Sealed[:len(m.s.Sealed)-1]
				break
			}
		}
		free := c.Free(m.s)
		check := func(step string) {
			now := c.Free(m.s)
			if now < free {
				t.Fatalf("%d bytes free behind %s, %d before", now, step, free)
			}
			free = now
			if used := c.Used(m.s); used > c.MaxBytes {
				t.Fatalf("%d bytes used of %d behind %s", used, c.MaxBytes, step)
			}
		}
		for range 20 {
			victim, ok := c.PickVictim(m.s, true)
			if !ok {
				return
			}
			m.begin(victim)
			check("the beginning")
			for m.s.OutputBytes < victim.LiveBytes+c.HeaderSize && victim.LiveBytes > 0 {
				m.s.OutputBytes = min(victim.LiveBytes+c.HeaderSize, m.s.OutputBytes+rapid.Int64Range(1, 64<<10).Draw(t, "written"))
				check("a write")
			}
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				m.fail()
				check("a failure")
			} else {
				m.publish()
				check("the publishing")
			}
			if rapid.IntRange(0, 5).Draw(t, "stranded") > 0 {
				m.s.RemovingBytes = 0
				check("a removal")
			} else { // a failing disk may lower the room; the bound holds all the same
				m.s.OtherBytes, m.s.RemovingBytes = m.s.OtherBytes+m.s.RemovingBytes, 0
				free = c.Free(m.s)
				check("a failed removal")
			}
		}
	})
}
