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

// Keeper is a storage engine under measurement. It stores each message from its acceptance until it is completed.
type Keeper interface {
	// Accept stores a message. It returns ErrNoRoom if the caller has to retry later.
	Accept(seq uint64, body []byte) error
	Attempt(seq uint64) error // records that a delivery attempt was started, and its outcome
	End(seq uint64) error     // removes a completed message
	Close() error
}

// Engine opens a Keeper in a folder that is limited to disk bytes. With sync, accepted messages are synced to the disk,
// so that they survive a crash of the machine as well as of the process. Open calls live for each message that it
// recovers.
type Engine struct {
	Name string
	Open func(dir string, disk int64, sync bool, live func(seq uint64)) (Keeper, error)
}

// ErrNoRoom is returned by Keeper.Accept when the store is full for now.
var ErrNoRoom = errors.New("experiment: message store is full")

// Segments is the forwarder's own journal, configured to keep all message bodies on the disk.
var Segments = Engine{"segments", func(dir string, disk int64, sync bool, live func(uint64)) (Keeper, error) {
	options := wal.Options{MaxBytes: disk, BodyMemory: 1}
	if sync {
		options.Durability = store.SyncBatch
	}
	log, err := wal.Open(dir, options, func(string) {})
	if err != nil {
		return nil, err
	}
	for _, m := range log.Live() {
		live(m.Seq)
	}
	return segments{log}, nil
}}

type segments struct{ log *wal.Log }

var deadline = time.Unix(1_900_000_000, 0)

func (s segments) Accept(seq uint64, body []byte) error {
	m := &wal.Message{
		Seq: seq, Deadline: deadline, Destination: 7, ID: fmt.Sprintf("%016x", seq), Class: "fee", Body: body,
	}
	reservation, fits := s.log.Reserve(m)
	if !fits {
		return ErrNoRoom
	}
	defer reservation.Release()
	err := s.log.AcceptReserved(reservation, m)
	if errors.Is(err, wal.ErrFull) { // records of earlier messages are still waiting for free space
		return ErrNoRoom
	}
	return err
}

func (s segments) Attempt(seq uint64) error {
	err := errors.Join(s.log.Started(seq, deadline, "zone"), s.log.Outcome(seq, true))
	if errors.Is(err, store.ErrFull) { // in the forwarder, the call waits for space instead
		return nil
	}
	return err
}

func (s segments) End(seq uint64) error { return s.log.End(seq, wal.Completed, 0) }

func (s segments) Close() error {
	return errors.Join(s.log.Commit(s.log.LastRecord()), s.log.Close())
}

// Journal compares storage engines under the same workload: messages are accepted, attempted and completed, while live
// messages occupy a fixed share of the disk.
type Journal struct {
	Engines  []Engine
	Dir      string        // parent of the temporary folders; "" is the default of the system
	Disks    []int64       // disk limits, in bytes
	Lives    []int         // shares of the disk that live messages occupy, in percent
	Bodies   []int         // body sizes, in bytes
	Longest  time.Duration // limit on the duration of the steady phase of a run
	Turnover float64       // bytes to accept in the steady phase of a run, as a multiple of the disk limit
	Sync     bool          // sync accepted messages to the disk
	Out      io.Writer
}

const journalHead = "engine      disk MB  body   live%   accepts/s   us cpu  p50 us   p99 us  longest ms  waits  written/accepted  disk used%  open s   heap B/message\n"

// Run measures each combination of disk limit, body size, live share and engine, and prints a line for each. A
// combination whose fill phase takes longer than four times Longest is measured partly filled, and its line notes how
// far it was filled.
func (j Journal) Run() error {
	fmt.Fprint(j.Out, journalHead)
	for _, disk := range j.Disks {
		for _, body := range j.Bodies {
			for _, live := range j.Lives {
				for _, e := range j.Engines {
					if err := j.measure(e, disk, body, live); err != nil {
						return fmt.Errorf("%s: %w", e.Name, err)
					}
				}
			}
		}
	}
	return nil
}

// run is the state of the measurement of one combination.
type run struct {
	store   Keeper
	rng     *rand.Rand
	body    []byte
	live    []uint64
	nextSeq uint64
	latency *hdrhistogram.Histogram
	waits   int
	longest time.Duration
}

// timed runs one operation and records its latency.
func (r *run) timed(f func() error) error {
	from := time.Now()
	err := f()
	took := time.Since(from)
	r.longest = max(r.longest, took)
	_ = r.latency.RecordValue(took.Nanoseconds())
	return err
}

