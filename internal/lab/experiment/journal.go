package experiment

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinbeam/internal/routing/wal"
	"mulleinbeam/internal/routing/wal/store"
)

// Keeper is a journal under measurement: it keeps messages from their accept to their end.
type Keeper interface {
	// Accept keeps a message; ErrNoRoom says that it should come again.
	Accept(seq uint64, body []byte) error
	Attempt(seq uint64) error // that one went out, and how it ended
	End(seq uint64) error
	Close() error
}

// Engine opens a Keeper in a folder that may hold so many bytes; sync asks for durability beyond the process's end. live is
// told of each message that is there.
type Engine struct {
	Name string
	Open func(dir string, disk int64, sync bool, live func(seq uint64)) (Keeper, error)
}

// ErrNoRoom is a Keeper's refusal.
var ErrNoRoom = errors.New("experiment: no room")

// Segments is the program's own journal, with all bodies on the disk.
var Segments = Engine{"segments", func(dir string, disk int64, sync bool, live func(uint64)) (Keeper, error) {
	o := wal.Options{MaxBytes: disk, BodyMemory: 1}
	if sync {
		o.Durability = store.SyncBatch
	}
	l, err := wal.Open(dir, o, func(string) {})
	if err != nil {
		return nil, err
	}
	for _, m := range l.Live() {
		live(m.Seq)
	}
	return segments{l}, nil
}}

type segments struct{ l *wal.Log }

var deadline = time.Unix(1_900_000_000, 0)

func (s segments) Accept(seq uint64, body []byte) error {
	m := &wal.Message{
		Seq: seq, Deadline: deadline, Destination: 7, ID: fmt.Sprintf("%016x", seq), Class: "fee", Body: body,
	}
	room, fits := s.l.Reserve(m)
	if !fits {
		return ErrNoRoom
	}
	defer room.Release()
	err := s.l.AcceptReserved(room, m)
	if errors.Is(err, wal.ErrFull) { // records of earlier messages wait for room
		return ErrNoRoom
	}
	return err
}

func (s segments) Attempt(seq uint64) error {
	err := errors.Join(s.l.Started(seq, deadline, "zone"), s.l.Outcome(seq, true))
	if errors.Is(err, store.ErrFull) { // the call waits, in the program
		return nil
	}
	return err
}

func (s segments) End(seq uint64) error { return s.l.End(seq, wal.Completed, 0) }

func (s segments) Close() error {
	return errors.Join(s.l.Commit(s.l.LastRecord()), s.l.Close())
}

// Journal measures journals: the same messages through their whole life, with a share of the disk live all the time.
type Journal struct {
	Engines  []Engine
	Dir      string        // for the folders; "" is the system's
	Disks    []int64       // bytes
	Lives    []int         // hundredths of the disk
	Bodies   []int         // bytes
	Longest  time.Duration // of one run's steady part
	Turnover float64       // of one run's steady part: bytes accepted, in shares of the disk
	Sync     bool          // durability beyond the process's end
	Out      io.Writer
}

const journalHead = "engine      disk MB  body   live%   accepts/s   us cpu  p50 us   p99 us  longest ms  waits  written/accepted  disk used%  open s   heap B/message\n"

// Run measures each combination. What would need more than the longest time to fill is cut there, and says so.
func (j Journal) Run() error {
	fmt.Fprint(j.Out, journalHead)
	for _, disk := range j.Disks {
		for _, body := range j.Bodies {
			for _, live := range j.Lives {
				for _, e := range j.Engines {
					if err := j.one(e, disk, body, live); err != nil {
						return fmt.Errorf("%s: %w", e.Name, err)
					}
				}
			}
		}
	}
	return nil
}

// run is one combination under way.
type run struct {
	k       Keeper
	rng     *rand.Rand
	body    []byte
	held    []uint64
	next    uint64
	hist    *hdrhistogram.Histogram
	waits   int
	longest time.Duration
}

// timed does one operation and books how long it took.
func (r *run) timed(f func() error) error {
	from := time.Now()
	err := f()
	took := time.Since(from)
	r.longest = max(r.longest, took)
	_ = r.hist.RecordValue(took.Nanoseconds())
	return err
}

