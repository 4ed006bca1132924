package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinbeam/internal/cluster/entry"
)

const entriesText = `
[destination.7]
[[destination.7.endpoint]]
name     = "p0"
address  = "10.0.0.1:80"
zone     = "z0"
capacity = 60

[[destination.7.endpoint]]
name     = "p1"
address  = "10.0.0.2:80"
zone     = "z1"
kind     = "shared"
capacity = 12.5
draining = true

[class.safe]
rate = 100
`

// A file of entries is parsed, and formatting the entries yields a file that parses to the same entries.
func TestEntriesRoundTrip(t *testing.T) {
	want := []entry.Entry{
		{Destination: &entry.Destination{Number: 7, Endpoints: []entry.Endpoint{
			{Name: "p0", Address: "10.0.0.1:80", Zone: "z0", Capacity: 60},
			{Name: "p1", Address: "10.0.0.2:80", Zone: "z1", Kind: "shared", Capacity: 12.5, Draining: true},
		}}},
		{Class: &entry.Class{Name: "safe", Rate: 100}},
	}
	path := filepath.Join(t.TempDir(), "e.toml")
	if err := os.WriteFile(path, []byte(entriesText), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := LoadEntries(path)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatalf("%v\n%s", err, diff)
	}
	if example, err := LoadEntries("../../deploy/entries.toml"); err != nil || len(example) != 2 {
		t.Errorf("deploy/entries.toml: %v, %v", example, err)
	}
	text, err := FormatEntries(got)
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseEntries("again", text)
	if diff := cmp.Diff(want, again); err != nil || diff != "" {
		t.Errorf("%v\n%s\n%s", err, text, diff)
	}
}

// Errors name the file, line and key of the invalid entry.
func TestInvalidEntries(t *testing.T) {
	replace := func(from, to string) string {
		if !strings.Contains(entriesText, from) {
			t.Fatal(from)
		}
		return strings.Replace(entriesText, from, to, 1)
	}
	var tooMany strings.Builder
	for i := range 300 {
		fmt.Fprintf(&tooMany, "[[destination.7.endpoint]]\nname=\"p%d\"\naddress=\"h:1\"\ncapacity=1\n", i)
	}
	for name, c := range map[string]struct{ text, want string }{
		"invalid TOML":       {"[destination", "e.toml:1: expected"},
		"empty":              {"", "e.toml: no [destination.NUMBER]"},
		"unknown table":      {"[weather]\n", "e.toml:1: weather: no such key"},
		"unknown key":        {replace(`kind     = "shared"`, `color    = "red"`), "e.toml:13: destination.7.endpoint.color: no such key"},
		"invalid number":     {replace("[class.safe]", "[destination.x]\nendpoint = []\n[class.safe]"), `e.toml:17: destination.x: "x" is not a destination number`},
		"no endpoints":       {"[destination.8]\n", "e.toml:1: destination.8.endpoint: 0 endpoints; must be from 1"},
		"too many endpoints": {tooMany.String(), "e.toml:1: destination.7.endpoint: 300 endpoints; must be from 1"},
		"second capacity":    {replace("12.5", "-1"), "e.toml:14: destination.7.endpoint.capacity: -1; must be above 0"},
		"second name":        {replace(`"p1"`, `"p0"`), `e.toml:10: destination.7.endpoint.name: duplicate name "p0"`},
		"first address":      {replace("10.0.0.1:80", "10.0.0.1"), `e.toml:5: destination.7.endpoint.address: "10.0.0.1" is not a host:port address`},
		"missing capacity":   {replace("capacity = 12.5\n", ""), "e.toml:9: destination.7.endpoint.capacity: 0; must be above 0"},
		"rate too high":      {replace("rate = 100", "rate = 1e99"), "e.toml:18: class.safe.rate: 1e+99; must be above 0"},
		"wrong type":         {replace("rate = 100", `rate = "much"`), "e.toml:18: class.safe.rate: "},
	} {
		if _, err := ParseEntries("e.toml", []byte(c.text)); err == nil || !strings.HasPrefix(err.Error(), "settings: "+c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	if _, err := LoadEntries(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("LoadEntries succeeded for a missing file")
	}
}
