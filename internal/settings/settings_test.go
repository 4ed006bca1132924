package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Invalid settings are rejected with an error that names the file, line and key.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":        {"[bodies]\nwindow = \"256KiB\"\nwidth = 3\n", "settings: f.toml:3: bodies.width: no such key"},
		"unknown table":      {"# hm\n\n[body]\n", "settings: f.toml:3: body: no such key"},
		"bad size":           {"[bodies]\nmost = \"16 potatoes\"\n", `settings: f.toml:2: bodies.most: "16 potatoes" is not a size: a whole number and a unit, such as 256KiB`},
		"size without unit":  {"[bodies]\nmost = \"16\"\n", `settings: f.toml:2: bodies.most: "16" is not a size: a whole number and a unit, such as 256KiB`},
		"size too large":     {"[bodies]\nmost = \"9999999TiB\"\n", `settings: f.toml:2: bodies.most: "9999999TiB" is not a size: a whole number and a unit, such as 256KiB`},
		"negative size":      {"[bodies]\nmost = \"-1KiB\"\n", `settings: f.toml:2: bodies.most: "-1KiB" is not a size: a whole number and a unit, such as 256KiB`},
		"bad time":           {"[bodies]\nidle = \"soon\"\n", `settings: f.toml:2: bodies.idle: "soon" is not a duration: a number and a unit, such as 20s`},
		"window over total":  {"[bodies]\nslots = 1\nwindow = \"16MiB\"\ntotal = \"16MiB\"\n", "settings: f.toml:4: bodies.total: 16777216 bytes; must hold the two windows of one message, 33554432 bytes"},
		"window too small":   {"[bodies]\nwindow = \"4KiB\"\n", "settings: f.toml:2: bodies.window: 4096 bytes; must be from 131072 to 67108864"},
		"slots over total":   {"[bodies]\ntotal = \"1MiB\"\n", "settings: f.toml:1: bodies.slots: 4 concurrent calls; total has windows for 2"},
		"zero slots":         {"[bodies]\nslots = 0\n", "settings: f.toml:2: bodies.slots: 0; must be from 1 to 4096"},
		"longest under idle": {"[bodies]\nidle = \"1m\"\nlongest = \"30s\"\n", "settings: f.toml:3: bodies.longest: 30s; must be from idle, 1m0s, to 24h0m0s"},
		"unknown durability": {"[journal]\ndurability = \"some\"\n", `settings: f.toml:2: journal.durability: "some"; must be none, batch or each`},
		"disk too small":     {"[journal]\ndisk = \"100KiB\"\n", "settings: f.toml:2: journal.disk: 102400 bytes; must be at least 294912"},
		"segment too small":  {"[journal]\nsegment = \"1KiB\"\n", "settings: f.toml:2: journal.segment: 1024 bytes; must be from 65536 to 1073741824"},
		"segment over disk":  {"[journal]\ndisk = \"1MiB\"\nsegment = \"256KiB\"\n", "settings: f.toml:3: journal.segment: 262144 bytes; with disk = 1048576 bytes, must be at most 131072"},
		"interval too short": {"[learned]\ninterval = \"1ms\"\n", "settings: f.toml:2: learned.interval: 1ms; must be from 200ms to 10m0s"},
		"learned too small":  {"[learned]\nsize = \"1KiB\"\n", "settings: f.toml:2: learned.size: 1024 bytes; must be from 4096 to 67108864"},
		"negative ids":       {"[learned]\nids = -1\n", "settings: f.toml:2: learned.ids: -1; must be from 0 to 1048576"},
		"relay without port": {"[cluster]\nlisten = \"a:1\"\nfounders = [\"n@a:1\"]\nrelays = [\"z@a\"]\n", `settings: f.toml:4: cluster.relays: "z@a" is not a zone@host:port address`},
		"duplicate relay":    {"[cluster]\nlisten = \"a:1\"\nfounders = [\"n@a:1\"]\nrelays = [\"z@a:1\", \"y@a:1\"]\n", `settings: f.toml:4: cluster.relays: "y@a:1" has a duplicate address`},
		"dotted key":         {"bodies.slots = 0\n", "settings: f.toml:1: bodies.slots: 0; must be from 1 to 4096"},
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
			t.Errorf("%q was accepted", text)
		}
	}
}

// Missing keys of a table have their default values, a missing table is nil, and the example files in deploy hold the
// defaults.
func TestDefaultsAndExample(t *testing.T) {
	if f, err := Parse("f.toml", nil); err != nil || f.Bodies != nil || f.Journal != nil || f.Learned != nil {
		t.Errorf("empty file: %+v, %v", f, err)
	}
	f, err := Parse("f.toml", []byte("[bodies]\nwindow = \"1MiB\"\nidle = \"90s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := bodiesDefaults
	want.WindowBytes, want.IdleTimeout = 1<<20, Duration(90*time.Second)
	if diff := cmp.Diff(want, *f.Bodies); diff != "" || f.Bodies.MaxConcurrent() != 12 {
		t.Errorf("MaxConcurrent returns %d\n%s", f.Bodies.MaxConcurrent(), diff)
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
	wantCluster := clusterDefaults
	wantCluster.Listen, wantCluster.Zone, wantCluster.Region, wantCluster.Voters, wantCluster.AllowUnreplicated = c.Cluster.Listen, c.Cluster.Zone, c.Cluster.Region, c.Cluster.Voters, c.Cluster.AllowUnreplicated
	if diff := cmp.Diff(&wantCluster, c.Cluster); diff != "" || len(wantCluster.Voters) != 3 {
		t.Errorf("deploy/cluster.toml differs from the defaults:\n%s", diff)
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
		t.Errorf("deploy/place.toml: %+v", p)
	}
	if _, err := Parse("p.toml", place); err == nil || !strings.Contains(err.Error(), "it needs [cluster]") {
		t.Errorf("[place] without [cluster]: %v", err)
	}
	if diff := cmp.Diff(File{Bodies: &bodiesDefaults, Journal: &journalDefaults, Learned: &learnedDefaults}, f); diff != "" {
		t.Errorf("deploy/larkreach.toml differs from the defaults:\n%s", diff)
	}
}
