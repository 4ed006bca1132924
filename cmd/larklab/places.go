package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"

	"mulleinbeam/internal/lab/places"
)

// placesCmd simulates days of a fleet in several zones and regions.
type placesCmd struct {
	Seeds    int      `default:"5" help:"Number of simulations per day and policy."`
	Days     []string `help:"Names of the days to simulate; all by default."`
	Policies []string `help:"Policies to simulate (plan, near, alike, alone, truth); all by default. The first is compared with the others."`
	Size     int      `default:"300" help:"Number of forwarders."`
	HTML     string   `name:"html" placeholder:"FILE" help:"Write an HTML report to FILE."`
}

// Run simulates the days under each policy and prints the comparison.
func (c placesCmd) Run() error {
	days := places.Days
	if len(c.Days) > 0 {
		days = nil
		for _, name := range c.Days {
			index := slices.IndexFunc(places.Days, func(d places.Day) bool { return d.Name == name })
			if index < 0 {
				return fmt.Errorf("unknown day %q", name)
			}
			days = append(days, places.Days[index])
		}
	}
	if len(c.Policies) == 0 {
		c.Policies = places.Policies
	}
	ctx, stop := signalContext()
	defer stop()
	fleet := places.Wide
	fleet.Forwarders = c.Size
	results, err := places.Compare(ctx, fleet, days, c.Policies, c.Seeds, runtime.NumCPU(), os.Stdout)
	if err != nil || c.HTML == "" {
		return err
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	return errors.Join(places.Page(f, fleet, days, c.Policies, results), f.Close())
}
