package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Sampler returns a function that draws values of the distribution, in the unit of its mean, with src as the source of
// randomness.
func (d Distribution) Sampler(src rand.Source) (func() float64, error) {
	if d.Mean <= 0 || d.Spread < 0 || math.IsNaN(d.Mean) || math.IsInf(d.Mean, 0) {
		return nil, fmt.Errorf("mean %v or spread %v is out of range", d.Mean, d.Spread)
	}
	switch kind := d.Kind; {
	case kind == "exponential":
		return distuv.Exponential{Rate: 1 / d.Mean, Src: src}.Rand, nil
	case kind == "constant" || d.Spread == 0 && (kind == "lognormal" || kind == "gamma" || kind == "uniform"):
		return func() float64 { return d.Mean }, nil
	case kind == "lognormal":
		s2 := math.Log(1 + d.Spread*d.Spread)
		return distuv.LogNormal{Mu: math.Log(d.Mean) - s2/2, Sigma: math.Sqrt(s2), Src: src}.Rand, nil
	case kind == "gamma":
		shape := 1 / (d.Spread * d.Spread)
		return distuv.Gamma{Alpha: shape, Beta: shape / d.Mean, Src: src}.Rand, nil
	case kind == "uniform":
		half := d.Mean * d.Spread * math.Sqrt(3)
		if half > d.Mean {
			return nil, fmt.Errorf("a uniform distribution with a spread of %v has values below 0", d.Spread)
		}
		return distuv.Uniform{Min: d.Mean - half, Max: d.Mean + half, Src: src}.Rand, nil
	}
	return nil, fmt.Errorf("no distribution %q", d.Kind)
}
