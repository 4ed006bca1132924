package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

func d(v time.Duration) scenario.Duration { return scenario.Duration(v) }

// small is a scenario that the tests modify.
func small(faults ...scenario.Fault) scenario.Scenario {
	return scenario.Scenario{
		Name: "small", Length: d(25 * time.Second), Fleet: scenario.Fleet{Forwarders: 4, Slots: 16, MostHeld: 300},
		Destinations: []scenario.DestinationGroup{{
			Count: 4, Endpoints: 2, Capacity: 40, CapacityHint: 1, ServiceTime: scenario.Distribution{Kind: "lognormal", Mean: 60, Spread: 0.4},
			Limit: 40, RefusalsCount: true, RetryAfter: d(2 * time.Second),
		}},
		Classes: []scenario.Class{
			{Name: "safe", Effect: "safe", Share: 0.6, Worth: 1, Target: d(time.Second), DeliveryTimeout: d(15 * time.Second)},
			{Name: "keyed", Effect: "keyed", Share: 0.2, Worth: 2, Target: d(3 * time.Second), DeliveryTimeout: d(15 * time.Second), KeyTTL: d(10 * time.Second)},
			{Name: "unsafe", Effect: "unsafe", Share: 0.2, Worth: 5, Target: d(3 * time.Second), DeliveryTimeout: d(15 * time.Second)},
		},
		Traffic: scenario.Traffic{Rate: 90, MaxRetries: 2}, Faults: faults,
		Rules: scenario.Rules{
			ColdFrom: 0.2, WarmWithin: d(8 * time.Second), OverloadFactor: 1.3, OverloadWindow: d(time.Second), OverloadDowntime: d(3 * time.Second),
		},
		Learned: scenario.Learned{SaveInterval: d(time.Second)},
	}
}

func play(t *testing.T, s scenario.Scenario, seed uint64) Result {
	t.Helper()
	sim, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return sim.Run()
}

// Equal seeds give equal runs, different seeds different ones.
func TestEqualSeeds(t *testing.T) {
	s := small(
		scenario.Fault{Kind: scenario.Outage, At: d(5 * time.Second), Duration: d(4 * time.Second), Share: 0.5},
		scenario.Fault{Kind: scenario.Kill, At: d(7 * time.Second), Share: 0.5, MinDowntime: d(time.Second), MaxDowntime: d(3 * time.Second)},
	)
	s.Learned.Enabled = true
	a, b, c := play(t, s, 1), play(t, s, 1), play(t, s, 2)
	if diff := cmp.Diff(a, b); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(a, c, cmpopts.IgnoreFields(Result{}, "Seed")) {
		t.Error("two seeds gave equal runs")
	}
}

// No fault causes a rule violation, and each fault has a visible effect on the result.
func TestRulesAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		fault scenario.Fault
		seen  func(r, calm Result) bool
	}{
		"outage":  {scenario.Fault{Kind: scenario.Outage, Share: 0.5}, func(r, calm Result) bool { return r.ColdCalls > 0 }},
		"silence": {scenario.Fault{Kind: scenario.Silence, Share: 0.5}, func(r, calm Result) bool { return r.Worth.Delivered < 0.98*calm.Worth.Delivered }},
		"slow":    {scenario.Fault{Kind: scenario.Slow, Share: 1, Factor: 20}, func(r, calm Result) bool { return r.Worth.Delivered < 0.98*calm.Worth.Delivered }},
		"limit":   {scenario.Fault{Kind: scenario.Limit, Share: 1, Factor: 0.3}, func(r, calm Result) bool { return r.OverLimit > calm.OverLimit }},
		"load":    {scenario.Fault{Kind: scenario.Load, Factor: 3}, func(r, calm Result) bool { return r.Offered > calm.Offered*6/5 }},
		"kill":    {scenario.Fault{Kind: scenario.Kill, Share: 0.5, MinDowntime: d(time.Second), MaxDowntime: d(4 * time.Second)}, func(r, calm Result) bool { return r.Kills == 2 }},
		"drain":   {scenario.Fault{Kind: scenario.Drain, Share: 1}, func(r, calm Result) bool { return r.Calls > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			c.fault.At, c.fault.Duration = d(6*time.Second), d(6*time.Second)
			for seed := range uint64(2) {
				calm := play(t, small(), seed)
				for _, keep := range []bool{false, true} {
					s := small(c.fault)
					s.Learned.Enabled = keep
					r := play(t, s, seed)
					for _, b := range r.Violations {
						t.Errorf("seed %d, learned %v: %s", seed, keep, b)
					}
					if !c.seen(r, calm) {
						t.Errorf("seed %d: the fault has no visible effect: %+v", seed, r.Worth)
					}
					if share := calm.Worth.Delivered / calm.Worth.Offered; share < 0.95 || len(calm.Violations) > 0 {
						t.Errorf("seed %d: a run without faults delivers %.2f, violations %v", seed, share, calm.Violations)
					}
				}
			}
		})
	}
}

