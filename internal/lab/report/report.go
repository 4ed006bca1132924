// Package report renders runs of the laboratory as one self-contained HTML page: metrics, plots as inline SVG, and rule
// violations.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"mulleinbeam/internal/lab/simulation"
)

// Page is the content of a report: variants and their results, by variant and seed.
type Page struct {
	Title    string
	Variants []simulation.Variant
	Results  [][]simulation.Result
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
table { border-collapse: collapse; margin: 1rem 0 } td, th { padding: .25rem .7rem; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child { text-align: left } .chance { color: #888 } .broken { color: #a00 }
svg { max-width: 100%; height: auto } figure { margin: 1.5rem 0 } figcaption { color: #555 }
</style>
<h1>{{.Title}}</h1>
<p>{{.Runs}} runs in virtual time, {{.Seeds}} seeds for each variant, {{.Events}} events.</p>
<h2>Figures</h2>
<table><tr><th>mean over the seeds{{range .Names}}<th>{{.}}{{end}}{{if .Pairs}}<th>difference, 95 of 100{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}{{range .Values}}<td>{{.}}{{end}}{{if .Difference}}<td{{if .Chance}} class="chance"{{end}}>{{.Difference}}{{end}}</tr>
{{end}}</table>
{{if .Pairs}}<p class="chance">Grey: the range has zero in it, so the difference may be chance.</p>{{end}}
<h2>Classes</h2>
<table><tr><th>class, all seeds<th>variant<th>offered<th>delivered<th>in time<th>refused<th>abandoned<th>lost</tr>
{{range .Classes}}<tr><td>{{.Class}}<td>{{.Variant}}<td>{{.R.Offered}}<td>{{.R.Delivered}}<td>{{.R.InTime}}<td>{{.R.Refused}}<td>{{.R.Failed}}<td>{{.R.Lost}}</tr>
{{end}}</table>
<h2>Second by second</h2>
{{range .Plots}}<figure>{{.SVG}}<figcaption>{{.Caption}}</figcaption></figure>
{{end}}
<h2>Rules</h2>
{{if .Broken}}<ul class="broken">{{range .Broken}}<li>{{.}}</li>{{end}}</ul>{{else}}<p>None was broken.</p>{{end}}
</html>
`))

type row struct {
	Name       string
	Values     []string
	Difference string
	Chance     bool
}

type class struct {
	Class, Variant string
	R              simulation.ClassResult
}

type figure struct {
	SVG     template.HTML
	Caption string
}

// Write renders the page as HTML.
func (p Page) Write(w io.Writer) error {
	data := struct {
		Title       string
		Runs, Seeds int
		Events      int64
		Names       []string
		Pairs       bool
		Rows        []row
		Classes     []class
		Plots       []figure
		Broken      []string
	}{Title: p.Title, Pairs: len(p.Results) == 2}
	for i, v := range p.Variants {
		data.Names = append(data.Names, v.Name)
		data.Runs += len(p.Results[i])
		data.Seeds = len(p.Results[i])
		for _, r := range p.Results[i] {
			data.Events += r.Events
			for _, b := range r.Violations {
				data.Broken = append(data.Broken, fmt.Sprintf("%s, seed %d: %s", v.Name, r.Seed, b))
			}
		}
		data.Classes = append(data.Classes, classes(v.Name, p.Results[i])...)
	}
	var differences []simulation.Difference
	if data.Pairs {
		var err error
		if differences, err = simulation.Compare(p.Results[0], p.Results[1]); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	for i, f := range simulation.Metrics {
		r := row{Name: f.Name}
		for _, results := range p.Results {
			r.Values = append(r.Values, fmt.Sprintf("%.3f", f.Mean(results)))
		}
		if data.Pairs {
			d := differences[i].Diff
			r.Difference, r.Chance = fmt.Sprintf("%+.3f (%+.3f to %+.3f)", d.Mean, d.Low, d.High), d.IncludesZero()
		}
		data.Rows = append(data.Rows, r)
	}
	for _, k := range []struct {
		caption string
		of      func(simulation.SecondStats) float64
	}{
		{"worth delivered in each second, mean over the seeds", func(s simulation.SecondStats) float64 { return s.Worth }},
		{"messages taken in each second", func(s simulation.SecondStats) float64 { return float64(s.Offered) }},
		{"calls in each second", func(s simulation.SecondStats) float64 { return float64(s.Calls) }},
		{"messages held, at each second's first event", func(s simulation.SecondStats) float64 { return float64(s.Held) }},
	} {
		svg, err := p.plot(k.of)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		data.Plots = append(data.Plots, figure{template.HTML(svg), k.caption})
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// classes returns the sums of each class over the seeds, sorted by name.
func classes(variant string, results []simulation.Result) (out []class) {
	sums := map[string]*simulation.ClassResult{}
	var names []string
	for _, r := range results {
		for name, c := range r.Classes {
			s := sums[name]
			if s == nil {
				s = &simulation.ClassResult{}
				sums[name] = s
				names = append(names, name)
			}
			s.Offered += c.Offered
			s.Delivered += c.Delivered
			s.InTime += c.InTime
			s.Refused += c.Refused
			s.Failed += c.Failed
			s.Lost += c.Lost
		}
	}
	slices.Sort(names)
	for _, name := range names {
		out = append(out, class{name, variant, *sums[name]})
	}
	return out
}

var colours = []color.Color{
	color.RGBA{0x1f, 0x5f, 0x9f, 0xff}, color.RGBA{0xc0, 0x55, 0x10, 0xff}, color.RGBA{0x2a, 0x80, 0x40, 0xff}, color.RGBA{0x80, 0x30, 0x80, 0xff},
	color.RGBA{0x10, 0x90, 0x90, 0xff}, color.RGBA{0x90, 0x80, 0x10, 0xff}, color.RGBA{0x60, 0x60, 0x60, 0xff},
}

// plot draws the mean over the seeds of a value of each second, with one line per variant.
func (p Page) plot(of func(simulation.SecondStats) float64) (string, error) {
	var lines []Line
	for i, results := range p.Results {
		l := Line{Name: p.Variants[i].Name}
		for n := 0; ; n++ {
			sum, count := 0.0, 0
			for _, r := range results {
				if n < len(r.Seconds) {
					sum += of(r.Seconds[n])
					count++
				}
			}
			if count == 0 {
				break
			}
			l.Values = append(l.Values, sum/float64(len(results)))
		}
		lines = append(lines, l)
	}
	return Plot(lines)
}

// Line is one line of a plot, with a value for each second.
type Line struct {
	Name   string
	Values []float64
}

// legendShare is the share of the lines' width that is added for the legend.
const legendShare = 0.14

// Plot draws lines over seconds and returns them as SVG for embedding in an HTML page.
func Plot(lines []Line) (string, error) {
	g := plot.New()
	g.X.Label.Text = "seconds"
	g.Y.Min = 0
	g.Legend.Top = true
	for i, l := range lines {
		if len(l.Values) == 0 {
			continue
		}
		points := make(plotter.XYs, len(l.Values))
		for n, y := range l.Values {
			points[n] = plotter.XY{X: float64(n), Y: y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = colours[i%len(colours)]
		line.Width = vg.Points(1.3)
		g.Add(line)
		g.Legend.Add(l.Name, line)
	}
	g.X.Max += legendShare * (g.X.Max - g.X.Min) // places the legend beside the lines instead of on them
	to, err := g.WriterTo(22*vg.Centimeter, 7*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := to.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 { // drops the XML declaration, which is not allowed within HTML
		svg = svg[i:]
	}
	return svg, nil
}
