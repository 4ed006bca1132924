// Package lab is the project's laboratory: paced clients and endpoints, an agent, the real program as a process, and a
// checker of the rules. It speaks HTTP with the standard library, so that the project's own parsers meet others'. All of
// it stays on loopback addresses, and whatever it starts it ends.
package lab

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
)

const block = 1<<20 + 7 // no power of two: a piece that is lost or doubled shifts all that follows

// Content is a body that follows from a seed: Size bytes that no other seed gives.
type Content struct {
	Seed uint64
	Size int64
}

// Reader gives the content's bytes from the start.
func (c Content) Reader() io.Reader {
	b := make([]byte, min(block, max(1, c.Size)))
	rng := rand.NewChaCha8([32]byte{byte(c.Seed), byte(c.Seed >> 8), byte(c.Seed >> 16), byte(c.Seed >> 24), byte(c.Size), byte(c.Size >> 8)})
	_, _ = rng.Read(b)
	return &contentReader{block: b, left: c.Size}
}

type contentReader struct {
	block []byte
	at    int
	left  int64
}

func (r *contentReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.block[r.at:min(int64(len(r.block)), int64(r.at)+r.left)])
	r.at, r.left = (r.at+n)%len(r.block), r.left-int64(n)
	return n, nil
}

// Digest is the content's hash.
func (c Content) Digest() uint64 {
	h := xxh3.New()
	_, _ = io.Copy(h, c.Reader())
	return h.Sum64()
}

// Tally counts and hashes what goes through it. It is not safe for concurrent use.
type Tally struct {
	Bytes int64
	hash  xxh3.Hasher
}

// Write takes bytes; it never fails.
func (t *Tally) Write(p []byte) (int, error) {
	t.Bytes += int64(len(p))
	return t.hash.Write(p)
}

// Digest is the hash of all bytes so far.
func (t *Tally) Digest() uint64 { return t.hash.Sum64() }

// Pace bounds a reader to so many bytes a second; 0 is no bound.
type Pace struct {
	R      io.Reader
	Rate   int64
	began  time.Time
	passed int64
}

const paceSteps = 50 // a second: each is read at once

// Read reads, and then waits until its rate allows that.
func (p *Pace) Read(b []byte) (int, error) {
	if p.Rate <= 0 {
		return p.R.Read(b)
	}
	if p.began.IsZero() {
		p.began = time.Now()
	}
	n, err := p.R.Read(b[:min(int64(len(b)), max(1, p.Rate/paceSteps))])
	p.passed += int64(n)
	due := time.Duration(float64(p.passed) / float64(p.Rate) * float64(time.Second))
	if wait := due - time.Since(p.began); wait > 0 {
		time.Sleep(wait)
	}
	return n, err
}
