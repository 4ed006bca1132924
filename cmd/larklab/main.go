// Command larklab runs experiments with the forwarder, in simulation and with real processes on loopback. None of them
// is part of the tests; docs/lab.md lists the requirements and results of each.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/experiment"
	"mulleinbeam/internal/lab/live"
	"mulleinbeam/internal/lab/report"
	"mulleinbeam/internal/lab/scenario"
	"mulleinbeam/internal/lab/simulation"
	"mulleinbeam/internal/settings"
)

type cli struct {
	LongBodies longCmd     `cmd:"" help:"Send long bodies through the forwarder: memory, throughput, CPU time, and the effect on short messages."`
	Journal    journalCmd  `cmd:"" help:"Run messages through the journal from accept to end: accepts per second, longest stall, bytes written, time to open, memory."`
	Bursts     burstsCmd   `cmd:"" help:"Send many requests at once on each connection: memory, processor time, and the answers of other clients."`
	Run        runCmd      `cmd:"" help:"Simulate a scenario in virtual time; exits with status 1 if a rule was broken."`
	Sweep      sweepCmd    `cmd:"" help:"Simulate a scenario for each combination of settings."`
	Compare    compareCmd  `cmd:"" help:"Simulate a scenario with and without a change, paired by seed."`
	Live       liveCmd     `cmd:"" help:"Run a scenario in real time with the real program, with and without learned state, and compare it with the simulation."`
	Places     placesCmd   `cmd:"" help:"Simulate days of a fleet in several zones and regions under the traffic plan and other routing policies."`
	Plan       planCmd     `cmd:"" help:"Replay recorded traffic reports of a fleet and compare the decisions made with those of other settings."`
	Cluster    clusterCmd  `cmd:"" help:"Experiments with a cluster: replication, takeover, the control plane and models of their state machines."`
	Capacity   capacityCmd `cmd:"" help:"Measure how resource use grows with a deployment and estimate the planned size."`
	Relay      relayCmd    `cmd:"" hidden:"" help:"Run a plain TCP relay as a baseline."`
}

// signalContext returns a context that SIGINT and SIGTERM cancel.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type longCmd struct {
	Program string         `default:"bin/larkreach" help:"Path of the forwarder."`
	Size    settings.Bytes `default:"4GiB" help:"Size of the larger body."`
	Small   settings.Bytes `default:"256MiB" help:"Size of the smaller body."`
	Rate    settings.Bytes `default:"50MB" help:"Bytes per second of a throttled peer."`
}

// Run measures the forwarder against the relay and prints the figures.
func (c longCmd) Run() error {
	if c.Small < 1<<20 || c.Size < c.Small || c.Rate < 1<<10 {
		return errors.New("want --small of at least 1MiB, --size not below --small, and --rate of at least 1KiB")
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return experiment.Long{
		Program: []string{program, "serve"}, Relay: []string{self, "relay"}, Small: int64(c.Small), Size: int64(c.Size),
		Rate: int64(c.Rate), Out: os.Stdout,
	}.Run()
}

type journalCmd struct {
	Disks    []settings.Bytes `default:"3MB,32MB,1GB" help:"Disk sizes."`
	Lives    []int            `default:"10,50,80" help:"Percentages of the disk that hold live messages."`
	Bodies   []settings.Bytes `default:"300B,16KiB,64KiB" help:"Body sizes."`
	Dir      string           `type:"existingdir" help:"Directory for the journals; the system's temporary directory by default."`
	Longest  time.Duration    `default:"5s" help:"Longest steady phase of a run."`
	Turnover float64          `default:"4" help:"Bytes accepted in the steady phase of a run, as a multiple of the disk size."`
	Sync     bool             `help:"Enable group commit; measures the appends, not the waits for the commit."`
}

// Run measures the journal and prints the figures.
func (c journalCmd) Run() error {
	j := experiment.Journal{
		Engines: []experiment.Engine{experiment.Segments}, Dir: c.Dir, Lives: c.Lives, Longest: c.Longest, Turnover: c.Turnover,
		Sync: c.Sync, Out: os.Stdout,
	}
	for _, d := range c.Disks {
		j.Disks = append(j.Disks, int64(d))
	}
	for _, b := range c.Bodies {
		j.Bodies = append(j.Bodies, int(b))
	}
	return j.Run()
}

type runCmd struct {
	File  string `arg:"" type:"existingfile" help:"TOML file of the scenario; deploy/scenarios has examples."`
	Seed  uint64 `default:"1" help:"First seed."`
	Seeds int    `default:"1" help:"Number of consecutive seeds."`
	JSON  bool   `name:"json" help:"Print the results as JSON."`
	HTML  string `name:"html" placeholder:"FILE" help:"Write an HTML report to FILE."`
}

var errRuleBroken = errors.New("a rule was broken")

// Run simulates the scenario once per seed and prints the results and the first broken rule's counterexample.
func (c runCmd) Run() error {
	s, err := scenario.Read(c.File)
	if err != nil {
		return err
	}
	start := time.Now()
	variants := []simulation.Variant{{Name: s.Name, Scenario: s}}
	results, err := simulate(variants, c.Seed, c.Seeds)
	if err != nil {
		return err
	}
	if err := writeReport(c.HTML, report.Page{Title: s.Name, Variants: variants, Results: results}); err != nil {
		return err
	}
	events, broken := int64(0), false
	for _, r := range results[0] {
		events += r.Events
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
				return err
			}
		}
		for _, violation := range r.Violations {
			fmt.Printf("seed %d: rule broken at %s\n", r.Seed, violation)
		}
		if len(r.Violations) > 0 && !broken {
			broken = true
			if err := printCounterexample(s, r.Seed); err != nil {
				return err
			}
		}
	}
	if !c.JSON {
		printFigures("", results[0])
		fmt.Printf("%d events in %v\n", events, time.Since(start).Round(time.Millisecond))
	}
	if broken {
		return errRuleBroken
	}
	return nil
}

