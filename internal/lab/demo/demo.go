// Package demo runs a self-contained demonstration of the forwarder: the real program on loopback, four simulated
// destinations that answer normally, answer slowly, fail or limit the rate, a discovery agent, and messages of all
// classes.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinbeam/internal/lab"
)

const (
	submitDuration         = 6 * time.Second        // time during which messages are submitted
	submitInterval         = 60 * time.Millisecond  // time between two messages
	outageStart            = 1 * time.Second        // start of the outage of the failing destination
	outageDuration         = 2 * time.Second        // duration of that outage
	slowAnswerDelay        = 300 * time.Millisecond // delay before each answer of the slow destination
	callsPerSecond         = 4                      // rate limit of the limited destination
	drainTimeout           = 15 * time.Second       // bounds the wait for the last messages
	longBodyBytes          = 48 << 20
	longBodyBytesPerSecond = 24 << 20
)

// unansweredFeeID is the ID of a fee charge whose destination fails before it answers: the charge may have been
// processed, so the forwarder never sends it again.
const unansweredFeeID = "fee-1"

// settings are the forwarder's own settings: one slot for long bodies.
const settings = `[bodies]
slots = 1
`

// destination is an endpoint with a description of its behavior.
type destination struct {
	*lab.Endpoint
	description string
}

// demonstration is one run: it counts events, prints them and checks the rules.
type demonstration struct {
	out         io.Writer
	began       time.Time
	checker     *lab.Checker
	mu          sync.Mutex
	counts      map[string]int
	feeReceived chan struct{} // closed once the failing destination has read the fee charge, which it never answers
	tasks       sync.WaitGroup
}

// printf prints a line with the time since the start.
func (d *demonstration) printf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// count adds one to the number of events of a kind.
func (d *demonstration) count(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[event]++
}

// Run runs the demonstration with a program, given by its command line, and prints its events. It returns an error if
// something could not be started or a rule was broken.
func Run(ctx context.Context, program []string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "larkreach-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer os.RemoveAll(dir)
	d := &demonstration{out: out, began: time.Now(), checker: lab.NewChecker(), counts: map[string]int{}, feeReceived: make(chan struct{})}
	destinations := d.destinations()
	var endpoints []*lab.Endpoint
	for _, p := range destinations {
		if err := p.Listen(); err != nil {
			return fmt.Errorf("demo: destination %s: %w", p.Name, err)
		}
		defer p.Close()
		endpoints = append(endpoints, p.Endpoint)
	}
	agent := &lab.Agent{Told: func(n lab.Notice) {
		d.count(n.Outcome)
		d.printf("%s: %s", n.Message, strings.ReplaceAll(n.Outcome, "_", " "))
	}}
	if err := agent.Listen(endpoints...); err != nil {
		return fmt.Errorf("demo: agent: %w", err)
	}
	defer agent.Close()
	f := &lab.Forwarder{Command: program, Settings: settings}
	if err := f.Prepare(dir, agent); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := f.Start(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer f.Kill()
	fmt.Fprintf(out, "The forwarder accepts messages at %s, in a temporary folder. Its destinations:\n", f.Address())
	for _, p := range destinations {
		fmt.Fprintf(out, "  %-8s destination %d, %s\n", p.Name, p.Group, p.description)
	}
	d.began = time.Now()
	if err := d.submitAll(ctx, f, destinations); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return d.finish(f, agent, endpoints)
}

// destinations returns the simulated destinations.
func (d *demonstration) destinations() []destination {
	serve := func(delay time.Duration) func(*lab.Call) bool {
		return func(c *lab.Call) bool {
			if c.ReadAll(0) != nil {
				return false
			}
			time.Sleep(delay)
			d.count("delivered")
			return c.Answer(200, "") == nil
		}
	}
	steady := &lab.Endpoint{Name: "steady", Group: 1}
	steady.Handle = func(c *lab.Call) bool {
		if c.Length < longBodyBytes {
			return serve(0)(c)
		}
		if c.ReadAll(0) != nil {
			return false
		}
		d.printf("%s: steady has received its %d MiB and sends a receipt of 8 MiB", c.ID, c.Bytes()>>20)
		receipt := lab.Content{Seed: 9, Size: 8 << 20}
		d.checker.Carries(c.ID, receipt)
		d.count("delivered")
		return c.AnswerWith(receipt, "chunked") == nil
	}
	limit := &rateLimit{max: callsPerSecond}
	failing := &lab.Endpoint{Name: "failing", Group: 3}
	failing.Handle = func(c *lab.Call) bool {
		if c.ID != unansweredFeeID {
			return serve(0)(c)
		}
		_ = c.ReadAll(0)
		close(d.feeReceived)
		_, _ = c.Conn.Read(make([]byte, 1)) // returns when the endpoint goes down
		return false
	}
	return []destination{
		{steady, "answers at once and accepts long bodies"},
		{&lab.Endpoint{Name: "slow", Group: 2, Handle: serve(slowAnswerDelay)}, fmt.Sprintf("answers after %v", slowAnswerDelay)},
		{failing, fmt.Sprintf("is down for %v", outageDuration)},
		{&lab.Endpoint{Name: "limited", Group: 4, Handle: func(c *lab.Call) bool {
			if wait := limit.take(); wait > 0 {
				_ = c.ReadAll(0)
				return c.Answer(429, fmt.Sprintf("X-RateLimit-Wait-Ms: %d\r\n", wait.Milliseconds()+1)) == nil
			}
			return serve(0)(c)
		}}, fmt.Sprintf("accepts %d calls per second and answers the others with the time to wait", callsPerSecond)},
	}
}

// rateLimit limits the number of calls in fixed windows of one second.
type rateLimit struct {
	mu   sync.Mutex
	max  int
	used int
	ends time.Time
}

// take counts a call and returns how long it has to wait if it exceeds the limit.
func (l *rateLimit) take() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.After(l.ends) {
		l.used, l.ends = 0, now.Add(time.Second)
	}
	if l.used++; l.used > l.max {
		return l.ends.Sub(now)
	}
	return 0
}

