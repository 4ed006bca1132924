package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mulleinbeam/internal/lab/cluster"
)

// clusterCmd is the laboratory's fleet of real processes.
type clusterCmd struct {
	Faults   faultsCmd   `cmd:"" help:"Fleets under load and faults drawn from a seed, healed at the end and held against the rules; status 1 if one was broken."`
	Takeover takeoverCmd `cmd:"" help:"How long it takes from a member's kill until its first message goes on elsewhere."`
	Cost     costCmd     `cmd:"" help:"What copies cost: messages a second, processor time, and the time until a 202."`
	Model    modelCmd    `cmd:"" help:"Walk a small world of the program's own state machines, every order of what can happen."`
	Catchup  catchupCmd  `cmd:"" help:"How long a new keeper needs under load, and what answers meanwhile notice of it."`
	Scale    scaleCmd    `cmd:"" help:"What a control plane and its members spend at several sizes, with members that have no data path."`
	Spread   spreadCmd   `cmd:"" help:"How fast facts of partners are known by fleets of several sizes, and what their talk takes, in virtual time."`
}

type fleetFlags struct {
	Program string `default:"bin/larkreach-cluster" help:"The forwarder with [cluster]."`
}

// with has f done with the program, until a signal ends it.
func (f fleetFlags) with(do func(ctx context.Context, program []string) error) error {
	path, err := filepath.Abs(f.Program)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	return do(ctx, []string{path, "serve"})
}