// accept keeps a message, coming again while there is no room; false gives up.
func (r *run) accept(patience time.Duration) (bool, error) {
	until := time.Now().Add(patience)
	for {
		err := r.timed(func() error { return r.k.Accept(r.next, r.body) })
		if err == nil {
			r.held = append(r.held, r.next)
			r.next++
			return true, nil
		}
		if !errors.Is(err, ErrNoRoom) {
			return false, err
		}
		if r.waits++; time.Now().After(until) {
			return false, nil
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// drop ends a message: mostly an old one, as most end in their order.
func (r *run) drop() error {
	i := 0
	if r.rng.IntN(5) == 0 {
		i = r.rng.IntN(len(r.held))
	}
	seq := r.held[i]
	if i == 0 {
		r.held = r.held[1:]
	} else {
		r.held[i] = r.held[len(r.held)-1]
		r.held = r.held[:len(r.held)-1]
	}
	if err := r.timed(func() error { return r.k.Attempt(seq) }); err != nil {
		return err
	}
	return r.timed(func() error { return r.k.End(seq) })
}

func (j Journal) one(e Engine, disk int64, body, live int) error {
	dir, err := os.MkdirTemp(j.Dir, "larklab-journal-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r := &run{rng: rand.New(rand.NewPCG(1, 2)), body: make([]byte, body), next: 1, hist: hdrhistogram.New(100, 60e9, 3)}
	for i := range r.body {
		r.body[i] = byte(r.rng.Uint32())
	}
	if r.k, err = e.Open(dir, disk, j.Sync, func(uint64) {}); err != nil {
		return err
	}
	most := max(1, int(float64(disk)*float64(live)/100)/(body+150)) // what a message takes on the disk, about
	full := false
	for began := time.Now(); len(r.held) < most && !full; {
		ok, err := r.accept(time.Second)
		if err != nil {
			return err
		}
		full = !ok || time.Since(began) > 4*j.Longest
	}
	filled := len(r.held)
	r.hist.Reset()
	r.waits, r.longest = 0, 0
	cpu, wrote, began := cpuNow(), writtenNow(), time.Now()
	steady, stuck := 0, false
	for float64(steady)*float64(body) < j.Turnover*float64(disk) && time.Since(began) < j.Longest && !stuck {
		for len(r.held) >= filled {
			if err := r.drop(); err != nil {
				return err
			}
		}
		ok, err := r.accept(time.Second)
		if err != nil {
			return err
		}
		if stuck = !ok; ok {
			steady++
		}
	}
	took := time.Since(began)
	cpu, wrote = cpuNow()-cpu, writtenNow()-wrote
	used := folderSize(dir)
	if err := r.k.Close(); err != nil {
		return err
	}
	opened, heap, there, err := j.reopen(e, dir, disk)
	if err != nil {
		return err
	}
	note := ""
	if there != len(r.held) {
		note = fmt.Sprintf("  %d MESSAGES FOR %d", there, len(r.held))
	}
	if filled < most {
		note += fmt.Sprintf("  filled to %d%%", 100*filled*(body+150)/int(disk))
	}
	if stuck {
		note += "  stuck"
	}
	accepted := float64(max(1, steady) * body)
	_, err = fmt.Fprintf(j.Out, "%-10s %8d %6d %5d %12.0f %8.1f %7.1f %8.1f %11.2f %6.2f %17.2f %11.0f %7.2f %16.0f%s\n", e.Name, disk/1e6,
		body, live, float64(steady)/took.Seconds(), cpu.Seconds()*1e6/float64(max(1, steady)), float64(r.hist.ValueAtQuantile(50))/1e3,
		float64(r.hist.ValueAtQuantile(99))/1e3, r.longest.Seconds()*1e3, float64(r.waits)/float64(max(1, steady)), float64(wrote)/accepted,
		100*float64(used)/float64(disk), opened.Seconds(), float64(heap)/float64(max(1, there)), note)
	return err
}

// reopen opens what a run has left, and tells how long that takes and what it holds in memory.
func (j Journal) reopen(e Engine, dir string, disk int64) (took time.Duration, heap uint64, there int, err error) {
	before := heapNow()
	began := time.Now()
	k, err := e.Open(dir, disk, j.Sync, func(uint64) { there++ })
	if err != nil {
		return 0, 0, 0, err
	}
	took = time.Since(began)
	if after := heapNow(); after > before {
		heap = after - before
	}
	return took, heap, there, k.Close()
}

func heapNow() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuNow is the processor time that this process has used.
func cpuNow() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// writtenNow is how many bytes this process has passed to write calls.
func writtenNow() int64 {
	raw, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "wchar: "); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
			return n
		}
	}
	return 0
}

// folderSize is what a folder's files take on the disk.
func folderSize(dir string) (total int64) {
	_ = filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		if info, err := d.Info(); err == nil {
			if st, ok := info.Sys().(*syscall.Stat_t); ok {
				total += st.Blocks * 512
			}
		}
		return nil
	})
	return total
}