// printFigures prints the mean of each figure over the seeds, with its confidence interval.
func printFigures(indent string, results []simulation.Result) {
	for _, f := range simulation.Metrics {
		interval := simulation.Bootstrap(f.Values(results), 1)
		fmt.Printf("%s%-45s %12.3f  (%.3f to %.3f)\n", indent, f.Name, interval.Mean, interval.Low, interval.High)
	}
}

// maxShrinkRuns bounds the number of simulations of the search for a smaller scenario.
const maxShrinkRuns = 200

// printCounterexample prints the smallest scenario found that breaks a rule with the seed, and the events of the message
// for which the rule was broken.
func printCounterexample(s scenario.Scenario, seed uint64) error {
	s = simulation.Shrink(s, func(s scenario.Scenario) bool {
		w, err := simulation.New(s, seed)
		return err == nil && len(w.Run().Violations) > 0
	}, maxShrinkRuns)
	w, err := simulation.New(s, seed)
	if err != nil {
		return err
	}
	type line struct {
		at          time.Duration
		event       int64
		id          mb.MessageID
		description string
	}
	var lines []line
	w.Trace = func(at time.Duration, event int64, id mb.MessageID, description string) {
		lines = append(lines, line{at, event, id, description})
	}
	r := w.Run()
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	fmt.Printf("\nsmallest scenario found that breaks a rule with seed %d:\n\n%s\n%s\n", seed, text, strings.Join(r.Violations, "\n"))
	for _, l := range lines {
		if l.id == r.FirstViolationMessage {
			fmt.Printf("  %v, event %d: %s\n", l.at, l.event, l.description)
		}
	}
	return nil
}

// writeReport writes the report to path; an empty path writes none.
func writeReport(path string, page report.Page) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(f), f.Close())
}

// simulate simulates each variant with count seeds from seed on and prints its progress to stderr.
func simulate(variants []simulation.Variant, seed uint64, count int) ([][]simulation.Result, error) {
	ctx, stop := signalContext()
	defer stop()
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, seed+uint64(i))
	}
	return simulation.Sweep(ctx, variants, seeds, runtime.GOMAXPROCS(0), func(done, total int, remaining time.Duration) {
		if total > 1 {
			fmt.Fprintf(os.Stderr, "\r%d of %d, %v remaining   ", done, total, remaining.Round(time.Second))
			if done == total {
				fmt.Fprintln(os.Stderr)
			}
		}
	})
}

type sweepCmd struct {
	File  string   `arg:"" type:"existingfile" help:"TOML file of the scenario."`
	Set   []string `sep:"none" placeholder:"KEY=VALUE,VALUE" help:"A key of the scenario and the values to try; may be repeated."`
	Seed  uint64   `default:"1" help:"First seed."`
	Seeds int      `default:"10" help:"Number of consecutive seeds."`
	HTML  string   `name:"html" placeholder:"FILE" help:"Write an HTML report to FILE."`
}

// Run simulates each combination and prints its figures.
func (c sweepCmd) Run() error {
	var settings []scenario.Setting
	for _, text := range c.Set {
		s, err := scenario.ParseSetting(text)
		if err != nil {
			return err
		}
		settings = append(settings, s)
	}
	points, err := scenario.Grid(c.File, settings)
	if err != nil {
		return err
	}
	var variants []simulation.Variant
	for _, p := range points {
		variants = append(variants, simulation.Variant{Name: p.Name, Scenario: p.Scenario})
	}
	results, err := simulate(variants, c.Seed, c.Seeds)
	if err != nil {
		return err
	}
	if err := writeReport(c.HTML, report.Page{Title: points[0].Scenario.Name, Variants: variants, Results: results}); err != nil {
		return err
	}
	for i, v := range variants {
		fmt.Println(v.Name)
		printFigures("  ", results[i])
	}
	return nil
}