// The checker detects a violation of each rule.
func TestCheckerFinds(t *testing.T) {
	s := small()
	for name, f := range map[string]func(sim *Simulation, fwd *forwarder, m *message, c *call){
		"ended twice": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			fwd.endMessage(m, Failed)
			fwd.endMessage(m, Refused)
		},
		"not ended": func(sim *Simulation, fwd *forwarder, m *message, c *call) { sim.checker.end() },
		"late": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			sim.now = m.deadline + time.Second
			fwd.endMessage(m, Failed)
		},
		"second effect": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			sim.checker.executed(m)
			sim.checker.executed(m)
		},
		"sent again": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			m.mayHaveRun = true
			sim.checker.started(fwd, c)
		},
		"after its key expired": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			m.request.class = &s.Classes[1]
			m.mayHaveRun = true
			sim.now = time.Minute
			sim.checker.started(fwd, c)
		},
		"slots": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			fwd.callsOut = 99
			sim.checker.sent(fwd, c)
		},
		"drained": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			fwd.readiness[c.endpoint.name] = mb.Draining
			sim.checker.sent(fwd, c)
		},
		"within a retry-after": func(sim *Simulation, fwd *forwarder, m *message, c *call) {
			fwd.retryAfters[c.destination.id] = retryAfter{time.Hour, fwd.incarnation}
			sim.checker.started(fwd, c)
		},
	} {
		sim, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		fwd := sim.forwarders[0]
		fwd.start()
		x := &request{class: &s.Classes[2], destination: sim.destinations[0], forwarder: fwd, deadline: 10 * time.Second}
		fwd.submit(x)
		m := fwd.held[1]
		c := &call{message: m, endpoint: sim.destinations[0].endpoints[0], destination: sim.destinations[0]}
		if len(sim.result.Violations) > 0 {
			t.Fatalf("%s: violations before the test's own: %v", name, sim.result.Violations)
		}
		if f(sim, fwd, m, c); len(sim.result.Violations) != 1 {
			t.Errorf("%s: %v", name, sim.result.Violations)
		}
	}
}

