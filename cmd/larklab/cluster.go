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

// clusterCmd groups the experiments with a cluster.
type clusterCmd struct {
	Faults   faultsCmd   `cmd:"" help:"Run clusters under load with faults drawn from a seed, clear the faults at the end and check the rules; exits with status 1 if one was broken."`
	Takeover takeoverCmd `cmd:"" help:"Measure the time from killing a member until another member continues with its first message."`
	Cost     costCmd     `cmd:"" help:"Measure the cost of replication: messages per second, CPU time, and the time until a 202."`
	Model    modelCmd    `cmd:"" help:"Model check small clusters of the program's state machines over every order of events."`
	Catchup  catchupCmd  `cmd:"" help:"Measure how long a new replica takes to catch up under load, and the effect on response times."`
	Scale    scaleCmd    `cmd:"" help:"Measure what the control plane and its members use at several sizes, with simulated members without a data path."`
	Spread   spreadCmd   `cmd:"" help:"Simulate in virtual time how fast observations of destinations spread in clusters of several sizes, and the bandwidth that takes."`
}

type fleetFlags struct {
	Program string `default:"bin/larkreach-cluster" help:"Path of the forwarder built with [cluster]."`
}

// withProgram calls run with the command of the forwarder and a context that SIGINT and SIGTERM cancel.
func (f fleetFlags) withProgram(run func(ctx context.Context, program []string) error) error {
	path, err := filepath.Abs(f.Program)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return run(ctx, []string{path, "serve"})
}

type faultsCmd struct {
	fleetFlags
	Seed    uint64        `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"Number of consecutive seeds."`
	Members int           `default:"5" help:"Number of processes."`
	Copies  int           `default:"2" help:"Copies of each message, including the owner's."`
	Length  time.Duration `default:"30s" help:"Duration of load and faults."`
	Places  bool          `help:"Use two regions with four zones and a site per zone, include faults of zones and sites, and enable the global traffic plan ([place])."`
	Rate    float64       `default:"150" help:"Messages per second over all members."`
	Abreast int           `default:"2" help:"Clusters to run in parallel."`
	Shrink  int           `default:"0" help:"Runs to spend on shrinking the list of faults of a seed that breaks a rule."`
	Events  bool          `help:"Print all events of a seed that breaks a rule or fails."`
}

// Run runs a trial per seed and fails if a rule was broken.
func (c faultsCmd) Run() error { return c.withProgram(c.runTrials) }

