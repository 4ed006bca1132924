package wal

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLife journals whole message lifecycles while a share of the disk is live, and reports the longest single
// append, for which the router's goroutine is blocked.
//
//	go test -run XXX -bench Life -benchtime 20000x ./internal/routing/wal
func BenchmarkLife(b *testing.B) {
	for _, c := range []struct {
		disk int64
		body int
		live float64
	}{{3e6, 300, 0.1}, {3e6, 16 << 10, 0.4}, {3e6, 16 << 10, 0.8}, {32e6, 16 << 10, 0.4}, {32e6, 16 << 10, 0.8}, {32e6, 64 << 10, 0.4}} {
		b.Run(fmt.Sprintf("disk=%dMB/body=%d/live=%.0f%%", c.disk/1e6, c.body, 100*c.live), func(b *testing.B) {
			l, err := Open(b.TempDir(), Options{MaxBytes: c.disk}, func(line string) { b.Log(line) })
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			body := make([]byte, c.body)
			maxHeld := max(1, int(c.live*float64(c.disk))/(c.body+300))
			var held []uint64
			var longest time.Duration
			refused := 0
			timed := func(f func() error) error {
				from := time.Now()
				err := f()
				longest = max(longest, time.Since(from))
				return err
			}
			b.ResetTimer()
			for range b.N {
				for len(held) >= maxHeld {
					seq := held[0]
					held = held[1:]
					_ = timed(func() error { return l.Started(seq, epoch, "z") })
					_ = timed(func() error { return l.Outcome(seq, true) })
					if err := timed(func() error { return l.End(seq, Completed, 0) }); err != nil {
						b.Fatal(err)
					}
				}
				m := &Message{Seq: l.NextSeq(), Deadline: epoch, ID: "0123456789abcdef", Class: "c", Body: body}
				for retries := 0; !l.Fits(m); retries++ { // retry as a client would, only sooner
					if refused++; retries > 20000 {
						b.Skip("the disk is too small for the live share")
					}
					time.Sleep(50 * time.Microsecond)
				}
				if err := timed(func() error { return l.Accept(m) }); err != nil {
					b.Fatal(err)
				}
				held = append(held, m.Seq)
			}
			b.StopTimer()
			b.ReportMetric(longest.Seconds()*1000, "longest-ms")
			b.ReportMetric(float64(refused)/float64(b.N), "waits/op")
		})
	}
}