// submitAll submits the messages and takes the failing destination down and up again.
func (d *demonstration) submitAll(ctx context.Context, f *lab.Forwarder, destinations []destination) error {
	failing := destinations[2]
	upFailed := make(chan error, 1)
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		pause(ctx, outageStart)
		d.submit(f, lab.Handover{
			ID: unansweredFeeID, Key: "k", Class: "unsafe", Destination: 3, Left: 5 * time.Second, Body: lab.Content{Seed: 3, Size: 100},
		})
		select {
		case <-d.feeReceived:
		case <-ctx.Done():
		}
		failing.Down()
		d.printf("failing is down with %s unanswered: its connections are closed and new ones are refused", unansweredFeeID)
		pause(ctx, outageDuration)
		if err := failing.Up(); err != nil {
			upFailed <- err
		}
		d.printf("failing is back")
	}()
	long := lab.Handover{
		ID: "extract-1", Key: "k", Class: "unsafe", Destination: 1, Left: time.Minute, Expect: true, Rate: longBodyBytesPerSecond,
		Body: lab.Content{Seed: 1, Size: longBodyBytes},
	}
	d.submit(f, long)
	pause(ctx, 3*submitInterval)
	second := long
	second.ID, second.Body.Seed = "extract-2", 2 // refused: the only slot for long bodies is in use
	d.submit(f, second)
	classes := []string{"safe", "keyed", "unsafe"}
	for i := 0; time.Since(d.began) < submitDuration && ctx.Err() == nil; i++ {
		h := lab.Handover{
			ID: fmt.Sprintf("m-%03d", i), Key: fmt.Sprint("k", i), Class: classes[i%len(classes)], Destination: 1 + i%len(destinations),
			Left: 10 * time.Second, Body: lab.Content{Seed: uint64(i), Size: 2000},
		}
		if i%24 == 2 {
			h.Left = time.Second // may expire while the failing destination is down
		}
		d.submit(f, h)
		pause(ctx, submitInterval)
		if i%16 == 15 {
			d.printTotals()
		}
	}
	d.tasks.Wait()
	select {
	case err := <-upFailed:
		return err
	default:
		return ctx.Err()
	}
}

// printTotals prints the numbers of messages by what became of them.
func (d *demonstration) printTotals() {
	d.mu.Lock()
	n := d.counts
	text := fmt.Sprintf("submitted %d: %d accepted, %d refused; delivered %d, handed back %d, given up %d", n["submitted"], n["accepted"],
		n["refused"], n["delivered"], n["handed_back"], n["given_up"])
	d.mu.Unlock()
	d.printf("%s", text)
}

// submit submits a message in the background.
func (d *demonstration) submit(f *lab.Forwarder, h lab.Handover) {
	d.count("submitted")
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		c, err := lab.Dial(f.Address())
		if err != nil {
			d.printf("%s: %v", h.ID, err)
			return
		}
		defer c.Close()
		a := c.Hand(h, nil)
		d.checker.Handed(h, a)
		switch {
		case a.Status == 202:
			d.count("accepted")
		case a.Status == 200:
			d.count("accepted")
			d.printf("%s: answered 200 after its %d MiB were delivered, with a receipt of %d MiB", h.ID, a.Sent>>20, a.Bytes>>20)
		default:
			d.count("refused")
			d.printf("%s: refused with %d, retry after %s s; %d bytes of its body were sent", h.ID, a.Status,
				a.Header.Get("Retry-After"), a.Sent)
		}
	}()
}

// finish waits for the last messages, stops the program and checks the records of all sides against the rules.
func (d *demonstration) finish(f *lab.Forwarder, agent *lab.Agent, endpoints []*lab.Endpoint) error {
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); {
		if held, err := f.Counter("in", "held"); err != nil {
			return fmt.Errorf("demo: %w", err)
		} else if held == 0 {
			break
		}
		time.Sleep(submitInterval)
	}
	d.printTotals()
	if err := f.End(syscall.SIGTERM); err != nil {
		return fmt.Errorf("demo: the forwarder exited: %w", err)
	}
	_, counters, _ := strings.Cut(f.Log(), "counters at exit\n")
	fmt.Fprintf(d.out, "\nThe forwarder's counters, as `kill -USR1` prints them:\n%s\n", counters)
	arrivals := [][]lab.Arrival{}
	for _, p := range endpoints {
		p.Close()
		arrivals = append(arrivals, p.Arrivals())
	}
	d.checker.Saw(agent.Notices(), arrivals...)
	broken := d.checker.Broken()
	for _, b := range broken {
		fmt.Fprintln(d.out, "rule broken: "+b)
	}
	if len(broken) > 0 {
		return fmt.Errorf("demo: %d rules broken", len(broken))
	}
	fmt.Fprintf(d.out, "\nChecked %d messages: each has one outcome, no fee charge was sent twice, every body is unchanged. No rule was broken.\n",
		d.counts["submitted"])
	return nil
}

// pause waits for a duration, or until ctx is done.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
