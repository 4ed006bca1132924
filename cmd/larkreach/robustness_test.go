package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Tests of unusual settings, invalid endpoint lists and damaged folders with the settings of a fleet of three hundred
// forwarders. Each has a defined result, and no readable message is lost.

// largeFleet applies the settings of a fleet in which discovery sends the list only to subscribers.
func largeFleet(s *testbed, forwarders any) *testbed {
	s.set(forwarders, "settings", "balancers")
	s.set("subscribe", "settings", "registry-mode")
	s.set(200000, "settings", "rules", "ask-within")
	return s
}

// With any fleet size and any costs the program starts and delivers, and it logs a missing fleet size.
func TestOddFleetSettings(t *testing.T) {
	const alone = "assuming a single forwarder"
	for name, c := range map[string]struct {
		change func(*testbed)
		log    string
	}{
		"no size":       {func(s *testbed) { delete(s.config["settings"].(map[string]any), "balancers") }, alone},
		"size 0":        {func(s *testbed) { largeFleet(s, 0) }, alone},
		"size below 0":  {func(s *testbed) { largeFleet(s, -3) }, alone},
		"size 1":        {func(s *testbed) { largeFleet(s, 1) }, ""},
		"size 8":        {func(s *testbed) { largeFleet(s, 8) }, ""},
		"size 100,000":  {func(s *testbed) { largeFleet(s, 100_000) }, ""},
		"no costs":      {func(s *testbed) { costs(largeFleet(s, 300), nil, nil) }, ""},
		"costs of 0":    {func(s *testbed) { costs(largeFleet(s, 300), 0, []float64{0}) }, ""},
		"absurd costs":  {func(s *testbed) { costs(largeFleet(s, 300), 1e308, []float64{1e308}) }, ""},
		"calls beyond":  {func(s *testbed) { s.set(500, "settings", "family-info", "calls-out") }, ""}, // more than the descriptors
		"costs unasked": {func(s *testbed) { costs(largeFleet(s, 300), 1, []float64{1, 2, 3, 4}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := newEndpoint(t, "a", 7)
			s := newTestbed(t, p)
			c.change(s)
			s.start()
			for _, class := range []string{"safe", "keyed", "unsafe"} {
				s.submit(class, class, 7)
				(<-p.calls).answer("200 OK")
			}
			s.waitForCounter(" ok=3 ")
			if err := s.end(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			if text := s.log.String(); strings.Contains(text, alone) != (c.log != "") {
				t.Errorf("the log:\n%s", text)
			}
		})
	}
}

// costs sets the worth of a delivery and the cost of traffic between zones; nil omits them.
func costs(s *testbed, credit any, toll []float64) {
	for _, class := range s.config["settings"].(map[string]any)["services"].([]any) {
		if m := class.(map[string]any); credit == nil {
			delete(m, "credit")
		} else {
			m["credit"] = credit
		}
	}
	if toll != nil {
		s.set(toll, "settings", "family-info", "toll")
	}
}

// Unusual lists: an empty list removes every endpoint, but a message for a destination that was once listed still ends
// by its deadline. Partial, older and repeated lists apply as they are; the last one received wins. An unreadable list
// changes nothing.
func TestUnusualListsInLargeFleet(t *testing.T) {
	a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
	s := largeFleet(newTestbed(t, a, b), 300)
	s.set(list(5, true, a, b), "known")
	s.start()
	served := func(p *endpoint, id string) {
		t.Helper()
		s.submit(id, "unsafe", p.group)
		(<-p.calls).answer("200 OK")
	}
	tell := func(l map[string]any, since string) { // sends a list and waits until it is processed
		t.Helper()
		s.lists <- l
		if got := <-s.watched; !strings.HasPrefix(got, since) {
			t.Errorf("after that list: requested %q, want %q", got, since)
		}
	}
	if got := <-s.watched; !strings.HasPrefix(got, "since=5&") {
		t.Errorf("first request %q", got)
	}
	served(a, "known")
	tell(map[string]any{"index": "six", "snapshot": true, "endpoints": 7}, "since=5&") // unreadable
	served(b, "after noise")
	for range 5 {
		tell(list(6, true, a, b), "since=6&")
	}
	served(a, "after repeats")
	tell(list(7, true, a), "since=7&") // a part of the list
	served(a, "after half")
	s.submit("kept", "keyed", 8) // its only endpoint was removed
	tell(list(3, true, a, b), "since=3&")
	if c := <-b.calls; c.id != "kept" {
		t.Errorf("%s came", c.id)
	} else {
		c.answer("200 OK")
	}
	tell(list(8, true), "since=8&") // empty
	if res := s.client().send(request("short", "safe", 7, 300*time.Millisecond, "x")); res.StatusCode == 202 {
		if n := <-s.reports; n.Message != "short" {
			t.Errorf("reported %+v", n)
		}
	}
	s.submit("waits", "keyed", 7)
	tell(list(9, true, a, b), "since=9&")
	if c := <-a.calls; c.id != "waits" {
		t.Errorf("%s came", c.id)
	} else {
		c.answer("200 OK")
	}
	s.waitForCounter(" ok=6 ")
}

// With a damaged folder, or one with files of another version, the program starts and keeps the readable messages. Full
// and failing disks, and files of older versions, are tested with the journal.
func TestDamagedFoldersInLargeFleet(t *testing.T) {
	segments := func(t *testing.T, s *testbed) []string {
		t.Helper()
		files, err := filepath.Glob(filepath.Join(s.dir, "*"))
		if err != nil || len(files) == 0 {
			t.Fatal(files, err)
		}
		return files
	}
	for name, c := range map[string]struct {
		damage func(*testing.T, *testbed)
		kept   bool // whether the held message is delivered
	}{
		"as left": {func(*testing.T, *testbed) {}, true},
		"noise behind the records": {func(t *testing.T, s *testbed) {
			for _, f := range segments(t, s) {
				if strings.HasPrefix(filepath.Base(f), "seg-") {
					h, err := os.OpenFile(f, os.O_APPEND|os.O_WRONLY, 0)
					must(t, err)
					_, err = h.Write([]byte("\x00\xff noise \x01"))
					must(t, err)
					must(t, h.Close())
				}
			}
		}, true},
		"unreadable record of a reload": {func(t *testing.T, s *testbed) {
			must(t, os.WriteFile(filepath.Join(s.dir, movedAddressFile), []byte("{"), 0o600))
		}, true},
		"files of a later version": {func(t *testing.T, s *testbed) {
			must(t, os.WriteFile(filepath.Join(s.dir, "of-a-later-version"), []byte("what?"), 0o600))
		}, true},
		"manifest damaged": {func(t *testing.T, s *testbed) {
			must(t, os.WriteFile(filepath.Join(s.dir, "manifest"), []byte("\x00noise"), 0o600))
		}, true},
		"all files damaged": {func(t *testing.T, s *testbed) {
			for _, f := range segments(t, s) {
				raw, err := os.ReadFile(f)
				must(t, err)
				for i := range raw {
					raw[i] ^= 0x5a
				}
				must(t, os.WriteFile(f, raw, 0o600))
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newEndpoint(t, "a", 7)
			s := largeFleet(newTestbed(t, p), 300)
			s.start()
			s.submit("held", "keyed", 7)
			<-p.calls // not answered
			s.end(syscall.SIGKILL)
			c.damage(t, s)
			s.start()
			if c.kept {
				if got := <-p.calls; got.id != "held" || got.body != "body of held" {
					t.Errorf("%s came with %q", got.id, got.body)
				} else {
					got.answer("200 OK")
				}
			}
			s.submit("new", "unsafe", 7)
			if got := <-p.calls; got.id != "new" {
				t.Errorf("%s came", got.id)
			} else {
				got.answer("200 OK")
			}
			s.waitForCounter(" ok=")
		})
	}
}

// A reload to an address that accepts no connection does not take effect: the lists of the old address still apply, and
// one line is logged. Once the new address accepts connections, the forwarder switches.
func TestReloadToUnreachableAddress(t *testing.T) {
	a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
	s := largeFleet(newTestbed(t, a), 300)
	old := s.discovery
	s.start()
	<-old.watched
	dead := bindUnused(t)
	s.set(dead.address, "discovery")
	const notApplied = "reload: new configuration not used, keeping the previous one"
	s.reload(notApplied)
	old.lists <- list(2, true, a, b)
	<-old.watched // the list has been processed
	s.submit("by the old list", "unsafe", 8)
	(<-b.calls).answer("200 OK")
	if err := os.WriteFile(s.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.cmd.Process.Signal(syscall.SIGHUP)
	if !s.waitForLog(notApplied) { // the unreadable file this time; the target address stays
		t.Fatal(s.log)
	}
	moved := newDiscoveryOn(t, dead.listen(t))
	if !s.waitForLog("reload: discovery has moved address=" + dead.address) {
		t.Fatal(s.log)
	}
	if got := <-moved.watched; got != "" {
		t.Errorf("requested %q at the new address", got)
	}
	if n := strings.Count(s.log.String(), notApplied); n != 2 {
		t.Errorf("%d lines for two reloads that could not be applied:\n%s", n, s.log)
	}
	s.submit("last", "unsafe", 7)
	(<-a.calls).answer("200 OK")
	if err := s.end(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	raw, err := os.ReadFile(filepath.Join(s.dir, movedAddressFile))
	var recorded struct {
		To string `json:"to"`
	}
	if err != nil || json.Unmarshal(raw, &recorded) != nil || recorded.To != dead.address {
		t.Errorf("%q is stored for the next process, %v", raw, err)
	}
}
