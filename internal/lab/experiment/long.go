// Package experiment measures the real program between the laboratory's peers. What it gives are figures of one machine
// on one day: only ratios between runs of one call mean something elsewhere.
package experiment

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinbeam/internal/lab"
)

// Long is the experiment on long bodies.
type Long struct {
	Program []string // the forwarder
	Relay   []string // a bare relay: takes an address to listen at and one to pass on to
	Small   int64    // bytes of the smaller body
	Size    int64    // bytes of the larger one
	Rate    int64    // bytes a second of the peer that is throttled
	Out     io.Writer
}

const settings = `[bodies]
slots = 4
idle = "30s"
`

// bench is a forwarder with one endpoint, ready to be measured.
type bench struct {
	f     *lab.Forwarder
	p     *lab.Endpoint
	quick *lab.Endpoint
	agent *lab.Agent
	dir   string
}

// start lays out one run. handle answers long calls.
func (l Long) start(handle func(*lab.Call) bool) (*bench, error) {
	dir, err := os.MkdirTemp("", "larklab-")
	if err != nil {
		return nil, err
	}
	b := &bench{
		dir: dir, agent: &lab.Agent{}, p: &lab.Endpoint{Name: "p", Group: 7, Handle: handle},
		quick: &lab.Endpoint{Name: "quick", Group: 8},
	}
	b.f = &lab.Forwarder{Command: l.Program, Settings: settings}
	for _, step := range []func() error{
		b.p.Listen, b.quick.Listen, func() error { return b.agent.Listen(b.p, b.quick) },
		func() error { return b.f.Prepare(dir, b.agent) }, b.f.Start,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *bench) stop() {
	b.f.Kill()
	b.p.Close()
	b.quick.Close()
	b.agent.Close()
	_ = os.RemoveAll(b.dir)
}

func handover(id string, size int64) lab.Handover {
	return lab.Handover{
		ID: id, Key: "k", Class: "unsafe", Destination: 7, Left: 30 * time.Minute, Body: lab.Content{Seed: 1, Size: size},
	}
}

// moved is one transfer's figures.
type moved struct {
	bytes   int64
	took    time.Duration
	cpu     float64
	peak    int64
	correct bool
}

func (m moved) row(what string) string {
	return fmt.Sprintf("%-44s %6d MiB  %7.1f s  %7.0f MB/s  peak %5.1f MB  cpu %5.2f s/GiB  %s", what, m.bytes>>20,
		m.took.Seconds(), float64(m.bytes)/1e6/m.took.Seconds(), float64(m.peak)/1e6, m.cpu/(float64(m.bytes)/(1<<30)),
		map[bool]string{true: "bytes right", false: "BYTES WRONG"}[m.correct])
}

// transfer moves one body through the forwarder, up or back as an answer.
func (l Long) transfer(size, clientRate, endpointRate int64, back bool) (moved, error) {
	content := lab.Content{Seed: 1, Size: size}
	arrived := make(chan uint64, 1)
	b, err := l.start(func(c *lab.Call) bool {
		if c.ReadAll(endpointRate) != nil {
			return false
		}
		arrived <- c.Digest()
		if back {
			return c.AnswerWith(content, "length") == nil
		}
		return c.Answer(200, "") == nil
	})
	if err != nil {
		return moved{}, err
	}
	defer b.stop()
	h := handover("one", size)
	h.Rate = clientRate
	if back {
		h.Body.Size = 1 << 20
	}
	want := content.Digest()
	c, err := lab.Dial(b.f.Address())
	if err != nil {
		return moved{}, err
	}
	defer c.Close()
	began := time.Now()
	a := c.Hand(h, nil)
	m := moved{bytes: size, took: time.Since(began)}
	if a.Status != 200 {
		return m, fmt.Errorf("answered %d, %v:\n%s", a.Status, a.Err, b.f.Log())
	}
	if got := <-arrived; back {
		m.correct = a.Whole && a.Digest == want
	} else {
		m.correct = got == want
	}
	if m.cpu, err = b.f.CPUSeconds(); err != nil {
		return m, err
	}
	m.peak, err = b.f.PeakMemory()
	return m, err
}

// relayed moves one body through the bare relay.
func (l Long) relayed(size int64) (moved, error) {
	content := lab.Content{Seed: 1, Size: size}
	arrived := make(chan uint64, 1)
	p := &lab.Endpoint{Name: "p", Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		arrived <- c.Digest()
		return c.Answer(200, "") == nil
	}}
	if err := p.Listen(); err != nil {
		return moved{}, err
	}
	defer p.Close()
	cmd := exec.Command(l.Relay[0], append(l.Relay[1:], p.Address())...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return moved{}, err
	}
	if err := cmd.Start(); err != nil {
		return moved{}, err
	}
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	}()
	line := make([]byte, 64)
	n, err := out.Read(line)
	if err != nil {
		return moved{}, err
	}
	c, err := lab.Dial(strings.TrimSpace(string(line[:n])))
	if err != nil {
		return moved{}, err
	}
	defer c.Close()
	began := time.Now()
	a := c.Hand(handover("one", size), nil)
	m := moved{bytes: size, took: time.Since(began)}
	m.correct = a.Status == 200 && <-arrived == content.Digest()
	if m.cpu, err = lab.ProcessCPU(cmd.Process.Pid); err != nil {
		return m, err
	}
	m.peak, err = lab.ProcessPeak(cmd.Process.Pid)
	return m, err
}

