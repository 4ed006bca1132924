package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"mulleinbeam/internal/lab/capacity"
)

// capacityCmd measures how resource use grows with the size of a deployment and estimates the planned size.
type capacityCmd struct {
	Quick       bool     `help:"Measure smaller sizes; takes under two minutes."`
	Only        []string `help:"Run only the named probes; rows that need other probes are omitted."`
	Assumptions string   `type:"existingfile" placeholder:"FILE" help:"TOML file of assumptions that override the defaults."`
	Set         []string `sep:"none" placeholder:"KEY=VALUE" help:"Override one assumption; may be repeated."`
	From        string   `type:"existingfile" placeholder:"FILE" help:"Use a saved measurement instead of measuring."`
	Save        string   `placeholder:"FILE" help:"Write the measurement to FILE as JSON."`
	Page        string   `type:"existingfile" placeholder:"FILE" help:"Write the tables between the markers of this page."`
	JSON        bool     `name:"json" help:"Print the measurement and its rows as JSON."`
}

// Run takes or loads a measurement and prints the measurement or the estimates derived from it.
func (c capacityCmd) Run() error {
	assumptions, err := c.assumptions()
	if err != nil {
		return err
	}
	m, err := c.measurement()
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := m.Save(c.Save); err != nil {
			return err
		}
	}
	if len(c.Only) > 0 {
		return json.NewEncoder(os.Stdout).Encode(m)
	}
	if c.JSON {
		rows, err := m.Rows(assumptions)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(struct {
			Measurement capacity.Measurement
			Rows        []capacity.Row
		}{m, rows})
	}
	tables, err := capacity.Page(m, assumptions)
	if err != nil {
		return err
	}
	if c.Page == "" {
		fmt.Print(tables)
		return nil
	}
	return embed(c.Page, tables)
}

func (c capacityCmd) assumptions() (a capacity.Assumptions, err error) {
	a = capacity.Defaults()
	if c.Assumptions != "" {
		if a, err = a.WithFile(c.Assumptions); err != nil {
			return a, err
		}
	}
	for _, setting := range c.Set {
		key, value, ok := strings.Cut(setting, "=")
		if !ok {
			return a, fmt.Errorf("invalid setting %q: want KEY=VALUE", setting)
		}
		if !strings.ContainsAny(value, ".eE") {
			value += ".0" // the assumptions are floats, which TOML writes with a point
		}
		if a, err = a.With(key + " = " + value); err != nil {
			return a, err
		}
	}
	return a, nil
}

var errUnknownProbe = errors.New("unknown probe")

func (c capacityCmd) measurement() (capacity.Measurement, error) {
	if c.From != "" {
		return capacity.Load(c.From)
	}
	probes := capacity.Probes()
	if len(c.Only) > 0 {
		byName := map[string]capacity.Probe{}
		for _, p := range probes {
			byName[p.Name] = p
		}
		probes = nil
		for _, name := range c.Only {
			p, known := byName[name]
			if !known {
				return capacity.Measurement{}, fmt.Errorf("%q: %w", name, errUnknownProbe)
			}
			probes = append(probes, p)
		}
	}
	ctx, stop := signalContext()
	defer stop()
	m, err := capacity.Measure(ctx, probes, c.Quick, func(name string, took time.Duration) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, took.Round(time.Millisecond))
	})
	m.Command = "larklab capacity"
	if c.Quick {
		m.Command += " --quick"
	}
	return m, err
}

// embed replaces the generated tables in the page at path.
func embed(path, tables string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := capacity.Embed(string(raw), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(page), 0o644)
}
