//go:build !cluster

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/settings"
)

// The program is built twice: as larkreach without the libraries that a fleet needs, whose mere presence would double the time
// of a start, and with them (-tags cluster) as larkreach-cluster. The first hands over to the second where that is asked for.

const (
	clustered = false
	sibling   = "larkreach-cluster"
)

// handOver becomes the program beside this one that has the rest.
func handOver(args []string) error {
	self, err := os.Executable()
	if err == nil {
		path := filepath.Join(filepath.Dir(self), sibling)
		err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
	}
	return fmt.Errorf("%s is not beside this program: %w", sibling, err)
}

func openFleet(settings.File, config, zerolog.Logger) (fleet, error) {
	return nil, errors.New("settings: [cluster] needs " + sibling)
}

func demoFleet(context.Context, []string, io.Writer) error { return errors.New(sibling + " plays it") }

type clusterCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run hands over.
func (clusterCmd) Run() error { return handOver(os.Args[1:]) }

type planCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run hands over.
func (planCmd) Run() error { return handOver(os.Args[1:]) }

type relayCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run hands over.
func (relayCmd) Run() error { return handOver(os.Args[1:]) }

// handOverCmd is a command that the other program carries out.
type handOverCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run hands over.
func (handOverCmd) Run() error { return handOver(os.Args[1:]) }

type fleetConfigCmds struct {
	Apply  handOverCmd `cmd:"" passthrough:"" help:"Commit the entries of a file for the whole fleet."`
	Get    handOverCmd `cmd:"" passthrough:"" help:"Print the fleet's entries."`
	Remove handOverCmd `cmd:"" passthrough:"" help:"Delete entries of the fleet."`
	Status handOverCmd `cmd:"" passthrough:"" help:"Say how far the fleet's configuration is in force."`
}
