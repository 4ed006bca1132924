//go:build cluster

package main

import (
	"context"
	"os/signal"
	"syscall"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/relay"
	"mulleinbeam/internal/settings"
)

// relayCmd runs a relay of the control plane.
type relayCmd struct {
	Listen string   `name:"listen" required:"" placeholder:"HOST:PORT" help:"Where members reach it; what their [cluster] relays name."`
	Voters []string `name:"voter" required:"" placeholder:"NAME@HOST:PORT" help:"A voter, as [cluster] founders names it. Once for each."`
	Log    string   `name:"log" env:"LARKREACH_LOG" enum:"auto,json,text" default:"auto" help:"The log's form: json, text, or auto for text on a terminal and json elsewhere."`
}

// Run serves until a signal ends it.
func (c relayCmd) Run(io streams) error {
	voters, err := settings.Cluster{Voters: c.Voters}.VoterList()
	if err != nil {
		return err
	}
	log := openLog(io.err, c.Log)
	defer log.close()
	cfg := relay.Config{Listen: c.Listen, Logger: log.logger(c.Listen)}
	for _, v := range voters {
		cfg.Voters = append(cfg.Voters, controlplane.Voter{Name: v.Name, Address: v.Address})
	}
	server, err := relay.Open(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg.Logger.Info().Str("part", "relay").Str("listen", server.Address()).Msg("listens")
	return server.Run(ctx)
}
