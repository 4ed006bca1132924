package main

import (
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

// startOne starts one forwarder with the given settings and the given partner as the only endpoint.
func startOne(r *run, partner *lab.Endpoint, settings string) (*lab.Forwarder, error) {
	lab.Classes, partner.Group = vltaviceClasses, cluster.Group
	if err := partner.Listen(); err != nil {
		return nil, err
	}
	platform, err := startAgent(r, listed(partner, "SERVING"))
	if err != nil {
		return nil, err
	}
	f := &lab.Forwarder{Command: deployCommand, Name: "n0", Settings: settings, Amend: func(configuration map[string]any) {
		configuration["discovery"], configuration["known"] = platform.address, platform.known()
	}}
	unused := &lab.Agent{} // Prepare asks for one; the configuration names the other
	if err := unused.Listen(); err != nil {
		return nil, err
	}
	if err := f.Prepare(r.dir, unused); err != nil {
		return nil, err
	}
	r.onEnd(f.Kill)
	if err := f.Start(); err != nil {
		return nil, err
	}
	r.note("the forwarder is ready")
	return f, nil
}