// A destination's rate limit holds over any second, refusals carry its retry-after, and overload while it is cold takes
// it down again.
func TestDestination(t *testing.T) {
	s := small()
	sim, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	p, e := sim.destinations[0], sim.destinations[0].endpoints[0]
	ok := 0
	for i := range 100 {
		f := p.handleCall(time.Duration(i)*time.Millisecond, e, false)
		if f.outcome == mb.OK {
			ok++
		} else if f.outcome != mb.Refused || f.retryAfter != 2*time.Second || f.takesEffect {
			t.Fatalf("%+v", f)
		}
	}
	if ok != 40 {
		t.Errorf("%d of 100 calls accepted with a limit of 40", ok)
	}
	if f := p.handleCall(900*time.Millisecond, e, false); f.outcome != mb.Refused {
		t.Errorf("within the second: %+v", f)
	}
	if f := p.handleCall(2500*time.Millisecond, e, false); f.outcome != mb.OK {
		t.Errorf("after the second: %+v", f)
	}
	p.startOutage(10*time.Second, 12*time.Second, false)
	if f := p.handleCall(11*time.Second, e, false); f.outcome != mb.ConnectFailed || f.takesEffect {
		t.Errorf("down: %+v", f)
	}
	taken := 0
	for at := 12 * time.Second; p.overloads == 0 && at < 13*time.Second; at += time.Millisecond {
		if p.handleCall(at, e, false).outcome != mb.Reset {
			taken++
		}
	}
	if p.overloads != 1 || taken < 8 || taken > 16 { // 1.3 x 0.2 x 40 per second, and the capacity grows
		t.Errorf("%d overloads after %d calls", p.overloads, taken)
	}
	p.startOutage(30*time.Second, 40*time.Second, true)
	if f := p.handleCall(31*time.Second, e, false); f.latency >= 0 {
		t.Errorf("silent: %+v", f)
	}
}

