package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// significant formats a number with three significant digits, and large ones with thousands separators.
func significant(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 1e15 || a < 1e-3:
		return strconv.FormatFloat(v, 'e', 2, 64)
	case a >= 1000:
		return thousands(v)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func thousands(v float64) string {
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-2)
	digits := strconv.FormatFloat(math.Round(v/unit)*unit, 'f', 0, 64)
	var parts []string
	for len(digits) > 3 {
		parts = append(parts, digits[len(digits)-3:])
		digits = digits[:len(digits)-3]
	}
	parts = append(parts, digits)
	slices.Reverse(parts)
	return strings.Join(parts, ",")
}

// quantity formats a value with the unit prefix that suits its size.
func quantity(v float64, unit string) string {
	type step struct {
		from float64
		name string
	}
	steps := map[string][]step{
		"B":   {{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}, {0, "B"}},
		"B/s": {{1e12, "TB/s"}, {1e9, "GB/s"}, {1e6, "MB/s"}, {1e3, "kB/s"}, {0, "B/s"}},
		"s":   {{1, "s"}, {1e-3, "ms"}, {1e-6, "us"}, {0, "ns"}},
	}[unit]
	for _, s := range steps {
		if math.Abs(v) >= s.from {
			scale := s.from
			if scale == 0 {
				scale = map[string]float64{"ns": 1e-9}[s.name]
				if scale == 0 {
					scale = 1
				}
			}
			return significant(v/scale) + " " + s.name
		}
	}
	return significant(v) + " " + unit
}

// Page returns the generated part of docs/CAPACITY.md: assumptions, slopes, roles, and the effect of doubling each
// assumption.
func Page(m Measurement, a Assumptions) (string, error) {
	rows, err := m.Rows(a)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	kind := "whole run"
	if m.Quick {
		kind = "quick run"
	}
	fmt.Fprintf(&b, "Measured on %s with `%s` (%s), %d cores, %s.\n\n", m.Date, m.Command, kind, m.Cores, m.Go)
	writeAssumptions(&b, a)
	if err := writeSlopes(&b, m); err != nil {
		return "", err
	}
	writeRows(&b, rows)
	if err := writeDoubling(&b, m, a, rows); err != nil {
		return "", err
	}
	return b.String(), nil
}

func writeAssumptions(b *strings.Builder, a Assumptions) {
	b.WriteString("### Size, budgets and assumptions\n\n| key | value | what | from |\n| --- | --- | --- | --- |\n")
	for _, f := range a.fields() {
		from := "assumed"
		if f.given {
			from = "the users"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.key, significant(f.value), f.what, from)
	}
}

func writeSlopes(b *strings.Builder, m Measurement) error {
	b.WriteString("\n### Slopes\n\n| series | what | sizes | smallest to largest | exponent | law | residual |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range m.Series {
		f, err := s.Fit()
		if err != nil {
			return err
		}
		first, last := s.Points[0], s.Points[len(s.Points)-1]
		law := fmt.Sprintf("%s x n^%.2f", quantity(f.scale, s.Unit), f.Exponent)
		if f.Law == "line" {
			law = fmt.Sprintf("%s + %s x n", quantity(f.Base, s.Unit), quantity(f.Slope, s.Unit))
		}
		fmt.Fprintf(b, "| `%s` | %s | %d, %s to %s %s | %s to %s | %.2f ± %.2f | %s | %.1f %% |\n", s.Name, s.What, len(s.Points),
			significant(first.Size), significant(last.Size), s.Variable, quantity(first.Value, s.Unit), quantity(last.Value, s.Unit),
			f.Exponent, f.ExponentError, law, 100*float64(f.Residual()))
	}
	return nil
}

func writeRows(b *strings.Builder, rows []Row) {
	b.WriteString("\n### Roles at the planned size\n\n| role | what | at the planned size (95 %) | budget | ratio | carried by | verdict | from |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		mechanism := r.Mechanism
		if mechanism == "" {
			mechanism = "-"
		}
		between := ""
		if r.Value.Low != r.Value.High {
			between = fmt.Sprintf(" (%s to %s)", quantity(r.Value.Low, r.Unit), quantity(r.Value.High, r.Unit))
		}
		fmt.Fprintf(b, "| %s | %s | %s%s | %s, %s | %s | %s | **%s** | %s |\n", r.Role, r.What, quantity(r.Value.Value, r.Unit), between,
			quantity(r.Budget, r.Unit), r.BudgetOf, significant(r.Ratio()), mechanism, r.Verdict(), strings.Join(r.Uses, ", "))
	}
}

// minRatioChange is the factor by which a ratio has to change to be listed.
const minRatioChange = 1.05

// writeDoubling lists how the rows change when an assumption not given by the users is doubled.
func writeDoubling(b *strings.Builder, m Measurement, a Assumptions, rows []Row) error {
	b.WriteString("\n### What doubling an assumption does\n\n| assumption | rows whose ratio changes |\n| --- | --- |\n")
	for i, f := range a.fields() {
		if f.given {
			continue
		}
		twice, err := m.Rows(a.doubled(i))
		if err != nil {
			return err
		}
		var changed []string
		for k, r := range rows {
			by := twice[k].Ratio() / r.Ratio()
			if by > minRatioChange || by < 1/minRatioChange {
				changed = append(changed, fmt.Sprintf("%s, %s: %s to %s", r.Role, r.What, significant(r.Ratio()), significant(twice[k].Ratio())))
			}
		}
		if len(changed) == 0 {
			changed = []string{"none"}
		}
		fmt.Fprintf(b, "| `%s` | %s |\n", f.key, strings.Join(changed, "; "))
	}
	return nil
}

// Markers around the generated part of the page.
const (
	pageBegin = "<!-- generated by larklab capacity: begin -->\n"
	pageEnd   = "<!-- generated by larklab capacity: end -->\n"
)

// Embed replaces the text between the markers of a page.
func Embed(page, generated string) (string, error) {
	head, rest, begins := strings.Cut(page, pageBegin)
	_, tail, ends := strings.Cut(rest, pageEnd)
	if !begins || !ends {
		return "", fmt.Errorf("capacity: the page lacks the markers %q and %q", strings.TrimSpace(pageBegin), strings.TrimSpace(pageEnd))
	}
	return head + pageBegin + generated + pageEnd + tail, nil
}