// accept stores the next message and retries while the store is full. It returns false if the store is still full after
// the timeout.
func (r *run) accept(timeout time.Duration) (bool, error) {
	until := time.Now().Add(timeout)
	for {
		err := r.timed(func() error { return r.store.Accept(r.nextSeq, r.body) })
		if err == nil {
			r.live = append(r.live, r.nextSeq)
			r.nextSeq++
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

// complete records an attempt of a live message and completes it. Four times in five this is the first in the list,
// since most messages complete in the order in which they were accepted.
func (r *run) complete() error {
	i := 0
	if r.rng.IntN(5) == 0 {
		i = r.rng.IntN(len(r.live))
	}
	seq := r.live[i]
	if i == 0 {
		r.live = r.live[1:]
	} else {
		r.live[i] = r.live[len(r.live)-1]
		r.live = r.live[:len(r.live)-1]
	}
	if err := r.timed(func() error { return r.store.Attempt(seq) }); err != nil {
		return err
	}
	return r.timed(func() error { return r.store.End(seq) })
}

func (j Journal) measure(e Engine, disk int64, body, live int) error {
	dir, err := os.MkdirTemp(j.Dir, "larklab-journal-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r := &run{rng: rand.New(rand.NewPCG(1, 2)), body: make([]byte, body), nextSeq: 1, latency: hdrhistogram.New(100, 60e9, 3)}
	for i := range r.body {
		r.body[i] = byte(r.rng.Uint32())
	}
	if r.store, err = e.Open(dir, disk, j.Sync, func(uint64) {}); err != nil {
		return err
	}
	most := max(1, int(float64(disk)*float64(live)/100)/(body+150)) // a message takes about 150 bytes on the disk beside its body
	full := false
	for began := time.Now(); len(r.live) < most && !full; {
		ok, err := r.accept(time.Second)
		if err != nil {
			return err
		}
		full = !ok || time.Since(began) > 4*j.Longest
	}
	filled := len(r.live)
	r.latency.Reset()
	r.waits, r.longest = 0, 0
	cpu, wrote, began := cpuNow(), writtenNow(), time.Now()
	steady, stalled := 0, false
	for float64(steady)*float64(body) < j.Turnover*float64(disk) && time.Since(began) < j.Longest && !stalled {
		for len(r.live) >= filled {
			if err := r.complete(); err != nil {
				return err
			}
		}
		ok, err := r.accept(time.Second)
		if err != nil {
			return err
		}
		if stalled = !ok; ok {
			steady++
		}
	}
	took := time.Since(began)
	cpu, wrote = cpuNow()-cpu, writtenNow()-wrote
	used := folderSize(dir)
	if err := r.store.Close(); err != nil {
		return err
	}
	opened, heap, recovered, err := j.reopen(e, dir, disk)
	if err != nil {
		return err
	}
	note := ""
	if recovered != len(r.live) {
		note = fmt.Sprintf("  RECOVERED %d MESSAGES OF %d", recovered, len(r.live))
	}
	if filled < most {
		note += fmt.Sprintf("  filled to %d%%", 100*filled*(body+150)/int(disk))
	}
	if stalled {
		note += "  stalled"
	}
	accepted := float64(max(1, steady) * body)
	_, err = fmt.Fprintf(j.Out, "%-10s %8d %6d %5d %12.0f %8.1f %7.1f %8.1f %11.2f %6.2f %17.2f %11.0f %7.2f %16.0f%s\n", e.Name, disk/1e6,
		body, live, float64(steady)/took.Seconds(), cpu.Seconds()*1e6/float64(max(1, steady)), float64(r.latency.ValueAtQuantile(50))/1e3,
		float64(r.latency.ValueAtQuantile(99))/1e3, r.longest.Seconds()*1e3, float64(r.waits)/float64(max(1, steady)), float64(wrote)/accepted,
		100*float64(used)/float64(disk), opened.Seconds(), float64(heap)/float64(max(1, recovered)), note)
	return err
}

// reopen opens the store that a run has left. It returns how long that takes, the growth of the heap and the number of
// recovered messages.
func (j Journal) reopen(e Engine, dir string, disk int64) (took time.Duration, heap uint64, recovered int, err error) {
	before := heapNow()
	began := time.Now()
	k, err := e.Open(dir, disk, j.Sync, func(uint64) { recovered++ })
	if err != nil {
		return 0, 0, 0, err
	}
	took = time.Since(began)
	if after := heapNow(); after > before {
		heap = after - before
	}
	return took, heap, recovered, k.Close()
}

// heapNow returns the bytes of live heap objects.
func heapNow() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuNow returns the CPU time that this process has used.
func cpuNow() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// writtenNow returns the number of bytes that this process has passed to write calls, or 0 if the kernel does not
// report it.
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

// folderSize returns the disk space that the files of a folder occupy, in bytes.
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