// After a mass restart in an outage, forwarders that keep their learned state make fewer calls within retry-afters that
// earlier incarnations received, and deliver no less.
func TestLearnedStateAfterMassRestart(t *testing.T) {
	s := small(
		scenario.Fault{Kind: scenario.Load, At: d(4 * time.Second), Duration: d(8 * time.Second), Factor: 3},
		scenario.Fault{Kind: scenario.Outage, At: d(6 * time.Second), Duration: d(5 * time.Second), Share: 0.5},
		scenario.Fault{Kind: scenario.Kill, At: d(8 * time.Second), Share: 0.5, MinDowntime: d(200 * time.Millisecond), MaxDowntime: d(time.Second)},
	)
	kept := s
	kept.Learned.Enabled = true
	seeds := []uint64{1, 2, 3, 4}
	results, err := Sweep(t.Context(), []Variant{{"without", s}, {"with", kept}}, seeds, 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	list, err := Compare(results[0], results[1])
	if err != nil {
		t.Fatal(err)
	}
	by := map[string]Difference{}
	for _, x := range list {
		by[x.Metric] = x
	}
	if x := by["calls within waits told to an earlier life"]; x.A == 0 || x.B > x.A/2 {
		t.Errorf("%+v", x)
	}
	if x := by["rules broken"]; x.A+x.B > 0 {
		t.Errorf("%+v", x)
	}
	if x := by["worth delivered, share of offered"]; x.B < x.A-0.02 {
		t.Errorf("%+v", x)
	}
}

// Shrink reduces a failing scenario while it still fails, within its budget of runs, and never produces an invalid one.
func TestShrink(t *testing.T) {
	s := small(
		scenario.Fault{Kind: scenario.Slow, At: d(2 * time.Second), Duration: d(time.Second), Factor: 2, Share: 1},
		scenario.Fault{Kind: scenario.Outage, At: d(3 * time.Second), Duration: d(time.Second), Share: 1},
		scenario.Fault{Kind: scenario.Load, At: d(4 * time.Second), Duration: d(time.Second), Factor: 2},
	)
	runs := 0
	fails := func(s scenario.Scenario) bool {
		runs++
		outage := false
		for _, f := range s.Faults {
			outage = outage || f.Kind == scenario.Outage
		}
		return outage && s.Fleet.Forwarders >= 3 && s.Length.D() >= 3*time.Second
	}
	got := Shrink(s, fails, 1000)
	if len(got.Faults) != 1 || got.Faults[0].Kind != scenario.Outage || got.Fleet.Forwarders != 3 || got.Length.D() > 4*time.Second ||
		got.Destinations[0].Count != 1 || got.Destinations[0].Endpoints != 1 || got.Traffic.Rate > 0.5 {
		t.Errorf("%+v", got)
	}
	if len(s.Faults) != 3 || s.Destinations[0].Count != 4 {
		t.Error("the input scenario was changed")
	}
	runs = 0
	if Shrink(s, fails, 5); runs > 5 {
		t.Errorf("%d runs with a budget of 5", runs)
	}
}

// The trace reports the events of a message in order.
func TestTrace(t *testing.T) {
	sim, err := New(small(), 1)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	sim.Trace = func(_ time.Duration, _ int64, id mb.MessageID, what string) {
		if id == 1 {
			lines = append(lines, what)
		}
	}
	sim.Run()
	if len(lines) < 4 || !strings.HasPrefix(lines[0], "accepted by forwarder") || !strings.HasPrefix(lines[1], "attempt 0 goes to p") ||
		lines[2] != "takes effect" || !strings.HasPrefix(lines[len(lines)-1], "attempt") && !strings.HasPrefix(lines[len(lines)-1], "ends") {
		t.Errorf("%q", lines)
	}
}

// The interval covers the true mean about as often as its confidence level says, and IncludesZero holds for
// differences around zero.
func TestBootstrap(t *testing.T) {
	covered, noise := 0, 0
	const runs = 200
	for run := range uint64(runs) {
		rng := rand.New(rand.NewPCG(run, 3))
		values := make([]float64, 30)
		for i := range values {
			values[i] = 5 + rng.NormFloat64()
		}
		i := Bootstrap(values, run)
		if i.Low <= 5 && i.High >= 5 {
			covered++
		}
		for k := range values {
			values[k] -= 5
		}
		if Bootstrap(values, run).IncludesZero() {
			noise++
		}
	}
	if covered < runs*88/100 || covered > runs*99/100 || noise != covered {
		t.Errorf("covered %d of %d, noise %d", covered, runs, noise)
	}
	if _, err := Compare(make([]Result, 2), make([]Result, 3)); err == nil {
		t.Error("results that cannot be paired were compared")
	}
	if _, err := Compare([]Result{{Seed: 1}}, []Result{{Seed: 2}}); err == nil {
		t.Error("results of different seeds were compared")
	}
}

// BenchmarkFleet measures simulated events per second of real time, by the number of forwarders.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := small()
			s.Fleet.Forwarders, s.Destinations[0].Count, s.Length = n, n/2, d(10*time.Second)
			s.Traffic.Rate = 10 * float64(n)
			events := int64(0)
			for b.Loop() {
				sim, err := New(s, 1)
				if err != nil {
					b.Fatal(err)
				}
				events += sim.Run().Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// Messages are lost with their forwarder's folder if there is no copy; with copies another forwarder takes them over
// under the same rules.
func TestLostFolders(t *testing.T) {
	s := small(
		scenario.Fault{Kind: scenario.Outage, At: d(5 * time.Second), Duration: d(5 * time.Second), Share: 0.5},
		scenario.Fault{Kind: scenario.Kill, At: d(8 * time.Second), Share: 0.5, FolderLossShare: 1, MinDowntime: d(time.Second), MaxDowntime: d(5 * time.Second)},
	)
	alone := play(t, s, 1)
	s.Copies = scenario.Copies{Enabled: true, TakeoverDelay: d(2 * time.Second), ReplicationDelay: d(time.Millisecond)}
	copied := play(t, s, 1)
	if alone.LostWithFolder == 0 || alone.TakenOver != 0 || copied.LostWithFolder != 0 || copied.TakenOver == 0 {
		t.Errorf("without copies %d lost, %d taken over; with copies %d and %d", alone.LostWithFolder, alone.TakenOver, copied.LostWithFolder, copied.TakenOver)
	}
	for _, r := range []Result{alone, copied} {
		if len(r.Violations) > 0 {
			t.Error(r.Violations)
		}
	}
	if copied.Worth.Delivered <= alone.Worth.Delivered {
		t.Errorf("worth %.0f with copies, %.0f without", copied.Worth.Delivered, alone.Worth.Delivered)
	}
}
