package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/experiment"
)

type burstsCmd struct {
	Program  string        `default:"bin/larkreach" help:"Path of the forwarder."`
	Settings string        `type:"existingfile" help:"Settings file of the forwarder; none by default."`
	Clients  int           `default:"64" help:"Clients that send many requests at once."`
	Requests int           `default:"200" help:"Requests of each of them."`
	Body     int           `default:"60000" help:"Bytes of each body."`
	Head     int           `help:"Bytes of an additional header field of each request."`
	Chunk    int           `help:"Bytes of each chunk; 0 sends bodies with their length."`
	OneByOne bool          `help:"Wait for each answer before the next request."`
	Unread   bool          `help:"Read no answer before all requests are written."`
	Stall    bool          `help:"Do not send the last byte of a client's last request."`
	Health   int           `help:"Every so many requests one asks for the health; 0 for none."`
	Idle     int           `help:"Connections beside them that send nothing."`
	Steady   int           `default:"4" help:"Clients with one request at a time beside them."`
	Unasked  int           `help:"Bytes that the endpoint writes behind each answer."`
	Sockets  int           `default:"1024" help:"Limit on descriptors."`
	Memory   int           `default:"192" help:"Limit on memory, in MiB."`
	Timeout  time.Duration `default:"12s" help:"Longest time of a client."`
	Counters bool          `help:"Print the forwarder's memory counters meanwhile."`
}

// Run plays the load and prints the figures.
func (c burstsCmd) Run() error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	settingsText := []byte(nil)
	if c.Settings != "" {
		if settingsText, err = os.ReadFile(c.Settings); err != nil {
			return err
		}
	}
	figures, err := experiment.Bursts{
		Program: []string{program, "serve"}, Settings: string(settingsText), Sockets: c.Sockets, MemoryMB: c.Memory, Steady: c.Steady, Idle: c.Idle, Unasked: c.Unasked,
		Counters: c.Counters, Out: os.Stdout,
		Load: lab.Burst{
			Clients: c.Clients, Requests: c.Requests, BodyBytes: c.Body, HeadBytes: c.Head, ChunkBytes: c.Chunk, OneByOne: c.OneByOne, ReadAtEnd: c.Unread, Stall: c.Stall,
			HealthEvery: c.Health, Timeout: c.Timeout,
		},
	}.Run()
	if err != nil {
		return err
	}
	fmt.Println(figures)
	return nil
}
