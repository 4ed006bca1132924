// Package experiment measures the real forwarder between the simulated peers of the laboratory. Absolute figures depend
// on the machine and its load; only ratios between runs of the same invocation can be compared with other machines.
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

// Long measures the streaming of long bodies.
type Long struct {
	Program []string // command line of the forwarder
	Relay   []string // command line of the bare relay; the address to forward to is appended
	Small   int64    // smaller body size, in bytes
	Size    int64    // larger body size, in bytes
	Rate    int64    // rate of the throttled peer, in bytes per second
	Out     io.Writer
}

const settings = `[bodies]
slots = 4
idle = "30s"
`

// bench is a running forwarder with its peers: one endpoint for long calls and one for short messages.
type bench struct {
	forwarder *lab.Forwarder
	long      *lab.Endpoint
	short     *lab.Endpoint
	agent     *lab.Agent
	dir       string
}

// start starts the forwarder and its peers for one run. handle answers the long calls.
func (l Long) start(handle func(*lab.Call) bool) (*bench, error) {
	dir, err := os.MkdirTemp("", "larklab-")
	if err != nil {
		return nil, err
	}
	b := &bench{
		dir: dir, agent: &lab.Agent{}, long: &lab.Endpoint{Name: "p", Group: 7, Handle: handle},
		short: &lab.Endpoint{Name: "quick", Group: 8},
	}
	b.forwarder = &lab.Forwarder{Command: l.Program, Settings: settings}
	for _, step := range []func() error{
		b.long.Listen, b.short.Listen, func() error { return b.agent.Listen(b.long, b.short) },
		func() error { return b.forwarder.Prepare(dir, b.agent) }, b.forwarder.Start,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *bench) stop() {
	b.forwarder.Kill()
	b.long.Close()
	b.short.Close()
	b.agent.Close()
	_ = os.RemoveAll(b.dir)
}

// newHandover returns a handover to the endpoint for long calls, with a generated body of size bytes.
func newHandover(id string, size int64) lab.Handover {
	return lab.Handover{
		ID: id, Key: "k", Class: "unsafe", Destination: 7, Left: 30 * time.Minute, Body: lab.Content{Seed: 1, Size: size},
	}
}

// transferResult holds the measurements of one transfer.
type transferResult struct {
	bytes   int64
	took    time.Duration
	cpu     float64
	peak    int64
	correct bool
}

func (m transferResult) row(what string) string {
	return fmt.Sprintf("%-44s %6d MiB  %7.1f s  %7.0f MB/s  peak %5.1f MB  cpu %5.2f s/GiB  %s", what, m.bytes>>20,
		m.took.Seconds(), float64(m.bytes)/1e6/m.took.Seconds(), float64(m.peak)/1e6, m.cpu/(float64(m.bytes)/(1<<30)),
		map[bool]string{true: "content correct", false: "CONTENT WRONG"}[m.correct])
}

// transfer sends one body through the forwarder: as a request, or as a response if back is set.
func (l Long) transfer(size, clientRate, endpointRate int64, back bool) (transferResult, error) {
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
		return transferResult{}, err
	}
	defer b.stop()
	h := newHandover("one", size)
	h.Rate = clientRate
	if back {
		h.Body.Size = 1 << 20
	}
	want := content.Digest()
	c, err := lab.Dial(b.forwarder.Address())
	if err != nil {
		return transferResult{}, err
	}
	defer c.Close()
	began := time.Now()
	a := c.Hand(h, nil)
	m := transferResult{bytes: size, took: time.Since(began)}
	if a.Status != 200 {
		return m, fmt.Errorf("status %d, %v:\n%s", a.Status, a.Err, b.forwarder.Log())
	}
	if got := <-arrived; back {
		m.correct = a.Whole && a.Digest == want
	} else {
		m.correct = got == want
	}
	if m.cpu, err = b.forwarder.CPUSeconds(); err != nil {
		return m, err
	}
	m.peak, err = b.forwarder.PeakMemory()
	return m, err
}

// relayed sends one body through the bare relay.
func (l Long) relayed(size int64) (transferResult, error) {
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
		return transferResult{}, err
	}
	defer p.Close()
	cmd := exec.Command(l.Relay[0], append(l.Relay[1:], p.Address())...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return transferResult{}, err
	}
	if err := cmd.Start(); err != nil {
		return transferResult{}, err
	}
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	}()
	line := make([]byte, 64)
	n, err := out.Read(line)
	if err != nil {
		return transferResult{}, err
	}
	c, err := lab.Dial(strings.TrimSpace(string(line[:n])))
	if err != nil {
		return transferResult{}, err
	}
	defer c.Close()
	began := time.Now()
	a := c.Hand(newHandover("one", size), nil)
	m := transferResult{bytes: size, took: time.Since(began)}
	m.correct = a.Status == 200 && <-arrived == content.Digest()
	if m.cpu, err = lab.ProcessCPU(cmd.Process.Pid); err != nil {
		return m, err
	}
	m.peak, err = lab.ProcessPeak(cmd.Process.Pid)
	return m, err
}

