package experiment

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"mulleinbeam/internal/lab"
)

// Bursts measures the forwarder's memory and processor time while clients send many requests at once.
type Bursts struct {
	Program  []string // command line of the forwarder
	Settings string   // the program's own settings, as TOML; "" for none
	Sockets  int      // limit on descriptors
	MemoryMB int      // limit on memory
	Cores    float64  // limit on processors; 0 for one
	Load     lab.Burst
	Slow     lab.SlowClients // beside the load
	Idle     int             // connections beside the load that send nothing
	Steady   int             // clients with one request at a time beside the load
	Unasked  int             // bytes that the endpoint writes behind each of its answers, without being asked
	Counters bool
	Out      io.Writer
}

// BurstFigures are the figures of one run.
type BurstFigures struct {
	lab.BurstResult
	Slow                       lab.SlowResult
	SteadySent, SteadyAnswered int64
	SteadySlowest              time.Duration
	PeakBytes                  int64 // peak of the anonymous resident memory
	CPUSeconds                 float64
	Took                       time.Duration
	Killed                     bool // the memory exceeded its limit
}

const (
	memoryPollInterval = 5 * time.Millisecond
	steadyPause        = 50 * time.Millisecond
	steadyTimeout      = 2 * time.Second
	countersInterval   = 100 * time.Millisecond
)

// BuildForwarder builds the forwarder in a folder, as it is deployed but for the linker, and returns the program's path. The race
// detector's own memory would hide the program's.
func BuildForwarder(dir string) (program string, err error) {
	program = filepath.Join(dir, "larkreach")
	build := exec.Command("go", "build", "-o", program, "mulleinbeam/cmd/larkreach")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("lab: build: %w\n%s", err, output)
	}
	return program, nil
}

// Run starts the forwarder with one endpoint, plays the load and returns the figures. Over the memory limit the
// forwarder is killed, as the platform does.
func (b Bursts) Run() (figures BurstFigures, err error) {
	dir, err := os.MkdirTemp("", "larklab-")
	if err != nil {
		return figures, err
	}
	defer os.RemoveAll(dir)
	agent, unasked := &lab.Agent{}, bytes.Repeat([]byte("HTTP/1.1 200 OK\r\n"), b.Unasked/len("HTTP/1.1 200 OK\r\n"))
	endpoint := &lab.Endpoint{Name: "p", Group: 7, Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		if c.Answer(200, "") != nil {
			return false
		}
		_, err := c.Conn.Write(unasked)
		return err == nil
	}}
	forwarder := &lab.Forwarder{Command: b.Program, Settings: b.Settings, Sockets: b.Sockets, MemoryMB: b.MemoryMB, Cores: b.Cores}
	for _, step := range []func() error{
		endpoint.Listen, func() error { return agent.Listen(endpoint) },
		func() error { return forwarder.Prepare(dir, agent) }, forwarder.Start,
	} {
		if err := step(); err != nil {
			return figures, err
		}
	}
	defer endpoint.Close()
	defer agent.Close()
	defer func() {
		forwarder.Kill()
		_ = forwarder.Wait() // so that its resource use counts as this process's children's
	}()
	b.Load.Destination = 7
	return b.measure(forwarder)
}

// measure plays the load on a running forwarder.
func (b Bursts) measure(forwarder *lab.Forwarder) (figures BurstFigures, err error) {
	for range b.Idle {
		conn, err := net.Dial("tcp", forwarder.Address())
		if err != nil {
			return figures, err
		}
		defer conn.Close()
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	watchers.Go(func() { figures.PeakBytes, figures.Killed = watchMemory(forwarder, int64(b.MemoryMB)<<20, stop) })
	steady := &lab.SteadyClients{Address: forwarder.Address(), Pause: steadyPause, Timeout: steadyTimeout}
	watchers.Go(func() { steady.Run(b.Steady, stop) })
	if b.Counters {
		watchers.Go(func() { b.printCounters(forwarder, stop) })
	}
	began := time.Now()
	var loads sync.WaitGroup
	loads.Go(func() { figures.Slow = b.Slow.Run(forwarder.Address(), b.Load.Destination) })
	figures.BurstResult = b.Load.Run(forwarder.Address())
	loads.Wait()
	figures.Took = time.Since(began)
	close(stop)
	watchers.Wait()
	figures.SteadySent, figures.SteadyAnswered, figures.SteadySlowest = steady.Sent.Load(), steady.Answered.Load(), steady.Slowest()
	if !figures.Killed {
		figures.CPUSeconds, err = forwarder.CPUSeconds()
	}
	return figures, err
}

// watchMemory returns the peak of the forwarder's memory, and kills it over the limit.
func watchMemory(forwarder *lab.Forwarder, limit int64, stop <-chan struct{}) (peak int64, killed bool) {
	poll := time.NewTicker(memoryPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-stop:
			return peak, killed
		case <-poll.C:
		}
		used, err := forwarder.AnonymousMemory()
		if err != nil {
			continue
		}
		if peak = max(peak, used); used > limit && !killed {
			killed = true
			forwarder.Kill()
		}
	}
}

// printCounters prints what the forwarder says of its memory, at intervals.
func (b Bursts) printCounters(forwarder *lab.Forwarder, stop <-chan struct{}) {
	every := time.NewTicker(countersInterval)
	defer every.Stop()
	for {
		select {
		case <-stop:
			return
		case <-every.C:
		}
		clients, err := forwarder.Counters("clients")
		if err != nil {
			return
		}
		endpoints, err := forwarder.Counters("endpoints")
		if err != nil {
			return
		}
		messages, err := forwarder.Counters("in")
		if err != nil {
			return
		}
		used, err := forwarder.AnonymousMemory()
		if err != nil {
			return
		}
		fmt.Fprintf(b.Out, "  memory %d KiB: parsers of requests %d, of answers %d, bodies %d, answers not read %d KiB\n", used>>10,
			clients["parser_bytes"]>>10, endpoints["parser_bytes"]>>10, messages["body_bytes"]>>10, clients["unread_answer_bytes"]>>10)
	}
}

// String returns the figures as one line.
func (f BurstFigures) String() string {
	text := fmt.Sprintf("peak %d MiB; answered %d of %d, out of order %d, unexpected %d, on %d more connections; beside it %d of %d within %.2f s; %.2f s, %.2f s of processor time",
		f.PeakBytes>>20, f.Answered, f.Sent, f.OutOfOrder, f.Unexpected, f.Reconnects, f.SteadyAnswered, f.SteadySent, f.SteadySlowest.Seconds(), f.Took.Seconds(), f.CPUSeconds)
	if f.Slow != (lab.SlowResult{}) {
		text += fmt.Sprintf("; slow clients: %d answered, %d closed, %d neither", f.Slow.Answered, f.Slow.Closed, f.Slow.Neither)
	}
	if f.Killed {
		text += "; killed over the memory limit"
	}
	return text
}
