// Package memory keeps what a forwarder has learned over its lives: breakers, waits, paces and guards of its partners, what
// connections were like, and the ids of messages that have ended of late. It is a help, not a promise: a file that is
// missing, damaged or somebody else's means a cold start, and nothing else.
//
// The file is replaced whole, under another name first. What is read from it is weighed by its age (Figures) before it is
// given out.
package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	mb "mulleinbeam"
	"mulleinbeam/internal/bootclock"
	"mulleinbeam/internal/routing/wal/fsys"
)

const (
	fileName = "learned"
	// steppedFrom is the least step of the wall clock that is reported.
	steppedFrom = time.Second
	fileNew     = fileName + fsys.NewSuffix
)

// Options are what a memory is opened with.
type Options struct {
	FS          fsys.FS
	Name        string        // the forwarder's: what another has learned is not taken over
	MaxBytes    int64         // bytes of the file; while it is replaced two of them are there
	MaxIDs      int           // ended ids that are kept at the most
	IDRetention time.Duration // how long an ended id may still be meant
	Sync        bool          // it is to outlast the machine as well
	Decay       DecayConfig
	Now         func() time.Time
	Clock       *bootclock.Clock // by which times outlast the process; nil has them go by the wall clock
	Report      func(string)
}

// Snapshot is what is kept.
type Snapshot struct {
	Learned mb.LearnedState
	Ended   []Ended // oldest first
}

// Ended is a message that has ended.
type Ended struct {
	ID        string
	Delivered bool
	Age       time.Duration
}

// Memory is what an earlier life has left, and where this one leaves its own. Its methods may be called from any goroutine.
type Memory struct {
	o       Options
	learned mb.LearnedState
	mu      sync.Mutex
	ids     map[xxh3.Uint128]ended // of earlier lives
	saves   Saves
}

// Saves counts what was written.
type Saves struct {
	Files     int64
	Bytes     int64 // of all of them
	LastBytes int64 // bytes of the last
	Failed    int64
}

// Open reads what an earlier life has left. It has no error: what can't be used is told to Report, and the start is cold.
func Open(o Options) *Memory {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Clock == nil {
		o.Clock = &bootclock.Clock{}
	}
	m := &Memory{o: o, ids: map[xxh3.Uint128]ended{}}
	if err := o.FS.Remove(fileNew); err != nil && !errors.Is(err, fs.ErrNotExist) {
		o.Report(fmt.Sprintf("leftover: %v", err))
	}
	c, err := m.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return m
	case err != nil:
		o.Report(fmt.Sprintf("cold start: %v", err))
		return m
	case c.name != o.Name:
		o.Report(fmt.Sprintf("cold start: the file is %q's", c.name))
		return m
	}
	now := o.Now()
	saved, stepped := o.Clock.Time(c.saved, c.stamp)
	if stepped.Abs() > steppedFrom {
		o.Report(fmt.Sprintf("the wall clock was set by %v since the file was saved; times go by the boot's clock", stepped.Round(time.Millisecond)))
	}
	age := now.Sub(saved)
	jumped := age < -o.Decay.ClockTolerance
	if jumped {
		o.Report(fmt.Sprintf("the clock is %v behind the file's: what says go is not believed", -age))
	}
	m.learned = o.Decay.Weigh(c.learned, max(0, age), jumped)
	for _, e := range c.ended {
		left := e.until.Sub(c.saved) - age
		if jumped { // its time counts anew: rather too long than not at all
			left = o.IDRetention
		}
		if left > 0 && left <= o.IDRetention {
			e.until = now.Add(left) // by the clock of this process, which nobody sets
			m.ids[e.id] = e
		}
	}
	return m
}