type faultsCmd struct {
	fleetFlags
	Seed    uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"1" help:"How many."`
	Members int           `default:"5" help:"Processes."`
	Copies  int           `default:"2" help:"Of each message, the owner's included."`
	Length  time.Duration `default:"30s" help:"Of load and faults."`
	Places  bool          `help:"Four zones of two regions with a site each, faults of these too, and traffic planned in common ([place])."`
	Rate    float64       `default:"150" help:"Messages a second, over all members."`
	Abreast int           `default:"2" help:"Fleets at once."`
	Shrink  int           `default:"0" help:"How many runs to spend on a shorter list of faults, for a seed that breaks a rule."`
	Events  bool          `help:"Print all that was seen of a seed that breaks a rule."`
}

// Run plays.
func (c faultsCmd) Run() error { return c.with(c.play) }

func (c faultsCmd) play(ctx context.Context, program []string) error {
	dir, err := os.MkdirTemp("", "larklab-cluster-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	var errs []error
	handed, taken, broken, done := int64(0), int64(0), 0, 0
	turn := make(chan struct{}, max(1, c.Abreast))
	began := time.Now()
	var all sync.WaitGroup
	for i := range c.Seeds {
		turn <- struct{}{}
		all.Go(func() {
			defer func() { <-turn }()
			t := cluster.Trial{
				Seed: c.Seed + uint64(i), Members: c.Members, Length: c.Length, Rate: c.Rate, Copies: c.Copies, Program: program, Places: c.Places,
				Dir: filepath.Join(dir, fmt.Sprint(i)),
			}
			limited, cancel := context.WithTimeout(ctx, c.Length+3*time.Minute)
			defer cancel()
			o, err := t.Run(limited)
			if len(o.Broken) > 0 && c.Shrink > 0 {
				if only, less := t.Shrink(ctx, c.Shrink); len(less.Broken) > 0 {
					o.Broken, o.Events = append(o.Broken, fmt.Sprintf("the faults %v suffice: %q", only, less.Faults)), less.Events
				}
			}
			_ = os.RemoveAll(t.Dir)
			mu.Lock()
			defer mu.Unlock()
			done++
			handed, taken, broken = handed+o.Handed, taken+o.Taken, broken+len(o.Broken)
			left := time.Since(began) / time.Duration(done) * time.Duration(c.Seeds-done)
			fmt.Printf("%s; %v left\n", o.Summary(), left.Round(time.Second))
			for _, b := range o.Broken {
				fmt.Println("  broken:", b)
			}
			if err != nil {
				errs = append(errs, fmt.Errorf("seed %d: %w", o.Seed, err))
				fmt.Println("  error:", err, strings.Join(o.Faults, "; "))
			}
			if c.Events && (err != nil || len(o.Broken) > 0) {
				fmt.Println(strings.Join(o.Events, "\n"))
			}
		})
	}
	all.Wait()
	fmt.Printf("%d seeds, %d messages handed in, %d taken on, %d rules broken, %v\n", done, handed, taken, broken, time.Since(began).Round(time.Second))
	if broken > 0 {
		errs = append(errs, errBroken)
	}
	return errors.Join(errs...)
}

type takeoverCmd struct {
	fleetFlags
	Kills int `default:"100" help:"How many."`
}

// Run measures.
func (c takeoverCmd) Run() error {
	return c.with(func(ctx context.Context, program []string) error {
		return cluster.Takeovers{Program: program, Kills: c.Kills, Out: os.Stdout}.Run(ctx)
	})
}

type costCmd struct {
	fleetFlags
	Plain  string        `default:"bin/larkreach" help:"The forwarder without."`
	Length time.Duration `default:"8s" help:"Of each run."`
	Rounds int           `default:"1" help:"Of all runs, one behind the other."`
}

// Run measures.
func (c costCmd) Run() error {
	plain, err := filepath.Abs(c.Plain)
	if err != nil {
		return err
	}
	return c.with(func(ctx context.Context, program []string) error {
		return cluster.Cost{Program: program, Plain: []string{plain, "serve"}, Length: c.Length, Rounds: c.Rounds, Out: os.Stdout}.Run(ctx)
	})
}

type modelCmd struct {
	States int `default:"1000000" help:"At the most, of each world."`
}

// Run walks.
func (c modelCmd) Run() error { return cluster.WalkModels(c.States, os.Stdout) }

type spreadCmd struct {
	Sizes []int   `default:"10,100,300,1000" help:"Members."`
	Seeds int     `default:"5" help:"Plays of each."`
	Loss  float64 `default:"0" help:"Share of pushes and answers that get lost."`
}

// Run plays.
func (c spreadCmd) Run() error { return cluster.MeasureSpread(c.Sizes, c.Seeds, c.Loss, os.Stdout) }

type scaleCmd struct {
	fleetFlags
	Sizes     []int         `default:"300,1000,3000" help:"Members."`
	Rate      float64       `default:"5" help:"Changes a second."`
	Joins     float64       `default:"0" help:"Members that join in a second; 0 is as fast as they can."`
	Relays    int           `default:"0" help:"Relays between members and voters."`
	Narrow    bool          `help:"Members watch themselves, the plan and the voters alone, as the program's own do not yet."`
	Configure bool          `help:"The changes are of configuration entries, which members put into force and report."`
	Faults    bool          `help:"Play faults of relays, voters and members behind the calm."`
	Length    time.Duration `default:"20s" help:"Of each size's calm; of each fault half."`
}

// Run measures.
func (c scaleCmd) Run() error {
	return c.with(func(ctx context.Context, program []string) error {
		return cluster.Scale{
			Program: program, Relays: c.Relays, Narrow: c.Narrow, Configure: c.Configure, Faults: c.Faults, Sizes: c.Sizes, Joins: c.Joins,
			Rate: c.Rate, Length: c.Length,
			Out: os.Stdout,
		}.Run(ctx)
	})
}

type catchupCmd struct {
	fleetFlags
	Length time.Duration `default:"8s" help:"Of load before, and behind."`
	Rounds int           `default:"3" help:"How often."`
	Extra  string        `help:"Lines of [cluster], such as 'catch-up = \"2MiB\"'."`
}

// Run measures.
func (c catchupCmd) Run() error {
	return c.with(func(ctx context.Context, program []string) error {
		for range c.Rounds {
			if err := (cluster.Catchup{Program: program, Length: c.Length, Extra: c.Extra, Out: os.Stdout}).Run(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}
