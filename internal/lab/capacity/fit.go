package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a value with the bounds of its 95 % interval.
type Estimate struct{ Value, Low, High float64 }

// Times returns the estimate scaled by k.
func (e Estimate) Times(k float64) Estimate { return Estimate{e.Value * k, e.Low * k, e.High * k} }

// Plus returns the sum of two estimates. Their bounds are added as if the errors were fully correlated.
func (e Estimate) Plus(o Estimate) Estimate {
	return Estimate{e.Value + o.Value, e.Low + o.Low, e.High + o.High}
}

// Fit describes the growth of a series by two laws: a power law (linear regression of the logarithms) and a line
// through the values, whose residuals are weighted relative to each value. Law names the one with the smaller residual,
// which Estimate uses.
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

// Residual is the square root of the sum of squared relative residuals over the remaining degrees of freedom.
type Residual float64

// minFitPoints is the number of sizes that a fit needs; with fewer, its residual is not meaningful.
const minFitPoints = 4

// Fit fits the series. It fails with fewer than four points or if a size or value is not above 0.
func (s Series) Fit() (f Fit, err error) {
	if len(s.Points) < minFitPoints {
		return f, fmt.Errorf("capacity: %s: %d sizes, need at least %d", s.Name, len(s.Points), minFitPoints)
	}
	logX, logY, weights := make([]float64, len(s.Points)), make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		if !(p.Size > 0) || !(p.Value > 0) || math.IsInf(p.Value, 1) {
			return f, fmt.Errorf("capacity: %s: %v at size %v cannot be fitted", s.Name, p.Value, p.Size)
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
	f.ExponentError = f.quantile() * float64(f.Power) / math.Sqrt(sumOfSquares(logX, nil))
	if f.Law = "power"; f.Line < f.Power && f.Slope > 0 {
		f.Law = "line"
	}
	return f, nil
}

func square(x float64) float64 { return x * x }

// sumOfSquares returns the weighted sum of squared deviations from the mean.
func sumOfSquares(xs, weights []float64) (sum float64) {
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

// quantile returns the quantile of Student's t distribution for a two-sided 95 % interval.
func (f Fit) quantile() float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(f.xs) - 2)}.Quantile(0.975)
}

// Residual returns the residual of the law that the fit uses.
func (f Fit) Residual() Residual {
	if f.Law == "line" {
		return f.Line
	}
	return f.Power
}

// Estimate returns the value at a size with its 95 % prediction interval.
func (f Fit) Estimate(size float64) Estimate {
	if f.Law == "line" {
		return f.estimateOnLine(size)
	}
	logs := make([]float64, len(f.xs))
	for i, x := range f.xs {
		logs[i] = math.Log(x)
	}
	value := f.scale * math.Pow(size, f.Exponent)
	wide := f.quantile() * float64(f.Power) * math.Sqrt(1+1/float64(len(logs))+square(math.Log(size)-stat.Mean(logs, nil))/sumOfSquares(logs, nil))
	return Estimate{value, value * math.Exp(-wide), value * math.Exp(wide)}
}

func (f Fit) estimateOnLine(size float64) Estimate {
	weights, sum := make([]float64, len(f.ys)), 0.0
	for i, y := range f.ys {
		weights[i] = 1 / (y * y)
		sum += weights[i]
	}
	value := f.Base + f.Slope*size
	variance := value*value + 1/sum + square(size-stat.Mean(f.xs, weights))/sumOfSquares(f.xs, weights)
	wide := f.quantile() * float64(f.Line) * math.Sqrt(variance)
	return Estimate{value, math.Max(0, value-wide), value + wide}
}
