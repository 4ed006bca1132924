package scenario

import (
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

const minimal = `
[[partners]]
count = 1
endpoints = 1
capacity = 10.0
service = { kind = "constant", mean = 5.0 }
[[classes]]
name = "c"
effect = "safe"
share = 1.0
target = "1s"
give-up = "5s"
[traffic]
rate = 5.0
`

// Errors of invalid scenarios name the file and the key.
func TestErrors(t *testing.T) {
	if _, err := Parse("s.toml", []byte(minimal)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":         {"count = 1", "cuont = 1", "s.toml:3: partners.cuont: no such key"},
		"no time":             {`target = "1s"`, `target = "soon"`, "s.toml:11"},
		"no partners":         {"count = 1", "count = 0", "partners 1: count"},
		"no distribution":     {`"constant"`, `"weird"`, `no distribution "weird"`},
		"effect":              {`"safe"`, `"harmless"`, `effect "harmless"`},
		"no rate":             {"rate = 5.0", "rate = 0.0", "traffic"},
		"keyed, no time":      {`"safe"`, `"keyed"`, "key-ttl"},
		"fault":               {"[traffic]", "[[faults]]\nkind = \"quake\"\n[traffic]", `no kind "quake"`},
		"slow without factor": {"[traffic]", "[[faults]]\nkind = \"slow\"\n[traffic]", "needs by"},
		"share":               {"[traffic]", "[[faults]]\nkind = \"kill\"\nshare = 1.5\n[traffic]", "share and lose must be from 0 to 1"},
	} {
		if _, err := Parse("s.toml", []byte(strings.Replace(minimal, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The example scenarios are valid.
func TestExamples(t *testing.T) {
	if s, err := Read("../../../deploy/scenarios/mass-restart.toml"); err != nil || len(s.Faults) != 2 {
		t.Errorf("%d faults, %v", len(s.Faults), err)
	}
}

// Grid returns each combination of values and rejects keys and values that cannot be set.
func TestGrid(t *testing.T) {
	path := t.TempDir() + "/s.toml"
	if err := os.WriteFile(path, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	parse := func(texts ...string) (list []Setting) {
		for _, text := range texts {
			s, err := ParseSetting(text)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, s)
		}
		return list
	}
	points, err := Grid(path, parse("fleet.slots=8,16", "partners.0.limit=5.0,6.5,7.0", "length=3s", "learned.keep=true"))
	if err != nil || len(points) != 6 {
		t.Fatal(len(points), err)
	}
	last := points[5]
	if last.Name != "fleet.slots=16 partners.0.limit=7.0 length=3s learned.keep=true" || last.Scenario.Fleet.Slots != 16 ||
		last.Scenario.Destinations[0].Limit != 7 || last.Scenario.Length.D().Seconds() != 3 || !last.Scenario.Learned.Enabled {
		t.Errorf("%+v", last)
	}
	if points[0].Scenario.Fleet.Slots != 8 || points[0].Scenario.Destinations[0].Limit != 5 {
		t.Errorf("%+v", points[0])
	}
	for _, bad := range []string{"partners.7.limit=1.0", "fleet.solts=8", "fleet.slots=many", "name.x=1"} {
		if _, err := Grid(path, parse(bad)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
	for _, bad := range []string{"", "a", "=1", "a="} {
		if _, err := ParseSetting(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// Each distribution has the requested mean and spread, and equal seeds give equal draws.
func TestDistributions(t *testing.T) {
	for _, d := range []Distribution{
		{"constant", 20, 0}, {"exponential", 20, 1}, {"lognormal", 20, 0.5}, {"gamma", 20, 0.7}, {"uniform", 20, 0.4}, {"gamma", 20, 0},
	} {
		draw, err := d.Sampler(rand.NewPCG(1, 2))
		if err != nil {
			t.Fatal(err)
		}
		again, _ := d.Sampler(rand.NewPCG(1, 2))
		const n = 200_000
		sum, squares := 0.0, 0.0
		for range n {
			x := draw()
			if x < 0 || x != again() {
				t.Fatalf("%+v: drew %v", d, x)
			}
			sum += x
			squares += x * x
		}
		mean := sum / n
		spread := math.Sqrt(max(0, squares/n-mean*mean)) / mean
		if math.Abs(mean-d.Mean) > 0.02*d.Mean || math.Abs(spread-d.Spread) > 0.02 {
			t.Errorf("%+v: mean %v, spread %v", d, mean, spread)
		}
	}
	if _, err := (Distribution{"uniform", 1, 0.9}).Sampler(nil); err == nil {
		t.Error("a uniform distribution with values below zero was accepted")
	}
}
