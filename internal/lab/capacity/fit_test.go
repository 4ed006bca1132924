package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
)

// seriesOf returns a series with values of a law, each with a relative error of at most off.
func seriesOf(law func(float64) float64, off float64) Series {
	rng := rand.New(rand.NewPCG(1, 1))
	s := Series{Name: "s"}
	for _, n := range []float64{100, 300, 1000, 3000, 10000} {
		s.Points = append(s.Points, Point{n, law(n) * (1 + off*(2*rng.Float64()-1))})
	}
	return s
}

// A fit finds the law of the series, and the true value far outside the sizes lies within the interval.
func TestFitsFindTheLaw(t *testing.T) {
	for name, c := range map[string]struct {
		law      func(float64) float64
		want     string
		exponent float64
	}{
		"square":          {func(n float64) float64 { return 3 * n * n }, "power", 2},
		"root":            {math.Sqrt, "power", 0.5},
		"base and a line": {func(n float64) float64 { return 5000 + 2*n }, "line", math.NaN()},
	} {
		for _, off := range []float64{0, 0.03} {
			f, err := seriesOf(c.law, off).Fit()
			if err != nil {
				t.Fatal(err)
			}
			e := f.Estimate(100_000)
			want := c.law(100_000)
			if f.Law != c.want && off == 0 && math.Min(float64(f.Power), float64(f.Line)) > 1e-9 || e.Low > want*1.0001 || e.High < want*0.9999 {
				t.Errorf("%s, off by %v: law %s, %+v, wanted %v", name, off, f.Law, e, want)
			}
			if math.Abs(f.Exponent-c.exponent) > 0.05 {
				t.Errorf("%s, off by %v: exponent %v", name, off, f.Exponent)
			}
		}
	}
}

// Noise widens the interval; a series that cannot be fitted returns an error rather than a number.
func TestNoiseWidensIntervals(t *testing.T) {
	wide := func(off float64) float64 {
		f, err := seriesOf(func(n float64) float64 { return n }, off).Fit()
		if err != nil {
			t.Fatal(err)
		}
		e := f.Estimate(1e6)
		return (e.High - e.Low) / e.Value
	}
	if wide(0.2) < 3*wide(0.02) {
		t.Errorf("intervals %v with much noise, %v with little", wide(0.2), wide(0.02))
	}
	for name, s := range map[string]Series{
		"three sizes":  {Points: []Point{{1, 1}, {2, 2}, {3, 3}}},
		"a zero":       {Points: []Point{{1, 1}, {2, 0}, {3, 3}, {4, 4}}},
		"not a number": {Points: []Point{{1, 1}, {2, math.NaN()}, {3, 3}, {4, 4}}},
	} {
		if _, err := s.Fit(); err == nil {
			t.Errorf("%s: fitted", name)
		}
	}
}
