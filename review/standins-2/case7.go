package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

// The configuration that is applied: files of entries, each well within the bounds of one change and of all entries.
const (
	fileEntries    = 40
	entryEndpoints = 150
	manyFiles      = 4
	fewFiles       = 1
)

// largeConfiguration has four forwarders that replicate, three of them the voters. The operators apply a configuration of some
// files, messages are taken on, and the operators add the fourth forwarder to the voters.
func largeConfiguration(r *run) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	old := &lab.Endpoint{Name: "old"}
	fleet, platform, err := startFleet(ctx, r, old, func(s *cluster.Setup) { s.Members = 4 })
	if err != nil {
		return nil, err
	}
	files := fewFiles
	if r.trouble {
		files = manyFiles
	}
	for number := range files {
		if err := applyFile(r, fleet.Members[0].Links, number); err != nil {
			return nil, err
		}
	}
	show(r, fleet)
	platform.set(listed(old, "DRAINING"))
	time.Sleep(200 * time.Millisecond)
	var ids []string
	handed := time.Now()
	for i := range 12 { // of the two classes that have 28 s
		id, a := fleet.Hand(0, lab.Classes[i%2].Name, giveUp)
		r.note("client: %s handed to n0, answered %d", id, a.Status)
		if a.Status == 202 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil, errors.New("no message was accepted")
	}
	_ = operate(r, fleet.Members[0].Links, "found", "n3")
	successor := &lab.Endpoint{Name: "new", Group: cluster.Group}
	if err := successor.Listen(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(handed.Add(21 * time.Second)))
	r.note("the successor of the endpoint is listed")
	platform.set(listed(successor, "SERVING"))
	time.Sleep(time.Until(handed.Add(giveUp + lateEnd)))
	ends := map[string]bool{}
	for _, a := range successor.Arrivals() {
		r.note("endpoint new: %s run", a.ID)
		ends[a.ID] = true
	}
	for id := range platform.reported() {
		ends[id] = true
	}
	var faults []string
	for _, id := range ids {
		if !ends[id] {
			faults = append(faults, fmt.Sprintf("%s was answered 202 and has no end %v after its time: neither delivered nor in a notice", id, lateEnd))
		}
	}
	for i, m := range fleet.Members {
		look, cancelLook := context.WithTimeout(ctx, time.Second)
		s, err := node.GetStatus(look, m.Links)
		cancelLook()
		r.note("n%d: may act %v, leader %q, %v", i, s.MayAct, s.Leader, err)
	}
	logs(r, fleet)
	return faults, nil
}

// applyFile applies one file of entries for destinations that no message is for.
func applyFile(r *run, at string, number int) error {
	var b strings.Builder
	for d := range fileEntries {
		for e := range entryEndpoints {
			fmt.Fprintf(&b, "[[destination.%d.endpoint]]\nname = \"p-%d-%d-%d\"\naddress = \"127.0.0.1:%d\"\nzone = \"z0\"\ncapacity = 60\n",
				1000+100*number+d, number, d, e, 20000+e)
		}
	}
	file := filepath.Join(r.dir, fmt.Sprintf("entries-%d.toml", number))
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return err
	}
	out, err := exec.Command("bin/larkreach", "config", "apply", file, "--at", at, "--wait", "10s").CombinedOutput()
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	r.note("larkreach config apply, %d entries of %d endpoints: %v, %s", fileEntries, entryEndpoints, err, lines[len(lines)-1])
	return err
}

func init() { cases["7"] = largeConfiguration }
