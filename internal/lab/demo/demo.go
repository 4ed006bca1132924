// Package demo shows the forwarder at work to somebody who has nothing yet: the real program on loopback, four partners
// of the laboratory with their troubles, an agent, and messages of all classes.
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
	lasts     = 6 * time.Second        // messages are handed in for so long
	every     = 60 * time.Millisecond  // one of them
	downFrom  = 1 * time.Second        // the partner that fails
	downFor   = 2 * time.Second        //
	slowness  = 300 * time.Millisecond // of the slow one's answers
	perSecond = 4                      // calls that the limited one takes
	settles   = 15 * time.Second       // the most that the last messages may take
	longBody  = 48 << 20
	longRate  = 24 << 20 // bytes a second
)

// lostFee is a fee charge whose partner goes down with it: it may have run, so nothing sends it again.
const lostFee = "fee-1"

const own = `[bodies]
slots = 1
`

type partner struct {
	*lab.Endpoint
	what string
}

// show collects what happened and prints it.
type show struct {
	out    io.Writer
	began  time.Time
	check  *lab.Checker
	mu     sync.Mutex
	counts map[string]int
	lost   chan struct{} // closed once the failing partner has the fee that it will not answer
	tasks  sync.WaitGroup
}

func (s *show) line(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%5.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *show) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// Run plays the demonstration with a program and prints it. An error says that something could not be started, or that
// a rule was broken.
func Run(ctx context.Context, program []string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "larkreach-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer os.RemoveAll(dir)
	s := &show{out: out, began: time.Now(), check: lab.NewChecker(), counts: map[string]int{}, lost: make(chan struct{})}
	partners := s.partners()
	var list []*lab.Endpoint
	for _, p := range partners {
		if err := p.Listen(); err != nil {
			return fmt.Errorf("demo: partner %s: %w", p.Name, err)
		}
		defer p.Close()
		list = append(list, p.Endpoint)
	}
	agent := &lab.Agent{Told: func(n lab.Notice) {
		s.count(n.Outcome)
		s.line("%s: %s", n.Message, strings.ReplaceAll(n.Outcome, "_", " "))
	}}
	if err := agent.Listen(list...); err != nil {
		return fmt.Errorf("demo: agent: %w", err)
	}
	defer agent.Close()
	f := &lab.Forwarder{Command: program, Settings: own}
	if err := f.Prepare(dir, agent); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := f.Start(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer f.Kill()
	fmt.Fprintf(out, "The forwarder takes messages at %s, in a folder that goes with the demonstration. Its partners:\n", f.Address())
	for _, p := range partners {
		fmt.Fprintf(out, "  %-8s destination %d, %s\n", p.Name, p.Group, p.what)
	}
	s.began = time.Now()
	if err := s.play(ctx, f, partners); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return s.close(f, agent, list)
}

func (s *show) partners() []partner {
	serve := func(wait time.Duration) func(*lab.Call) bool {
		return func(c *lab.Call) bool {
			if c.ReadAll(0) != nil {
				return false
			}
			time.Sleep(wait)
			s.count("delivered")
			return c.Answer(200, "") == nil
		}
	}
	steady := &lab.Endpoint{Name: "steady", Group: 1}
	steady.Handle = func(c *lab.Call) bool {
		if c.Length < longBody {
			return serve(0)(c)
		}
		if c.ReadAll(0) != nil {
			return false
		}
		s.line("%s: steady has its %d MiB and sends a receipt of 8 MiB", c.ID, c.Bytes()>>20)
		receipt := lab.Content{Seed: 9, Size: 8 << 20}
		s.check.Carries(c.ID, receipt)
		s.count("delivered")
		return c.AnswerWith(receipt, "chunked") == nil
	}
	limit := &window{most: perSecond}
	failing := &lab.Endpoint{Name: "failing", Group: 3}
	failing.Handle = func(c *lab.Call) bool {
		if c.ID != lostFee {
			return serve(0)(c)
		}
		_ = c.ReadAll(0)
		close(s.lost)
		_, _ = c.Conn.Read(make([]byte, 1)) // until it is down
		return false
	}
	return []partner{
		{steady, "answers at once, and takes long bodies"},
		{&lab.Endpoint{Name: "slow", Group: 2, Handle: serve(slowness)}, fmt.Sprintf("answers after %v", slowness)},
		{failing, fmt.Sprintf("is down for %v", downFor)},
		{&lab.Endpoint{Name: "limited", Group: 4, Handle: func(c *lab.Call) bool {
			if wait := limit.take(); wait > 0 {
				_ = c.ReadAll(0)
				return c.Answer(429, fmt.Sprintf("X-RateLimit-Wait-Ms: %d\r\n", wait.Milliseconds()+1)) == nil
			}
			return serve(0)(c)
		}}, fmt.Sprintf("takes %d calls a second and tells others how long to wait", perSecond)},
	}
}

// window is a limit that counts calls in seconds.
type window struct {
	mu   sync.Mutex
	most int
	used int
	ends time.Time
}

// take counts a call; what it gives is how long a call beyond the limit has to wait.
func (w *window) take() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.After(w.ends) {
		w.used, w.ends = 0, now.Add(time.Second)
	}
	if w.used++; w.used > w.most {
		return w.ends.Sub(now)
	}
	return 0
}