// Run runs all measurements and prints the results.
func (l Long) Run() error {
	printf := func(format string, args ...any) { fmt.Fprintf(l.Out, format+"\n", args...) }
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
			printf("%s", m.row(c.what))
			peaks = append(peaks, m.peak)
		}
		printf("  peak memory ratio, larger to smaller body: %.2f", float64(peaks[1])/float64(peaks[0]))
	}
	var forwarder, bare []transferResult
	for range 3 { // alternate, so that changes of the machine's load affect both alike
		m, err := l.transfer(l.Size, 0, 0, false)
		if err != nil {
			return err
		}
		forwarder = append(forwarder, m)
		printf("%s", m.row("no throttle, the forwarder"))
		if m, err = l.relayed(l.Size); err != nil {
			return err
		}
		bare = append(bare, m)
		printf("%s", m.row("no throttle, a bare io.Copy relay"))
	}
	best := func(list []transferResult) (m transferResult) {
		for _, o := range list {
			if m.took == 0 || o.took < m.took {
				m = o
			}
		}
		return m
	}
	o, r := best(forwarder), best(bare)
	printf("  throughput relative to the relay, best of three: %.2f; CPU time per GiB relative to the relay: %.2f",
		r.took.Seconds()/o.took.Seconds(), o.cpu/max(r.cpu, 0.01))
	return l.shortBesideLong(printf)
}

// shortBesideLong measures the latency of short messages with and without 100 concurrent long uploads.
func (l Long) shortBesideLong(printf func(string, ...any)) error {
	const short, gap, longs = 300, 25 * time.Millisecond, 100 // 40 per second, within the listed capacity of one endpoint
	var percentiles [2]map[string]float64
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
		b.short.Handle = func(c *lab.Call) bool {
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
					c, err := lab.Dial(b.forwarder.Address())
					if err != nil {
						return
					}
					defer c.Close()
					h := newHandover(fmt.Sprint("long ", n), 16<<20)
					h.Rate = 2 << 20
					a := c.Hand(h, nil)
					mu.Lock()
					statuses[a.Status]++
					mu.Unlock()
				}()
			}
		}
		c, err := lab.Dial(b.forwarder.Address())
		if err != nil {
			return err
		}
		for n := range short {
			h := newHandover(fmt.Sprint("short ", n), 1000)
			h.Destination, h.Left = 8, 5*time.Second
			from := time.Now()
			mu.Lock()
			began[h.ID] = from
			mu.Unlock()
			if a := c.Hand(h, nil); a.Status != 202 || a.Close {
				c.Close()
				if c, err = lab.Dial(b.forwarder.Address()); err != nil {
					return err
				}
			}
			_ = answered.RecordValue(time.Since(from).Microseconds())
			time.Sleep(gap)
		}
		c.Close()
		wg.Wait()
		b.stop()
		percentiles[i] = map[string]float64{
			"answered p50": float64(answered.ValueAtQuantile(50)), "answered p99": float64(answered.ValueAtQuantile(99)),
			"delivered p50": float64(delivered.ValueAtQuantile(50)), "delivered p99": float64(delivered.ValueAtQuantile(99)),
		}
		printf("%d short messages %s: answered after p50 %.2f ms, p99 %.2f ms; %d delivered after p50 %.2f ms, p99 %.2f ms; long uploads"+
			" by status: %v", short, map[bool]string{true: "beside 100 long uploads", false: "alone"}[with], percentiles[i]["answered p50"]/1000,
			percentiles[i]["answered p99"]/1000, delivered.TotalCount(), percentiles[i]["delivered p50"]/1000, percentiles[i]["delivered p99"]/1000, statuses)
	}
	for _, what := range []string{"answered p50", "answered p99", "delivered p50", "delivered p99"} {
		printf("  %s, ratio with to without long uploads: %.2f", what, percentiles[1][what]/percentiles[0][what])
	}
	return nil
}

// Relay is the bare TCP relay that the forwarder is compared with. It opens a connection to the address for each one
// that it accepts and copies bytes both ways. It prints the address that it listens on and serves until the process is
// terminated.
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
		upstream, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		go func() {
			defer in.Close()
			defer upstream.Close()
			go func() { _, _ = io.Copy(in, upstream) }()
			_, _ = io.Copy(upstream, in)
		}()
	}
}
