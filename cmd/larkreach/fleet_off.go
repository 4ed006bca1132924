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

// The program is built twice: as larkreach without the libraries that a fleet needs, since linking them doubles the
// startup time, and with them (-tags cluster) as larkreach-cluster. The first replaces itself with the second where a
// command or a setting needs the cluster build.

const (
	clusterBuild   = false
	clusterProgram = "larkreach-cluster"
)

// execClusterProgram replaces this process with larkreach-cluster from the same directory.
func execClusterProgram(args []string) error {
	self, err := os.Executable()
	if err == nil {
		path := filepath.Join(filepath.Dir(self), clusterProgram)
		err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
	}
	return fmt.Errorf("running %s from the directory of this program: %w", clusterProgram, err)
}

func openFleet(settings.File, config, zerolog.Logger) (fleet, error) {
	return nil, errors.New("settings: [cluster] requires " + clusterProgram)
}

func demoFleet(context.Context, []string, io.Writer) error {
	return errors.New(clusterProgram + " is required for the fleet demonstration")
}

type clusterCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run executes larkreach-cluster with the same arguments.
func (clusterCmd) Run() error { return execClusterProgram(os.Args[1:]) }

type planCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run executes larkreach-cluster with the same arguments.
func (planCmd) Run() error { return execClusterProgram(os.Args[1:]) }

type relayCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run executes larkreach-cluster with the same arguments.
func (relayCmd) Run() error { return execClusterProgram(os.Args[1:]) }

// clusterProgramCmd is a command that larkreach-cluster implements.
type clusterProgramCmd struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run executes larkreach-cluster with the same arguments.
func (clusterProgramCmd) Run() error { return execClusterProgram(os.Args[1:]) }

type fleetConfigCmds struct {
	Apply  clusterProgramCmd `cmd:"" passthrough:"" help:"Commit the entries of a file for the whole fleet."`
	Get    clusterProgramCmd `cmd:"" passthrough:"" help:"Print the fleet's entries."`
	Remove clusterProgramCmd `cmd:"" passthrough:"" help:"Delete entries of the fleet."`
	Status clusterProgramCmd `cmd:"" passthrough:"" help:"Show how far the fleet's configuration is in force."`
}