// Run measures all and prints it.
func (l Long) Run() error {
	say := func(format string, args ...any) { fmt.Fprintf(l.Out, format+"\n", args...) }
	for _, c := range []struct {
		what             string
		client, endpoint int64
		back             bool
	}{
		{"fast client, throttled endpoint", 0, l.Rate, false},
		{"throttled client, fast endpoint", l.Rate, 0, false},
		{"back as an answer", 0, 0, true},
	} {
		var peaks []int64
		for _, size := range []int64{l.Small, l.Size} {
			m, err := l.transfer(size, c.client, c.endpoint, c.back)
			if err != nil {
				return fmt.Errorf("%s: %w", c.what, err)
			}
			say("%s", m.row(c.what))
			peaks = append(peaks, m.peak)
		}
		say("  peak memory with the larger body over that with the smaller: %.2f", float64(peaks[1])/float64(peaks[0]))
	}
	var ours, bare []moved
	for range 3 { // in turn, so that both meet the machine's moods
		m, err := l.transfer(l.Size, 0, 0, false)
		if err != nil {
			return err
		}
		ours = append(ours, m)
		say("%s", m.row("no throttle, the forwarder"))
		if m, err = l.relayed(l.Size); err != nil {
			return err
		}
		bare = append(bare, m)
		say("%s", m.row("no throttle, a bare io.Copy relay"))
	}
	best := func(list []moved) (m moved) {
		for _, o := range list {
			if m.took == 0 || o.took < m.took {
				m = o
			}
		}
		return m
	}
	o, r := best(ours), best(bare)
	say("  throughput over the relay's, best of three: %.2f; processor time per GiB over the relay's: %.2f",
		r.took.Seconds()/o.took.Seconds(), o.cpu/max(r.cpu, 0.01))
	return l.beside(say)
}

// beside measures how long short messages take while a hundred long uploads are tried, and without them.
func (l Long) beside(say func(string, ...any)) error {
	const short, gap, longs = 300, 25 * time.Millisecond, 100 // 40 a second: within what one endpoint is listed with
	var p [2]map[string]float64
	for i, with := range []bool{false, true} {
		b, err := l.start(func(c *lab.Call) bool {
			ok := c.ReadAll(1<<20) == nil
			return ok && c.Answer(200, "") == nil
		})
		if err != nil {
			return err
		}
		var wg sync.WaitGroup
		statuses := map[int]int{}
		var mu sync.Mutex
		answered, delivered := hdrhistogram.New(1, 10e6, 3), hdrhistogram.New(1, 10e6, 3) // microseconds
		began := map[string]time.Time{}
		b.quick.Handle = func(c *lab.Call) bool {
			if c.ReadAll(0) != nil {
				return false
			}
			mu.Lock()
			_ = delivered.RecordValue(time.Since(began[c.ID]).Microseconds())
			mu.Unlock()
			return c.Answer(200, "") == nil
		}
		if with {
			for n := range longs {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c, err := lab.Dial(b.f.Address())
					if err != nil {
						return
					}
					defer c.Close()
					h := handover(fmt.Sprint("long ", n), 16<<20)
					h.Rate = 2 << 20
					a := c.Hand(h, nil)
					mu.Lock()
					statuses[a.Status]++
					mu.Unlock()
				}()
			}
		}
		c, err := lab.Dial(b.f.Address())
		if err != nil {
			return err
		}
		for n := range short {
			h := handover(fmt.Sprint("short ", n), 1000)
			h.Destination, h.Left = 8, 5*time.Second
			from := time.Now()
			mu.Lock()
			began[h.ID] = from
			mu.Unlock()
			if a := c.Hand(h, nil); a.Status != 202 || a.Close {
				c.Close()
				if c, err = lab.Dial(b.f.Address()); err != nil {
					return err
				}
			}
			_ = answered.RecordValue(time.Since(from).Microseconds())
			time.Sleep(gap)
		}
		c.Close()
		wg.Wait()
		b.stop()
		p[i] = map[string]float64{
			"answered p50": float64(answered.ValueAtQuantile(50)), "answered p99": float64(answered.ValueAtQuantile(99)),
			"delivered p50": float64(delivered.ValueAtQuantile(50)), "delivered p99": float64(delivered.ValueAtQuantile(99)),
		}
		say("%d short messages %s: answered after p50 %.2f ms, p99 %.2f ms; %d delivered after p50 %.2f ms, p99 %.2f ms; long ones by"+
			" answer: %v", short, map[bool]string{true: "beside 100 long uploads", false: "alone"}[with], p[i]["answered p50"]/1000,
			p[i]["answered p99"]/1000, delivered.TotalCount(), p[i]["delivered p50"]/1000, p[i]["delivered p99"]/1000, statuses)
	}
	for _, what := range []string{"answered p50", "answered p99", "delivered p50", "delivered p99"} {
		say("  %s, ratio with over without: %.2f", what, p[1][what]/p[0][what])
	}
	return nil
}

// Relay is the bare relay that the forwarder is held against: one connection after the other, copied both ways. It prints
// its address and serves until its process is ended.
func Relay(to string, out io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintln(out, l.Addr())
	for {
		in, err := l.Accept()
		if err != nil {
			return err
		}
		on, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		go func() {
			defer in.Close()
			defer on.Close()
			go func() { _, _ = io.Copy(in, on) }()
			_, _ = io.Copy(on, in)
		}()
	}
}
