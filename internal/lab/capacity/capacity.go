// Package capacity measures how the program's state, messages, bytes and processor time grow with the size of a
// deployment, fits the growth, and extrapolates to the planned size. It measures the program's own code rather than a
// model of it.
//
// A Probe returns Series, each a quantity at several sizes. Measurement.Rows evaluates the roles of a deployment at the
// size given by Assumptions, each against its budget.
package capacity

import (
	"encoding/json"
	"fmt"
	"os"
)

// Point is the value of a quantity at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one quantity, measured at several sizes.
type Series struct {
	Name     string  `json:"name"`
	Variable string  `json:"variable"` // what the size counts
	Unit     string  `json:"unit"`
	What     string  `json:"what"`
	Points   []Point `json:"points"`
}

// Measurement holds the results of one run of the probes.
type Measurement struct {
	Date    string   `json:"date"`
	Command string   `json:"command"`
	Quick   bool     `json:"quick"`
	Cores   int      `json:"cores"`
	Go      string   `json:"go"`
	Series  []Series `json:"series"`
}

// Load reads a measurement from a file written by Save.
func Load(path string) (m Measurement, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return m, fmt.Errorf("capacity: %w", err)
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, fmt.Errorf("capacity: %s: %w", path, err)
	}
	return m, nil
}

// Save writes the measurement to a file as JSON.
func (m Measurement) Save(path string) error {
	raw, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return nil
}

// series finds a series by its name.
func (m Measurement) series(name string) (Series, bool) {
	for _, s := range m.Series {
		if s.Name == name {
			return s, true
		}
	}
	return Series{}, false
}
