package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// An error names file, line and key; nothing that is off or half right gets through.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":        {"[bodies]\nwindow = \"256KiB\"\nwidth = 3\n", "settings: f.toml:3: bodies.width: no such key"},
		"unknown table":      {"# hm\n\n[body]\n", "settings: f.toml:3: body: no such key"},
		"bad size":           {"[bodies]\nmost = \"16 potatoes\"\n", `settings: f.toml:2: bodies.most: "16 potatoes" is no size: a whole number and a unit, such as 256KiB`},
		"size without unit":  {"[bodies]\nmost = \"16\"\n", `settings: f.toml:2: bodies.most: "16" is no size: a whole number and a unit, such as 256KiB`},
		"size too large":     {"[bodies]\nmost = \"9999999TiB\"\n", `settings: f.toml:2: bodies.most: "9999999TiB" is no size: a whole number and a unit, such as 256KiB`},
		"negative size":      {"[bodies]\nmost = \"-1KiB\"\n", `settings: f.toml:2: bodies.most: "-1KiB" is no size: a whole number and a unit, such as 256KiB`},
		"bad time":           {"[bodies]\nidle = \"soon\"\n", `settings: f.toml:2: bodies.idle: "soon" is no time: a number and a unit, such as 20s`},
		"window over total":  {"[bodies]\nslots = 1\nwindow = \"16MiB\"\ntotal = \"16MiB\"\n", "settings: f.toml:4: bodies.total: 16777216 bytes have no room for the two windows of one message, 33554432 bytes"},
		"window too small":   {"[bodies]\nwindow = \"4KiB\"\n", "settings: f.toml:2: bodies.window: 4096 bytes; from 131072 to 67108864 are possible"},
		"slots over total":   {"[bodies]\ntotal = \"1MiB\"\n", "settings: f.toml:1: bodies.slots: 4 calls at once; the windows of total have room for 2"},
		"no slots":           {"[bodies]\nslots = 0\n", "settings: f.toml:2: bodies.slots: 0; from 1 to 4096 are possible"},
		"longest under idle": {"[bodies]\nidle = \"1m\"\nlongest = \"30s\"\n", "settings: f.toml:3: bodies.longest: 30s; from idle, 1m0s, to 24h0m0s are possible"},
		"no durability":      {"[journal]\ndurability = \"some\"\n", `settings: f.toml:2: journal.durability: "some" is no durability: none, batch or each`},
		"little disk":        {"[journal]\ndisk = \"100KiB\"\n", "settings: f.toml:2: journal.disk: 102400 bytes; at least 294912 are needed"},
		"segment too small":  {"[journal]\nsegment = \"1KiB\"\n", "settings: f.toml:2: journal.segment: 1024 bytes; from 65536 to 1073741824 are possible"},
		"segment over disk":  {"[journal]\ndisk = \"1MiB\"\nsegment = \"256KiB\"\n", "settings: f.toml:3: journal.segment: 262144 bytes; a disk of 1048576 has room for segments of 131072"},
		"saved too often":    {"[learned]\ninterval = \"1ms\"\n", "settings: f.toml:2: learned.interval: 1ms; from 200ms to 10m0s are possible"},
		"learned too small":  {"[learned]\nsize = \"1KiB\"\n", "settings: f.toml:2: learned.size: 1024 bytes; from 4096 to 67108864 are possible"},
		"no ids":             {"[learned]\nids = -1\n", "settings: f.toml:2: learned.ids: -1; from 0 to 1048576 are possible"},
		"no relay":           {"[cluster]\nlisten = \"a:1\"\nfounders = [\"n@a:1\"]\nrelays = [\"z@a\"]\n", `settings: f.toml:4: cluster.relays: "z@a" is no relay: zone@host:port`},
		"a relay twice":      {"[cluster]\nlisten = \"a:1\"\nfounders = [\"n@a:1\"]\nrelays = [\"z@a:1\", \"y@a:1\"]\n", `settings: f.toml:4: cluster.relays: "y@a:1" is named twice`},
		"dotted":             {"bodies.slots = 0\n", "settings: f.toml:1: bodies.slots: 0; from 1 to 4096 are possible"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || err.Error() != c.want {
				t.Errorf("got  %v\nwant %s", err, c.want)
			}
		})
	}
	for _, text := range []string{"[bodies\n", "[bodies]\nslots = \"4\"\n", "\x00"} {
		if _, err := Parse("f.toml", []byte(text)); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// A table's missing keys have defaults, a missing table is off, and the example is what the page shows.
func TestDefaultsAndExample(t *testing.T) {
	if f, err := Parse("f.toml", nil); err != nil || f.Bodies != nil || f.Journal != nil || f.Learned != nil {
		t.Errorf("an empty file: %+v, %v", f, err)
	}
	f, err := Parse("f.toml", []byte("[bodies]\nwindow = \"1MiB\"\nidle = \"90s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := bodiesDefaults
	want.WindowBytes, want.IdleTimeout = 1<<20, Duration(90*time.Second)
	if diff := cmp.Diff(want, *f.Bodies); diff != "" || f.Bodies.MaxConcurrent() != 12 {
		t.Errorf("%d at once\n%s", f.Bodies.MaxConcurrent(), diff)
	}
	raw, err := os.ReadFile("../../deploy/larkreach.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, err = Parse("deploy/larkreach.toml", raw); err != nil {
		t.Fatal(err)
	}
	fleet, err := os.ReadFile("../../deploy/cluster.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse("deploy/cluster.toml", fleet)
	if err != nil {
		t.Fatal(err)
	}
	wanted := clusterDefaults
	wanted.Listen, wanted.Zone, wanted.Region, wanted.Voters, wanted.AllowUnreplicated = c.Cluster.Listen, c.Cluster.Zone, c.Cluster.Region, c.Cluster.Voters, c.Cluster.AllowUnreplicated
	if diff := cmp.Diff(&wanted, c.Cluster); diff != "" || len(wanted.Voters) != 3 {
		t.Errorf("the fleet's example differs from the defaults:\n%s", diff)
	}
	place, err := os.ReadFile("../../deploy/place.toml")
	if err != nil {
		t.Fatal(err)
	}
	both, err := Parse("deploy/place.toml", append(fleet, place...))
	if err != nil {
		t.Fatal(err)
	}
	if p := both.Place; p.Hold != placeDefaults.Hold || p.Window != placeDefaults.Window || p.Reserve != placeDefaults.Reserve || p.MaxMembers != placeDefaults.MaxMembers ||
		len(p.Crossings) != 1 || p.Crossings[0].Price != 0.3 || p.Regions["z3"] != "r2" {
		t.Errorf("the example of places: %+v", p)
	}
	if _, err := Parse("p.toml", place); err == nil || !strings.Contains(err.Error(), "it needs [cluster]") {
		t.Errorf("places without a fleet: %v", err)
	}
	if diff := cmp.Diff(File{Bodies: &bodiesDefaults, Journal: &journalDefaults, Learned: &learnedDefaults}, f); diff != "" {
		t.Errorf("the example differs from the defaults:\n%s", diff)
	}
}
