package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a value with the bounds of its 95 % interval.
type Estimate struct{ Value, Low, High float64 }

// Times scales an estimate.
func (e Estimate) Times(k float64) Estimate { return Estimate{e.Value * k, e.Low * k, e.High * k} }

// Plus adds two estimates; their bounds add up, as if they erred together.
func (e Estimate) Plus(o Estimate) Estimate {
	return Estimate{e.Value + o.Value, e.Low + o.Low, e.High + o.High}
}

// Fit is the growth of a series by two laws: a power of the size (a line through the logarithms), and a line through the values in which
// each residual counts relative to its value. Of the two, Law names the one with the smaller residual, by which Estimate goes.
type Fit struct {
	Exponent      float64 // of the power law
	ExponentError float64 // half of its 95 % interval
	Power         Residual
	Line          Residual
	Base, Slope   float64 // of the line: Base + Slope times size
	Law           string  // "power" or "line"

	scale float64 // of the power law
	xs    []float64
	ys    []float64
}

// Residual is the root of the mean of squared relative residuals, with the degrees of freedom that are left.
type Residual float64

// leastPoints is how many sizes a fit needs: fewer say nothing of how well it fits.
const leastPoints = 4

// Fit fits the series. Fewer than four points, or values that are not above 0, are an error.
func (s Series) Fit() (f Fit, err error) {
	if len(s.Points) < leastPoints {
		return f, fmt.Errorf("capacity: %s: %d sizes, at least %d are needed", s.Name, len(s.Points), leastPoints)
	}
	logX, logY, weights := make([]float64, len(s.Points)), make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		if !(p.Size > 0) || !(p.Value > 0) || math.IsInf(p.Value, 1) {
			return f, fmt.Errorf("capacity: %s: %v at size %v can't be fitted", s.Name, p.Value, p.Size)
		}
		f.xs, f.ys = append(f.xs, p.Size), append(f.ys, p.Value)
		logX[i], logY[i], weights[i] = math.Log(p.Size), math.Log(p.Value), 1/(p.Value*p.Value)
	}
	free := float64(len(f.xs) - 2)
	intercept, exponent := stat.LinearRegression(logX, logY, nil, false)
	f.Exponent, f.scale = exponent, math.Exp(intercept)
	f.Base, f.Slope = stat.LinearRegression(f.xs, f.ys, weights, false)
	power, line := 0.0, 0.0
	for i := range f.xs {
		power += square(logY[i] - intercept - exponent*logX[i])
		line += square((f.ys[i] - f.Base - f.Slope*f.xs[i]) / f.ys[i])
	}
	f.Power, f.Line = Residual(math.Sqrt(power/free)), Residual(math.Sqrt(line/free))
	f.ExponentError = f.quantile() * float64(f.Power) / math.Sqrt(spread(logX, nil))
	if f.Law = "power"; f.Line < f.Power && f.Slope > 0 {
		f.Law = "line"
	}
	return f, nil
}

func square(x float64) float64 { return x * x }

// spread is the weighted sum of squares about the mean.
func spread(xs, weights []float64) (sum float64) {
	mean := stat.Mean(xs, weights)
	for i, x := range xs {
		w := 1.0
		if weights != nil {
			w = weights[i]
		}
		sum += w * square(x-mean)
	}
	return sum
}

// quantile is Student's, for a two-sided 95 % interval.
func (f Fit) quantile() float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(f.xs) - 2)}.Quantile(0.975)
}

// Residual is that of the law the fit goes by.
func (f Fit) Residual() Residual {
	if f.Law == "line" {
		return f.Line
	}
	return f.Power
}

// Estimate is the value at a size with the interval in which one more measurement there would lie.
func (f Fit) Estimate(size float64) Estimate {
	if f.Law == "line" {
		return f.onLine(size)
	}
	logs := make([]float64, len(f.xs))
	for i, x := range f.xs {
		logs[i] = math.Log(x)
	}
	value := f.scale * math.Pow(size, f.Exponent)
	wide := f.quantile() * float64(f.Power) * math.Sqrt(1+1/float64(len(logs))+square(math.Log(size)-stat.Mean(logs, nil))/spread(logs, nil))
	return Estimate{value, value * math.Exp(-wide), value * math.Exp(wide)}
}

func (f Fit) onLine(size float64) Estimate {
	weights, sum := make([]float64, len(f.ys)), 0.0
	for i, y := range f.ys {
		weights[i] = 1 / (y * y)
		sum += weights[i]
	}
	value := f.Base + f.Slope*size
	variance := value*value + 1/sum + square(size-stat.Mean(f.xs, weights))/spread(f.xs, weights)
	wide := f.quantile() * float64(f.Line) * math.Sqrt(variance)
	return Estimate{value, math.Max(0, value-wide), value + wide}
}
