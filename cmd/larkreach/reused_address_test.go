package main

import (
	"syscall"
	"testing"
	"time"
)

// reusedAddressTimeout is the time in which a message may be delivered whose endpoint has gone.
const reusedAddressTimeout = 1500 * time.Millisecond

// Guards against calls for one destination that are made to another one's process: an endpoint's process has ended, one of another
// name and group has come up at its address, and the list names that one before it tells the other's end (report cf1004, picture d).
func TestAddressOfAnotherProcess(t *testing.T) {
	for name, c := range map[string]struct{ whole, restart bool }{
		"change": {}, "whole list": {whole: true}, "restart": {restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			old := newEndpoint(t, "s-old", 1)
			s := newTestbed(t, old)
			s.start()
			<-s.watched
			s.submit("before", "safe", 1)
			(<-old.calls).answer("200 OK")
			successor := *old
			successor.name, successor.group = "s-new", 2
			if c.restart {
				known := list(2, true, old, &successor)
				known["endpoints"].([]any)[1].(map[string]any)["since_ms"] = time.Now().UnixMilli()
				s.set(known, "known")
				s.end(syscall.SIGKILL)
				s.start()
			} else if changed := list(2, false, &successor); c.whole {
				s.lists <- list(2, true, old, &successor)
				<-s.watched
			} else {
				s.lists <- changed
				<-s.watched
			}
			s.client().send(request("astray", "safe", 1, reusedAddressTimeout, ""))
			s.submit("after", "safe", 2)
			for reported := false; !reported; {
				select {
				case call := <-old.calls:
					if call.id == "astray" {
						t.Errorf("a call for destination 1 reached the process of destination 2")
					}
					call.answer("200 OK")
					reported = call.id == "astray"
				case report := <-s.reports:
					reported = report.Message == "astray"
				}
			}
		})
	}
}
