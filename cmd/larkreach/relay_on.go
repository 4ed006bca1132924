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

// relayCmd runs a control plane relay.
type relayCmd struct {
	Listen string   `name:"listen" required:"" placeholder:"HOST:PORT" help:"Address at which members reach it, as in their [cluster] relays."`
	Voters []string `name:"voter" required:"" placeholder:"NAME@HOST:PORT" help:"A voter, as in [cluster] founders. Repeat it for each voter."`
	Log    string   `name:"log" env:"LARKREACH_LOG" enum:"auto,json,text" default:"auto" help:"Log format: json, text, or auto for text on a terminal and json elsewhere."`
}

// Run serves until a signal ends the program.
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
	cfg.Logger.Info().Str("part", "relay").Str("listen", server.Address()).Msg("listening")
	return server.Run(ctx)
}
