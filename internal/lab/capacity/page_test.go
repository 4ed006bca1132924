package capacity

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const docs = "../../../docs"

// The generated part of docs/CAPACITY.md matches the stored measurement: neither can change without the other.
func TestPageMatchesMeasurement(t *testing.T) {
	m, err := Load(filepath.Join(docs, "capacity.json"))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	generated, err := Page(m, Defaults())
	if err != nil {
		t.Fatal(err)
	}
	want, err := Embed(string(raw), generated)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(want, "\n"), strings.Split(string(raw), "\n")); diff != "" {
		t.Errorf("docs/CAPACITY.md is not what docs/capacity.json gives (larklab capacity --page):\n%s", diff)
	}
}

// Every probe returns its series at every size, and together they cover every row.
func TestProbesCoverEveryRow(t *testing.T) {
	probes := Probes()
	for i := range probes {
		for k := range probes[i].Quick { // small sizes: the test checks that probes run, not their values
			probes[i].Quick[k] = 4 * (k + 2)
		}
	}
	m, err := Measure(context.Background(), probes, true, func(string, time.Duration) {})
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, s := range m.Series {
		if names[s.Name] || len(s.Points) != 4 || s.Unit == "" || s.What == "" || s.Variable == "" {
			t.Errorf("series %+v", s)
		}
		names[s.Name] = true
	}
	rows, err := m.Rows(Defaults())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Page(m, Defaults()); err != nil {
		t.Error(err)
	}
	for _, r := range rows {
		if !(r.Budget > 0) || !(r.Value.Value >= 0) || r.Value.Low > r.Value.Value || r.Value.High < r.Value.Value {
			t.Errorf("row %+v", r)
		}
	}
}

// Verdicts distinguish budgets that are met, that may be exceeded, that are exceeded, and needs without a mechanism.
func TestVerdicts(t *testing.T) {
	for want, r := range map[string]Row{
		"holds":             {Value: Estimate{1, 0.5, 1.5}, Budget: 2, Mechanism: "m"},
		"holds, not surely": {Value: Estimate{1, 0.5, 3}, Budget: 2, Mechanism: "m"},
		"over by 109":       {Value: Estimate{218, 200, 230}, Budget: 2, Mechanism: "m"},
		"no mechanism":      {Value: Estimate{1, 1, 1}, Budget: 2},
	} {
		if got := r.Verdict(); got != want {
			t.Errorf("%q, wanted %q", got, want)
		}
	}
}

// Assumptions reject unknown keys and values that are not positive numbers.
func TestAssumptions(t *testing.T) {
	a, err := Defaults().With("forwarders = 38000.0\nentry-bytes = 100.0")
	if err != nil || a.Forwarders != 38_000 || a.EntryBytes != 100 || a.Zones != 22 {
		t.Errorf("%+v, %v", a, err)
	}
	for _, bad := range []string{"forwarder = 3.0", "forwarders = 0.0", "forwarders = -1.0", "forwarders = nan", "forwarders = \"many\""} {
		if _, err := Defaults().With(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
	for i, f := range a.fields() {
		if twice := a.doubled(i).fields()[i].value; twice != 2*f.value || f.key == "" || f.what == "" {
			t.Errorf("%+v: doubled to %v", f, twice)
		}
	}
}