// play hands messages in.
func (s *show) play(ctx context.Context, f *lab.Forwarder, partners []partner) error {
	failing := partners[2]
	failed := make(chan error, 1)
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		pause(ctx, downFrom)
		s.hand(f, lab.Handover{
			ID: lostFee, Key: "k", Class: "unsafe", Destination: 3, Left: 5 * time.Second, Body: lab.Content{Seed: 3, Size: 100},
		})
		select {
		case <-s.lost:
		case <-ctx.Done():
		}
		failing.Down()
		s.line("failing is down with %s in its hands: its connections end, and new ones are refused", lostFee)
		pause(ctx, downFor)
		if err := failing.Up(); err != nil {
			failed <- err
		}
		s.line("failing is back")
	}()
	long := lab.Handover{
		ID: "extract-1", Key: "k", Class: "unsafe", Destination: 1, Left: time.Minute, Expect: true, Rate: longRate,
		Body: lab.Content{Seed: 1, Size: longBody},
	}
	s.hand(f, long)
	pause(ctx, 3*every)
	second := long
	second.ID, second.Body.Seed = "extract-2", 2 // the one slot is taken
	s.hand(f, second)
	classes := []string{"safe", "keyed", "unsafe"}
	for i := 0; time.Since(s.began) < lasts && ctx.Err() == nil; i++ {
		h := lab.Handover{
			ID: fmt.Sprintf("m-%03d", i), Key: fmt.Sprint("k", i), Class: classes[i%len(classes)], Destination: 1 + i%len(partners),
			Left: 10 * time.Second, Body: lab.Content{Seed: uint64(i), Size: 2000},
		}
		if i%24 == 2 {
			h.Left = time.Second // may be too little for the partner that is down
		}
		s.hand(f, h)
		pause(ctx, every)
		if i%16 == 15 {
			s.tell()
		}
	}
	s.tasks.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return ctx.Err()
	}
}

func (s *show) tell() {
	s.mu.Lock()
	n := s.counts
	text := fmt.Sprintf("handed in %d: %d taken on, %d refused; delivered %d, handed back %d, given up %d", n["handed in"], n["taken"],
		n["refused"], n["delivered"], n["handed_back"], n["given_up"])
	s.mu.Unlock()
	s.line("%s", text)
}

// hand hands one message in, beside the others.
func (s *show) hand(f *lab.Forwarder, h lab.Handover) {
	s.count("handed in")
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		c, err := lab.Dial(f.Address())
		if err != nil {
			s.line("%s: %v", h.ID, err)
			return
		}
		defer c.Close()
		a := c.Hand(h, nil)
		s.check.Handed(h, a)
		switch {
		case a.Status == 202:
			s.count("taken")
		case a.Status == 200:
			s.count("taken")
			s.line("%s: answered 200 when its %d MiB were delivered, with the receipt of %d MiB", h.ID, a.Sent>>20, a.Bytes>>20)
		default:
			s.count("refused")
			s.line("%s: refused with %d, come again after %s s; %d bytes of its body were sent", h.ID, a.Status,
				a.Header.Get("Retry-After"), a.Sent)
		}
	}()
}

// close waits for the last messages, stops the program and checks what all sides have seen.
func (s *show) close(f *lab.Forwarder, agent *lab.Agent, list []*lab.Endpoint) error {
	for until := time.Now().Add(settles); time.Now().Before(until); {
		if held, err := f.Counter("in", "held"); err != nil {
			return fmt.Errorf("demo: %w", err)
		} else if held == 0 {
			break
		}
		time.Sleep(every)
	}
	s.tell()
	if err := f.End(syscall.SIGTERM); err != nil {
		return fmt.Errorf("demo: the forwarder ended with %w", err)
	}
	_, counters, _ := strings.Cut(f.Log(), "counters at exit\n")
	fmt.Fprintf(s.out, "\nThe forwarder's counters, as `kill -USR1` prints them:\n%s\n", counters)
	arrivals := [][]lab.Arrival{}
	for _, p := range list {
		p.Close()
		arrivals = append(arrivals, p.Arrivals())
	}
	s.check.Saw(agent.Notices(), arrivals...)
	broken := s.check.Broken()
	for _, b := range broken {
		fmt.Fprintln(s.out, "rule broken: "+b)
	}
	if len(broken) > 0 {
		return fmt.Errorf("demo: %d rules broken", len(broken))
	}
	fmt.Fprintf(s.out, "\nChecked for %d messages: one end each, no fee charge sent twice, every body as it was. No rule was broken.\n",
		s.counts["handed in"])
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
