package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"mulleinbeam/internal/lab/simulation"
)

// The page has each metric, each class, the plots as complete SVG and the violations. It loads nothing from elsewhere
// and escapes names.
func TestPage(t *testing.T) {
	result := func(seed uint64, worth float64) simulation.Result {
		return simulation.Result{
			Seed: seed, Worth: simulation.Worth{Offered: 10, Delivered: worth}, Classes: map[string]*simulation.ClassResult{"fee": {Offered: 3, Delivered: 2}},
			Seconds: []simulation.SecondStats{{Worth: 1}, {Worth: worth}}, Violations: []string{"1s: message 4 ended twice"},
		}
	}
	p := Page{
		Title: "a <b>trial</b>", Variants: []simulation.Variant{{Name: "without"}, {Name: "with"}},
		Results: [][]simulation.Result{{result(1, 5), result(2, 6)}, {result(1, 7), result(2, 8)}},
	}
	var b bytes.Buffer
	if err := p.Write(&b); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{
		"a &lt;b&gt;trial", "worth delivered, share of offered<td>0.550<td>0.750<td>&#43;0.200", "<td>fee<td>with<td>6<td>4",
		"without, seed 2: 1s: message 4 ended twice",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q", want)
		}
	}
	if strings.Count(text, "<svg") != 4 || strings.Contains(text, "src=") || strings.Contains(text, "<script") {
		t.Errorf("%d plots", strings.Count(text, "<svg"))
	}
	svg := text[strings.Index(text, "<svg"):]
	dec := xml.NewDecoder(strings.NewReader(svg[:strings.Index(svg, "</svg>")+6]))
	for {
		if _, err := dec.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	p.Results[1][0].Seed = 9
	if err := p.Write(io.Discard); err == nil {
		t.Error("results of different seeds were compared")
	}
}