func (c faultsCmd) runTrials(ctx context.Context, program []string) error {
	dir, err := os.MkdirTemp("", "larklab-cluster-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	var errs []error
	submitted, accepted, violations, finished := int64(0), int64(0), 0, 0
	semaphore := make(chan struct{}, max(1, c.Abreast))
	start := time.Now()
	var trials sync.WaitGroup
	for i := range c.Seeds {
		semaphore <- struct{}{}
		trials.Go(func() {
			defer func() { <-semaphore }()
			trial := cluster.Trial{
				Seed: c.Seed + uint64(i), Members: c.Members, Length: c.Length, Rate: c.Rate, Copies: c.Copies, Program: program, Places: c.Places,
				Dir: filepath.Join(dir, fmt.Sprint(i)),
			}
			trialCtx, cancel := context.WithTimeout(ctx, c.Length+3*time.Minute)
			defer cancel()
			outcome, err := trial.Run(trialCtx)
			if len(outcome.Broken) > 0 && c.Shrink > 0 {
				if only, shrunk := trial.Shrink(ctx, c.Shrink); len(shrunk.Broken) > 0 {
					outcome.Broken, outcome.Events = append(outcome.Broken, fmt.Sprintf("faults %v are sufficient: %q", only, shrunk.Faults)), shrunk.Events
				}
			}
			_ = os.RemoveAll(trial.Dir)
			mu.Lock()
			defer mu.Unlock()
			finished++
			submitted, accepted, violations = submitted+outcome.Handed, accepted+outcome.Taken, violations+len(outcome.Broken)
			remaining := time.Since(start) / time.Duration(finished) * time.Duration(c.Seeds-finished)
			fmt.Printf("%s; %v remaining\n", outcome.Summary(), remaining.Round(time.Second))
			for _, violation := range outcome.Broken {
				fmt.Println("  broken:", violation)
			}
			if err != nil {
				errs = append(errs, fmt.Errorf("seed %d: %w", outcome.Seed, err))
				fmt.Println("  error:", err, strings.Join(outcome.Faults, "; "))
			}
			if c.Events && (err != nil || len(outcome.Broken) > 0) {
				fmt.Println(strings.Join(outcome.Events, "\n"))
			}
		})
	}
	trials.Wait()
	fmt.Printf("%d seeds, %d messages submitted, %d accepted, %d rules broken, %v\n", finished, submitted, accepted, violations, time.Since(start).Round(time.Second))
	if violations > 0 {
		errs = append(errs, errRuleBroken)
	}
	return errors.Join(errs...)
}

type takeoverCmd struct {
	fleetFlags
	Kills int `default:"100" help:"Number of kills."`
}

// Run measures the takeover times and prints them.
func (c takeoverCmd) Run() error {
	return c.withProgram(func(ctx context.Context, program []string) error {
		return cluster.Takeovers{Program: program, Kills: c.Kills, Out: os.Stdout}.Run(ctx)
	})
}

type costCmd struct {
	fleetFlags
	Plain  string        `default:"bin/larkreach" help:"Path of the forwarder built without [cluster]."`
	Length time.Duration `default:"8s" help:"Duration of each run."`
	Rounds int           `default:"1" help:"Number of times to repeat all runs."`
}

// Run measures both builds of the forwarder and prints the figures.
func (c costCmd) Run() error {
	plain, err := filepath.Abs(c.Plain)
	if err != nil {
		return err
	}
	return c.withProgram(func(ctx context.Context, program []string) error {
		return cluster.Cost{Program: program, Plain: []string{plain, "serve"}, Length: c.Length, Rounds: c.Rounds, Out: os.Stdout}.Run(ctx)
	})
}

type modelCmd struct {
	States int `default:"1000000" help:"Maximum number of states to visit per model."`
}

// Run checks the models and prints the number of states visited.
func (c modelCmd) Run() error { return cluster.WalkModels(c.States, os.Stdout) }

type spreadCmd struct {
	Sizes []int   `default:"10,100,300,1000" help:"Numbers of members."`
	Seeds int     `default:"5" help:"Number of simulations per size."`
	Loss  float64 `default:"0" help:"Share of pushes and replies that are lost, from 0 to 1."`
}

// Run simulates each size and prints the medians.
func (c spreadCmd) Run() error { return cluster.MeasureSpread(c.Sizes, c.Seeds, c.Loss, os.Stdout) }

type scaleCmd struct {
	fleetFlags
	Sizes     []int         `default:"300,1000,3000" help:"Numbers of members."`
	Rate      float64       `default:"5" help:"Changes per second."`
	Joins     float64       `default:"0" help:"Members that join per second; 0 is unlimited."`
	Relays    int           `default:"0" help:"Number of relays between members and voters."`
	Narrow    bool          `help:"Members watch only themselves, the plan and the voters, which the program's own members do not do yet."`
	Configure bool          `help:"Change configuration entries, which members apply and report, instead of members."`
	Faults    bool          `help:"Inject faults of relays, voters and members after the fault-free phase."`
	Length    time.Duration `default:"20s" help:"Duration of the fault-free phase of each size; each fault phase lasts half as long."`
}

// Run measures each size and prints the figures.
func (c scaleCmd) Run() error {
	return c.withProgram(func(ctx context.Context, program []string) error {
		return cluster.Scale{
			Program: program, Relays: c.Relays, Narrow: c.Narrow, Configure: c.Configure, Faults: c.Faults, Sizes: c.Sizes, Joins: c.Joins,
			Rate: c.Rate, Length: c.Length,
			Out: os.Stdout,
		}.Run(ctx)
	})
}

type catchupCmd struct {
	fleetFlags
	Length time.Duration `default:"8s" help:"Duration of load before and after the new replica is added."`
	Rounds int           `default:"3" help:"Number of measurements."`
	Extra  string        `help:"Extra lines of the [cluster] section, such as 'catch-up = \"2MiB\"'."`
}

// Run measures the catch-up once per round.
func (c catchupCmd) Run() error {
	return c.withProgram(func(ctx context.Context, program []string) error {
		for range c.Rounds {
			if err := (cluster.Catchup{Program: program, Length: c.Length, Extra: c.Extra, Out: os.Stdout}).Run(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}
