// Package memory keeps what a forwarder has learned across restarts: breakers, waits, rate limits and slow start of its
// destinations, loss counts of connections, and the ids of recently ended messages. Keeping it is best-effort: a file
// that is missing, damaged or another forwarder's leads to a cold start and has no other effect.
//
// The file is replaced atomically, by renaming a new one. The state read from it is weighted by its age, see
// DecayConfig.
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
	// minReportedStep is the smallest step of the wall clock that is reported.
	minReportedStep = time.Second
	tempFileName    = fileName + fsys.NewSuffix
)

// Options configures a Memory.
type Options struct {
	FS          fsys.FS
	Name        string        // name of the forwarder; a file of another forwarder is not used
	MaxBytes    int64         // maximum size of the file; while it is replaced, two files exist
	MaxIDs      int           // maximum number of ids of ended messages in the file
	IDRetention time.Duration // how long the id of an ended message is kept, for deduplication
	Sync        bool          // sync the file, so that it survives a machine crash
	Decay       DecayConfig
	Now         func() time.Time
	Clock       *bootclock.Clock // keeps times valid across processes if the wall clock is set; nil uses the wall clock
	Report      func(string)
}

// Snapshot is the state to save.
type Snapshot struct {
	Learned mb.LearnedState
	Ended   []Ended // oldest first
}

// Ended describes an ended message.
type Ended struct {
	ID        string
	Delivered bool
	Age       time.Duration
}

// Memory holds the state restored from an earlier process and saves that of this one. It is safe for concurrent use.
type Memory struct {
	opts    Options
	learned mb.LearnedState
	mu      sync.Mutex
	ids     map[xxh3.Uint128]endedID // ids of messages that ended in earlier processes
	saves   Saves
}

// Saves counts the saves of the file.
type Saves struct {
	Files     int64
	Bytes     int64 // bytes of all saved files
	LastBytes int64 // bytes of the latest saved file
	Failed    int64
}

// Open restores the state saved by an earlier process. It does not fail: if the file cannot be used, it calls Report
// and starts without learned state.
func Open(o Options) *Memory {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Clock == nil {
		o.Clock = &bootclock.Clock{}
	}
	m := &Memory{opts: o, ids: map[xxh3.Uint128]endedID{}}
	if err := o.FS.Remove(tempFileName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		o.Report(fmt.Sprintf("removing a leftover temporary file: %v", err))
	}
	content, err := m.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return m
	case err != nil:
		o.Report(fmt.Sprintf("cold start: %v", err))
		return m
	case content.name != o.Name:
		o.Report(fmt.Sprintf("cold start: the file belongs to forwarder %q", content.name))
		return m
	}
	now := o.Now()
	saved, stepped := o.Clock.Time(content.saved, content.stamp)
	if stepped.Abs() > minReportedStep {
		o.Report(fmt.Sprintf("the wall clock was set by %v since the file was saved; using the boot clock", stepped.Round(time.Millisecond)))
	}
	age := now.Sub(saved)
	clockSetBack := age < -o.Decay.ClockTolerance
	if clockSetBack {
		o.Report(fmt.Sprintf("the clock is %v behind the file's timestamp: learned rates and latencies get their lowest weight", -age))
	}
	m.learned = o.Decay.Weigh(content.learned, max(0, age), clockSetBack)
	for _, e := range content.ended {
		remaining := e.until.Sub(content.saved) - age
		if clockSetBack { // retention starts anew: keeping an id too long is better than forgetting it
			remaining = o.IDRetention
		}
		if remaining > 0 && remaining <= o.IDRetention {
			e.until = now.Add(remaining) // by this process's monotonic clock, which is never set
			m.ids[e.id] = e
		}
	}
	return m
}

// read reads and decodes the file.
func (m *Memory) read() (fileContent, error) {
	f, err := m.opts.FS.Open(fileName)
	if err != nil {
		return fileContent{}, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return fileContent{}, err
	}
	if size > m.opts.MaxBytes {
		return fileContent{}, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrDamaged, size, m.opts.MaxBytes)
	}
	b, err := io.ReadAll(io.NewSectionReader(f, 0, size))
	if err != nil {
		return fileContent{}, err
	}
	return decode(b)
}

// Learned returns the learned state of an earlier process, weighted by its age when it was read.
func (m *Memory) Learned() mb.LearnedState { return m.learned }

// hash returns the hash that stands for an id in the file. It includes the forwarder's name; 128 bits make collisions
// negligible.
func (m *Memory) hash(id string) xxh3.Uint128 { return xxh3.HashString128(m.opts.Name + "\x00" + id) }

// EndedCount returns the number of known ids of messages that ended in earlier processes.
func (m *Memory) EndedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ids)
}

// Ended reports whether the message with the given id ended in an earlier process, and whether it was delivered.
func (m *Memory) Ended(id string) (delivered, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ids) == 0 {
		return false, false
	}
	e, known := m.ids[m.hash(id)]
	if known && !m.opts.Now().Before(e.until) {
		return false, false
	}
	return e.delivered, known
}

// Save replaces the file atomically.
func (m *Memory) Save(s Snapshot) error {
	b := m.encode(s)
	_, err := fsys.Replace(m.opts.FS, fileName, b, m.opts.Sync)
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

// Saves returns the counts of saves so far.
func (m *Memory) Saves() Saves {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.saves
}

// encode encodes as much of a snapshot as fits into MaxBytes. It drops the oldest ids first, then the circuits that
// were seen least recently.
func (m *Memory) encode(s Snapshot) []byte {
	now := m.opts.Now()
	content := fileContent{name: m.opts.Name, saved: now, stamp: m.opts.Clock.Stamp(now), learned: s.Learned}
	content.ended = m.currentIDs(s.Ended, now)
	for {
		b := encode(content)
		excess := int64(len(b)) - m.opts.MaxBytes
		switch {
		case excess <= 0:
			return b
		case len(content.ended) > 0:
			content.ended = content.ended[min(len(content.ended), int(excess/endedIDSize)+1):]
		case len(content.learned.Circuits) > 0:
			circuits := slices.Clone(content.learned.Circuits)
			slices.SortStableFunc(circuits, func(a, b mb.LearnedCircuit) int { return int(min(1, max(-1, a.Seen-b.Seen))) })
			content.learned.Circuits = circuits[:len(circuits)*9/10]
		default:
			return b
		}
	}
}

// currentIDs returns the ids that have not expired, oldest first: those in list and those of earlier processes.
func (m *Memory) currentIDs(list []Ended, now time.Time) []endedID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]endedID, 0, len(list)+len(m.ids))
	for id, e := range m.ids {
		if !now.Before(e.until) {
			delete(m.ids, id)
			continue
		}
		e.until = now.Add(e.until.Sub(now)) // the wall clock may have been set since the file was read
		out = append(out, e)
	}
	for _, e := range list {
		if until := now.Add(m.opts.IDRetention - e.Age); now.Before(until) {
			out = append(out, endedID{m.hash(e.ID), e.Delivered, until})
		}
	}
	slices.SortFunc(out, func(a, b endedID) int { return a.until.Compare(b.until) })
	return out[max(0, len(out)-m.opts.MaxIDs):]
}

// Run saves the result of snapshot at each interval and once more when ctx is done. After a failure, further failures
// are not reported until a save succeeds.
func (m *Memory) Run(ctx context.Context, interval time.Duration, snapshot func() Snapshot) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	failing := false
	save := func() {
		err := m.Save(snapshot())
		if err != nil && !failing {
			m.opts.Report(fmt.Sprintf("save failed, retrying: %v", err))
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
