package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
)

// member is one forwarder of a fleet whose links take time.
type member struct {
	*lab.Forwarder
	name, links string
}

// delayedFleet is a fleet of forwarders with a delay on each link between two of them.
type delayedFleet struct {
	members   []*member
	listeners []net.Listener
}

// openDelayedFleet prepares members, of which the first three are the voters. Each stands in a building of its own.
func (r *run) openDelayedFleet(count int, agent *lab.Agent, delay time.Duration) (*delayedFleet, error) {
	f := &delayedFleet{}
	var founders []string
	for i := range count {
		links, err := net.Listen("tcp", host(i)+":0")
		if err != nil {
			return nil, err
		}
		defer links.Close() // kept until the member has its other port, which could be the same
		m := &member{name: fmt.Sprintf("n%d", i), links: links.Addr().String()}
		if f.members = append(f.members, m); i < 3 {
			founders = append(founders, fmt.Sprintf("%q", m.name+"@"+m.links))
		}
	}
	for i, m := range f.members {
		var text strings.Builder
		fmt.Fprintf(&text, "[cluster]\nlisten = %q\nzone = \"z%d\"\ncopies = 2\nfounders = [%s]\nalone = []\n[cluster.via]\n", m.links, i, strings.Join(founders, ", "))
		for j, to := range f.members {
			if i == j {
				continue
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			f.listeners = append(f.listeners, listener)
			go forwardDelayed(listener, to.links, delay)
			fmt.Fprintf(&text, "%q = %q\n", to.links, listener.Addr().String())
		}
		m.Forwarder = &lab.Forwarder{
			Command: []string{"/bin/sh", "-c", "exec bin/larkreach"}, Name: m.name, Host: host(i), Settings: text.String(), Sockets: 1024, MemoryMB: 192, DiskMB: 32, Slots: 10, Cores: 1,
		}
		dir := filepath.Join(r.folder, m.name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
		if err := m.Prepare(dir, agent); err != nil {
			return nil, err
		}
		r.onEnd(m.Kill)
	}
	return f, nil
}

// host returns a loopback address of its own for a member of this play: no other connection takes a port there.
func host(member int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%256, member+1)
}

// start starts all members at once.
func (f *delayedFleet) start() error {
	errs := make([]error, len(f.members))
	var group sync.WaitGroup
	for i, m := range f.members {
		group.Go(func() { errs[i] = m.Start() })
	}
	group.Wait()
	return errors.Join(errs...)
}

// await polls the status of a member until holds returns true.
func (f *delayedFleet) await(ctx context.Context, i int, what string, holds func(node.Status) bool) error {
	var last node.Status
	for {
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		status, err := node.GetStatus(call, f.members[i].links)
		cancel()
		if err == nil {
			last = status
		}
		switch {
		case err == nil && holds(status):
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("%s: no %s: %w, %+v %v", f.members[i].name, what, ctx.Err(), last, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// kill ends a member with SIGKILL.
func (f *delayedFleet) kill(i int) { _ = f.members[i].End(syscall.SIGKILL) }

// close ends all members and links.
func (f *delayedFleet) close() {
	for _, m := range f.members {
		m.Kill()
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
}

// forwardDelayed forwards connections to an address; what is sent arrives after the delay, and
// no faster than the link carries it.
func forwardDelayed(listener net.Listener, to string, delay time.Duration) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			time.Sleep(delay)
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer out.Close()
			var both sync.WaitGroup
			both.Go(func() { copyDelayed(out, in, delay) })
			both.Go(func() { copyDelayed(in, out, delay) })
			both.Wait()
		}()
	}
}

// piece is a part of what a connection carries, and when it may arrive.
type piece struct {
	bytes []byte
	at    time.Time
}

// copyDelayed copies one direction of a connection, and its end.
func copyDelayed(to, from net.Conn, delay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(delay)}
			}
			if err != nil {
				time.Sleep(delay)
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		began := time.Now()
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(len(p.bytes)) * time.Second / linkBytesPerSecond)))
	}
	_, _ = to.Close(), from.Close()
	for range pieces { // the reader ends with its connection
	}
}
