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

// capacityCmd measures how the program grows and works out what the planned size takes.
type capacityCmd struct {
	Quick       bool     `help:"Smaller sizes, under two minutes."`
	Only        []string `help:"Only these probes, by name; rows that need others are left out."`
	Assumptions string   `type:"existingfile" placeholder:"FILE" help:"Assumptions that differ, as TOML."`
	Set         []string `sep:"none" placeholder:"KEY=VALUE" help:"One of them; again for further ones."`
	From        string   `type:"existingfile" placeholder:"FILE" help:"Go by an earlier measurement instead of measuring."`
	Save        string   `placeholder:"FILE" help:"Write the measurement as JSON."`
	Page        string   `type:"existingfile" placeholder:"FILE" help:"Write the tables between the marks of this page."`
	JSON        bool     `name:"json" help:"Print the measurement and its rows as JSON."`
}

// Run measures, or reads a measurement, and prints what follows.
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
	for _, s := range c.Set {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			return a, fmt.Errorf("%q is no KEY=VALUE", s)
		}
		if !strings.ContainsAny(value, ".eE") {
			value += ".0" // a whole number, in TOML's terms for a real one
		}
		if a, err = a.With(key + " = " + value); err != nil {
			return a, err
		}
	}
	return a, nil
}

var errUnknownProbe = errors.New("no probe has that name")

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
	ctx, stop := interruptible()
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

// embed writes tables into a page.
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