// read reads the file.
func (m *Memory) read() (content, error) {
	f, err := m.o.FS.Open(fileName)
	if err != nil {
		return content{}, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return content{}, err
	}
	if size > m.o.MaxBytes {
		return content{}, fmt.Errorf("%w: %d bytes, %d are the most", ErrDamaged, size, m.o.MaxBytes)
	}
	b, err := io.ReadAll(io.NewSectionReader(f, 0, size))
	if err != nil {
		return content{}, err
	}
	return decode(b)
}

// Learned is what an earlier life had learned, weighed by its age when it was read.
func (m *Memory) Learned() mb.LearnedState { return m.learned }

// hash names an id in the file. It is bound to the forwarder's name, and 128 bits wide: ids that differ don't meet.
func (m *Memory) hash(id string) xxh3.Uint128 { return xxh3.HashString128(m.o.Name + "\x00" + id) }

// EndedCount is how many ids of ended messages are known of earlier lives.
func (m *Memory) EndedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ids)
}

// Ended says whether a message of that id has ended in an earlier life, and how.
func (m *Memory) Ended(id string) (delivered, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ids) == 0 {
		return false, false
	}
	e, known := m.ids[m.hash(id)]
	if known && !m.o.Now().Before(e.until) {
		return false, false
	}
	return e.delivered, known
}

// Save replaces the file.
func (m *Memory) Save(s Snapshot) error {
	b := m.encode(s)
	_, err := fsys.Replace(m.o.FS, fileName, b, m.o.Sync)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.saves.Failed++
		return fmt.Errorf("memory: %w", err)
	}
	m.saves.Files++
	m.saves.Bytes += int64(len(b))
	m.saves.LastBytes = int64(len(b))
	return nil
}

// Saves tells what was written.
func (m *Memory) Saves() Saves {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.saves
}

// encode writes what fits: lanes first, those seen last before the others, then ids, the youngest before the others.
func (m *Memory) encode(s Snapshot) []byte {
	now := m.o.Now()
	c := content{name: m.o.Name, saved: now, stamp: m.o.Clock.Stamp(now), learned: s.Learned}
	c.ended = m.endedNow(s.Ended, now)
	for {
		b := encode(c)
		over := int64(len(b)) - m.o.MaxBytes
		switch {
		case over <= 0:
			return b
		case len(c.ended) > 0:
			c.ended = c.ended[min(len(c.ended), int(over/endedSize)+1):]
		case len(c.learned.Circuits) > 0:
			lanes := slices.Clone(c.learned.Circuits)
			slices.SortStableFunc(lanes, func(a, b mb.LearnedCircuit) int { return int(min(1, max(-1, a.Seen-b.Seen))) })
			c.learned.Circuits = lanes[:len(lanes)*9/10]
		default:
			return b
		}
	}
}

// endedNow are the ids that may still be meant, oldest first: this life's and those of earlier ones.
func (m *Memory) endedNow(list []Ended, now time.Time) []ended {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]ended, 0, len(list)+len(m.ids))
	for id, e := range m.ids {
		if !now.Before(e.until) {
			delete(m.ids, id)
			continue
		}
		e.until = now.Add(e.until.Sub(now)) // the wall clock may have been set since it was read
		out = append(out, e)
	}
	for _, e := range list {
		if until := now.Add(m.o.IDRetention - e.Age); now.Before(until) {
			out = append(out, ended{m.hash(e.ID), e.Delivered, until})
		}
	}
	slices.SortFunc(out, func(a, b ended) int { return a.until.Compare(b.until) })
	return out[max(0, len(out)-m.o.MaxIDs):]
}

// Run saves what take gives, at intervals and once more when ctx ends. A failure is reported once until a save succeeds.
func (m *Memory) Run(ctx context.Context, interval time.Duration, take func() Snapshot) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	failing := false
	save := func() {
		err := m.Save(take())
		if err != nil && !failing {
			m.o.Report(fmt.Sprintf("not saved, tried again: %v", err))
		}
		failing = err != nil
	}
	for {
		select {
		case <-tick.C:
			save()
		case <-ctx.Done():
			save()
			return
		}
	}
}