type compareCmd struct {
	File  string `arg:"" type:"existingfile" help:"TOML file of the scenario."`
	With  string `enum:"learned,copies" default:"learned" help:"The change: learned state kept across kills, or copies of pending messages at other forwarders."`
	Seed  uint64 `default:"1" help:"First seed."`
	Seeds int    `default:"30" help:"Number of consecutive seeds."`
	HTML  string `name:"html" placeholder:"FILE" help:"Write an HTML report to FILE."`
}

// Run simulates both variants and prints the differences.
func (c compareCmd) Run() error {
	s, err := scenario.Read(c.File)
	if err != nil {
		return err
	}
	without, with := s, s
	switch c.With {
	case "copies":
		without.Copies.Enabled, with.Copies.Enabled = false, true
	default:
		without.Learned.Enabled, with.Learned.Enabled = false, true
	}
	variants := []simulation.Variant{{Name: "without", Scenario: without}, {Name: "with " + c.With, Scenario: with}}
	results, err := simulate(variants, c.Seed, c.Seeds)
	if err != nil {
		return err
	}
	title := fmt.Sprintf("%s, with and without %s", s.Name, c.With)
	if err := writeReport(c.HTML, report.Page{Title: title, Variants: variants, Results: results}); err != nil {
		return err
	}
	differences, err := simulation.Compare(results[0], results[1])
	if err != nil {
		return err
	}
	fmt.Printf("%-45s %12s %12s   difference\n", fmt.Sprintf("%s, %d seeds", s.Name, c.Seeds), "without", "with "+c.With)
	for _, d := range differences {
		note := ""
		if d.Diff.IncludesZero() {
			note = "  may be chance"
		}
		fmt.Printf("%-45s %12.3f %12.3f   %+.3f (%+.3f to %+.3f)%s\n", d.Metric, d.A, d.B, d.Diff.Mean, d.Diff.Low, d.Diff.High, note)
	}
	return nil
}

type liveCmd struct {
	File    string `arg:"" type:"existingfile" help:"TOML file of the scenario; at most a few forwarders and some hundred messages per second."`
	Program string `default:"bin/larkreach" help:"Path of the forwarder."`
	Seed    uint64 `default:"1" help:"First seed."`
	Seeds   int    `default:"1" help:"Number of consecutive seeds."`
}

// Run runs each seed in real time, with and without learned state in parallel, and prints the figures beside those of
// the simulation.
func (c liveCmd) Run() error {
	s, err := scenario.Read(c.File)
	if err != nil {
		return err
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	variants := []simulation.Variant{{Name: "without", Scenario: s}, {Name: "with", Scenario: s}}
	variants[0].Scenario.Learned.Enabled, variants[1].Scenario.Learned.Enabled = false, true
	virtual, err := simulate(variants, c.Seed, c.Seeds)
	if err != nil {
		return err
	}
	realTime := make([][]simulation.Result, len(variants))
	broken := false
	for i := range c.Seeds {
		results, errs := make([]simulation.Result, len(variants)), make([]error, len(variants))
		var runs sync.WaitGroup
		for v := range variants {
			runs.Go(func() { results[v], errs[v] = c.runOnce(ctx, program, variants[v].Scenario, c.Seed+uint64(i)) })
		}
		runs.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		for v, r := range results {
			realTime[v] = append(realTime[v], r)
			for _, violation := range r.Violations {
				broken = true
				fmt.Printf("%s, seed %d: rule broken: %s\n", variants[v].Name, r.Seed, violation)
			}
		}
	}
	fmt.Printf("%-45s %14s %14s %14s %14s\n", fmt.Sprintf("%s, %d seeds, means", s.Name, c.Seeds), "real, without", "real, with", "virtual, w/o", "virtual, with")
	for _, f := range simulation.Metrics {
		fmt.Printf("%-45s", f.Name)
		for _, results := range [][]simulation.Result{realTime[0], realTime[1], virtual[0], virtual[1]} {
			fmt.Printf(" %14.3f", f.Mean(results))
		}
		fmt.Println()
	}
	if broken {
		return errRuleBroken
	}
	return nil
}

// runOnce runs the scenario once in real time, in a temporary directory.
func (c liveCmd) runOnce(ctx context.Context, program string, s scenario.Scenario, seed uint64) (simulation.Result, error) {
	dir, err := os.MkdirTemp("", "larklab-live-")
	if err != nil {
		return simulation.Result{}, err
	}
	defer os.RemoveAll(dir)
	return live.Run{Scenario: s, Seed: seed, Program: []string{program, "serve"}, Dir: dir, Log: func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	}}.Play(ctx)
}

type relayCmd struct {
	To string `arg:"" help:"Address to relay to."`
}

// Run relays connections until the process is terminated.
func (c relayCmd) Run() error { return experiment.Relay(c.To, os.Stdout) }

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("larklab"), kong.Description("Experiments with the forwarder on loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "larklab:", err)
		os.Exit(1)
	}
}
