package places

import (
	"fmt"
	"html/template"
	"io"
	"slices"

	"mulleinbeam/internal/lab/report"
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Simulated days of zones and regions</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
table { border-collapse: collapse; margin: 1rem 0 } td, th { padding: .25rem .7rem; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child { text-align: left }
svg { max-width: 100%; height: auto } figure { margin: 1.5rem 0 } figcaption { color: #555 }
</style>
<h1>Simulated days of zones and regions</h1>
<p>{{.Forwarders}} forwarders in {{.Zones}} zones, {{.Sites}} destinations with a site in each, each day and policy simulated with {{.Seeds}} seed{{if ne .Seeds 1}}s{{end}}, in virtual time.</p>
{{range .Days}}<h2>{{.Name}}</h2>
<table><tr><th>policy<th>worth<th>net of price<th>cross-zone share of calls<th>refused calls<th>overloaded healthy sites<th>p99, ms<th>moves at most</tr>
{{range .Rows}}<tr><td>{{.Policy}}<td>{{printf "%.4f" .Worth}}<td>{{printf "%.4f" .Net}}<td>{{printf "%.3f" .CrossZone}}<td>{{printf "%.0f" .Refused}}<td>{{.Overloaded}}<td>{{printf "%.0f" .P99}}<td>{{.Moves}}</tr>
{{end}}</table>
{{range .Plots}}<figure>{{.SVG}}<figcaption>{{.Caption}}</figcaption></figure>
{{end}}{{end}}</html>
`))

// dayPage holds the figures and plots of a day.
type dayPage struct {
	Name  string
	Rows  []row
	Plots []figure
}

// figure is a plot with its caption.
type figure struct {
	SVG     template.HTML
	Caption string
}

// row holds the figures of a policy on a day, as means over the seeds unless noted.
type row struct {
	PlanRollout                         float64 // seconds, the longest of all seeds
	Policy                              string
	Worth, Net, CrossZone, Refused, P99 float64
	NeedlessCrossZone, Plans            float64
	Overloaded, OverloadedSlow, Moves   int // sums over the seeds; Moves is the maximum
}

// rowOf aggregates the results of a policy on a day over the seeds.
func rowOf(policy string, list []Result) row {
	out := row{Policy: policy}
	n := float64(max(1, len(list)))
	for _, r := range list {
		out.Worth += r.Worth / r.Offered / n
		out.Net += r.Net() / n
		out.CrossZone += float64(r.CrossZone) / float64(max(1, r.Calls)) / n
		out.Refused += float64(r.Refused) / n
		out.P99 += r.P99.Seconds() * 1000 / n
		out.NeedlessCrossZone += float64(r.NeedlessCrossZone) / n
		out.Plans += float64(r.Plans) / n
		out.PlanRollout = max(out.PlanRollout, r.PlanRollout.Seconds())
		out.Overloaded += r.Overloaded
		out.OverloadedSlow += r.OverloadedSlow
		out.Moves = max(out.Moves, r.Moves)
	}
	return out
}

// Page writes the results of Compare as a self-contained HTML page. Plots show the first seed of the first policy.
func Page(w io.Writer, s Setup, days []Day, policies []string, results [][][]Result) error {
	data := struct {
		Forwarders, Zones, Sites, Seeds int
		Days                            []dayPage
	}{Forwarders: s.Forwarders, Zones: len(s.Zones), Sites: s.Sites}
	var zones []string
	for z := range s.Zones {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	for i, d := range days {
		p := dayPage{Name: d.Name}
		for j, policy := range policies {
			data.Seeds = len(results[i][j])
			p.Rows = append(p.Rows, rowOf(policy, results[i][j]))
		}
		series := results[i][0][0].Series
		byZone := func(of func(Point) map[string]float64) (lines []report.Line) {
			for _, z := range zones {
				l := report.Line{Name: z}
				for _, point := range series {
					l.Values = append(l.Values, of(point)[z])
				}
				lines = append(lines, l)
			}
			return lines
		}
		demand, version := report.Line{Name: "demand"}, report.Line{Name: "plan"}
		for _, point := range series {
			demand.Values = append(demand.Values, point.Demand)
			version.Values = append(version.Values, float64(point.Version))
		}
		for _, plot := range []struct {
			caption string
			lines   []report.Line
		}{
			{"answered calls per second, by zone", byZone(func(p Point) map[string]float64 { return p.AnsweredByZone })},
			{"available capacity in calls per second, by zone", byZone(func(p Point) map[string]float64 { return p.CapacityByZone })},
			{"accepted messages per second", []report.Line{demand}},
			{"newest plan that any forwarder follows", []report.Line{version}},
		} {
			svg, err := report.Plot(plot.lines)
			if err != nil {
				return fmt.Errorf("places: %w", err)
			}
			p.Plots = append(p.Plots, figure{template.HTML(svg), policies[0] + ", seed 1: " + plot.caption})
		}
		data.Days = append(data.Days, p)
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("places: %w", err)
	}
	return nil
}
