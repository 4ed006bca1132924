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

// What the standing test of the whole fleet asks beside its days: odd settings, bad lists and folders at the settings of three
// hundred forwarders, each with a defined result and with nothing lost that can be read.

// vast puts a site under the settings of a fleet where the list comes only to those that ask.
func vast(s *site, forwarders any) *site {
	s.set(forwarders, "settings", "balancers")
	s.set("subscribe", "settings", "registry-mode")
	s.set(200000, "settings", "rules", "ask-within")
	return s
}

// Whatever size of the fleet and whatever costs are told, the program starts, says so where it is told none, and delivers.
func TestOddFleetSettings(t *testing.T) {
	const alone = "assuming a single forwarder"
	for name, c := range map[string]struct {
		odd func(*site)
		log string
	}{
		"no size":       {func(s *site) { delete(s.config["settings"].(map[string]any), "balancers") }, alone},
		"size 0":        {func(s *site) { vast(s, 0) }, alone},
		"size below 0":  {func(s *site) { vast(s, -3) }, alone},
		"size 1":        {func(s *site) { vast(s, 1) }, ""},
		"size 8":        {func(s *site) { vast(s, 8) }, ""},
		"size 100,000":  {func(s *site) { vast(s, 100_000) }, ""},
		"no costs":      {func(s *site) { costs(vast(s, 300), nil, nil) }, ""},
		"costs of 0":    {func(s *site) { costs(vast(s, 300), 0, []float64{0}) }, ""},
		"absurd costs":  {func(s *site) { costs(vast(s, 300), 1e308, []float64{1e308}) }, ""},
		"calls beyond":  {func(s *site) { s.set(500, "settings", "family-info", "calls-out") }, ""}, // beyond all descriptors
		"costs unasked": {func(s *site) { costs(vast(s, 300), 1, []float64{1, 2, 3, 4}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := newEndpoint(t, "a", 7)
			s := newSite(t, p)
			c.odd(s)
			s.start()
			for _, class := range []string{"safe", "keyed", "unsafe"} {
				s.hand(class, class, 7)
				(<-p.calls).answer("200 OK")
			}
			s.counts(" ok=3 ")
			if err := s.end(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			if text := s.log.String(); strings.Contains(text, alone) != (c.log != "") {
				t.Errorf("the log:\n%s", text)
			}
		})
	}
}

// costs sets what a delivery is worth and what a crossing between zones costs; nil leaves them out.
func costs(s *site, credit any, toll []float64) {
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

// A list that is empty takes every endpoint away, and a message for a destination that was ever listed still gets one answer in
// its time; half a list, an older one and one that comes many times over are what they say, the newest heard being the one
// that holds. One that cannot be read changes nothing.
func TestOddListsInAFleet(t *testing.T) {
	a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
	s := vast(newSite(t, a, b), 300)
	s.set(list(5, true, a, b), "known")
	s.start()
	served := func(p *endpoint, id string) {
		t.Helper()
		s.hand(id, "unsafe", p.group)
		(<-p.calls).answer("200 OK")
	}
	tell := func(l map[string]any, since string) { // and wait until it is learned
		t.Helper()
		s.lists <- l
		if got := <-s.watched; !strings.HasPrefix(got, since) {
			t.Errorf("behind that list: asked %q, want %q", got, since)
		}
	}
	if got := <-s.watched; !strings.HasPrefix(got, "since=5&") {
		t.Errorf("first asked %q", got)
	}
	served(a, "known")
	tell(map[string]any{"index": "six", "snapshot": true, "endpoints": 7}, "since=5&") // can't be read
	served(b, "behind noise")
	for range 5 {
		tell(list(6, true, a, b), "since=6&")
	}
	served(a, "behind repeats")
	tell(list(7, true, a), "since=7&") // half
	served(a, "behind half")
	s.hand("kept", "keyed", 8) // its only endpoint is gone
	tell(list(3, true, a, b), "since=3&")
	if c := <-b.calls; c.id != "kept" {
		t.Errorf("%s came", c.id)
	} else {
		c.answer("200 OK")
	}
	tell(list(8, true), "since=8&") // empty
	if res := s.client().send(request("short", "safe", 7, 300*time.Millisecond, "x")); res.StatusCode == 202 {
		if n := <-s.reports; n.Message != "short" {
			t.Errorf("told of %+v", n)
		}
	}
	s.hand("waits", "keyed", 7)
	tell(list(9, true, a, b), "since=9&")
	if c := <-a.calls; c.id != "waits" {
		t.Errorf("%s came", c.id)
	} else {
		c.answer("200 OK")
	}
	s.counts(" ok=6 ")
}

// A folder with damage or of another version: the program starts at three hundred forwarders' settings and keeps what can be
// read. (Full and failing disks, and an older version's file, have their tests where they lie: the journal knows no fleet.)
func TestOddFoldersInAFleet(t *testing.T) {
	segments := func(t *testing.T, s *site) []string {
		t.Helper()
		files, err := filepath.Glob(filepath.Join(s.dir, "*"))
		if err != nil || len(files) == 0 {
			t.Fatal(files, err)
		}
		return files
	}
	for name, c := range map[string]struct {
		spoil func(*testing.T, *site)
		kept  bool // the message that was held is delivered
	}{
		"as left": {func(*testing.T, *site) {}, true},
		"noise behind the records": {func(t *testing.T, s *site) {
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
		"word of a reload that can't be read": {func(t *testing.T, s *site) {
			must(t, os.WriteFile(filepath.Join(s.dir, movedAddressFile), []byte("{"), 0o600))
		}, true},
		"files of a later version": {func(t *testing.T, s *site) {
			must(t, os.WriteFile(filepath.Join(s.dir, "of-a-later-version"), []byte("what?"), 0o600))
		}, true},
		"manifest damaged": {func(t *testing.T, s *site) {
			must(t, os.WriteFile(filepath.Join(s.dir, "manifest"), []byte("\x00noise"), 0o600))
		}, true},
		"all files damaged": {func(t *testing.T, s *site) {
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
			s := vast(newSite(t, p), 300)
			s.start()
			s.hand("held", "keyed", 7)
			<-p.calls // and no answer
			s.end(syscall.SIGKILL)
			c.spoil(t, s)
			s.start()
			if c.kept {
				if got := <-p.calls; got.id != "held" || got.body != "body of held" {
					t.Errorf("%s came with %q", got.id, got.body)
				} else {
					got.answer("200 OK")
				}
			}
			s.hand("new", "unsafe", 7)
			if got := <-p.calls; got.id != "new" {
				t.Errorf("%s came", got.id)
			} else {
				got.answer("200 OK")
			}
			s.counts(" ok=")
		})
	}
}

// An address that takes no connection is not moved to: the old one's lists still count, with one line in the log. Once
// something listens there, the forwarder moves.
func TestReloadToADeadAddress(t *testing.T) {
	a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
	s := vast(newSite(t, a), 300)
	old := s.discovery
	s.start()
	<-old.watched
	dead := boundOnly(t)
	s.set(dead.address, "discovery")
	const unused = "reload: new configuration not used, keeping the previous one"
	s.reload(unused)
	old.lists <- list(2, true, a, b)
	<-old.watched // it was learned
	s.hand("by the old list", "unsafe", 8)
	(<-b.calls).answer("200 OK")
	if err := os.WriteFile(s.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.cmd.Process.Signal(syscall.SIGHUP)
	if !s.sees(unused) { // the file, this time; what was wanted before stands
		t.Fatal(s.log)
	}
	moved := discoveryOn(t, dead.listen(t))
	if !s.sees("reload: discovery has moved address=" + dead.address) {
		t.Fatal(s.log)
	}
	if got := <-moved.watched; got != "" {
		t.Errorf("asked %q at the new address", got)
	}
	if n := strings.Count(s.log.String(), unused); n != 2 {
		t.Errorf("%d lines of two reloads that could not be used:\n%s", n, s.log)
	}
	s.hand("last", "unsafe", 7)
	(<-a.calls).answer("200 OK")
	if err := s.end(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	raw, err := os.ReadFile(filepath.Join(s.dir, movedAddressFile))
	var word struct {
		To string `json:"to"`
	}
	if err != nil || json.Unmarshal(raw, &word) != nil || word.To != dead.address {
		t.Errorf("%q is left for the next life, %v", raw, err)
	}
}
