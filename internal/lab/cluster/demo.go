package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"mulleinbeam/internal/lab"
)

// Demo runs three processes in two zones and, under load, kills one of them permanently and deletes its folder.
type Demo struct {
	Program []string
	Env     []string
	Out     io.Writer
}

var errRuleBroken = errors.New("a rule was broken")

const (
	demoLoad   = 4 * time.Second
	demoKillAt = 1500 * time.Millisecond
	demoRate   = 60 // messages per second
)

// Run runs the demonstration; it returns an error if a rule was broken or the fleet failed.
func (d Demo) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "larkreach-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	partner := &lab.Endpoint{Name: "partner", Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		time.Sleep(60 * time.Millisecond) // the service time of the endpoint
		return c.Answer(200, "") == nil
	}}
	f, err := Open(Setup{Members: 3, Program: d.Program, Env: d.Env, Dir: dir, Seed: 1}, partner)
	if err != nil {
		return err
	}
	defer f.Close()
	say := func(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }
	say("three forwarders in two zones, n0 and n2 in z0, n1 in z1; each message is held by two of them before its 202")
	if err := f.Start(f.All()...); err != nil {
		return err
	}
	if err := f.AwaitCopied(ctx, f.All()...); err != nil {
		return err
	}
	var clients sync.WaitGroup
	load, stop := context.WithTimeout(ctx, demoLoad)
	defer stop()
	var mu sync.Mutex
	answered := map[int]int{}
	for i := range 3 {
		clients.Go(func() {
			for n := 0; lab.Sleep(load, time.Second*3/demoRate); n++ {
				_, a := f.Hand(i, []string{"safe", "keyed", "unsafe"}[n%3], 10*time.Second)
				mu.Lock()
				answered[a.Status]++
				mu.Unlock()
			}
		})
	}
	lab.Sleep(ctx, demoKillAt)
	incarnation, err := f.Life(1)
	if err != nil {
		return err
	}
	at := time.Now()
	if err := errors.Join(f.Kill(1), f.LoseFolder(1)); err != nil {
		return err
	}
	say("n1 is killed under load, and its folder is gone")
	if err := f.AwaitDone(ctx, 0, "n1", incarnation); err != nil {
		return err
	}
	took := time.Since(at)
	clients.Wait()
	if err := f.AwaitJobs(ctx, 0); err != nil {
		return err
	}
	if err := f.AwaitSettled(0, 2); err != nil {
		return err
	}
	for _, i := range []int{0, 2} {
		s, err := f.Look(i)
		if err != nil {
			return err
		}
		if s.Figures.Takeovers > 0 {
			say("n%d has taken over the %d pending messages of n1, %.1f s after the kill", i, s.Figures.Messages, took.Seconds())
		}
	}
	say("clients: %d messages answered 202, %d refused, %d without an answer (they were at n1); partner: %d calls; %d delivery reports",
		answered[202], answered[503], answered[0], len(f.Partner.Arrivals()), len(f.Agent.Notices()))
	broken := f.Broken()
	for _, b := range broken {
		say("broken: %s", b)
	}
	if len(broken) > 0 {
		return errRuleBroken
	}
	say("rules: nothing that was answered 202 is lost, no unsafe message was sent twice, no message has two outcomes")
	return nil
}
