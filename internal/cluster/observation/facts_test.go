package observation

import (
	"math"
	"testing"
	"time"

	mb "mulleinbeam"
)

const sec = time.Second

func book(name string) *Store {
	return NewStore(Config{Name: name, Epoch: 1, HalfLife: 10 * sec, MaxRetryAfter: 60 * sec, MaxKeys: 100})
}

func lane(edit func(*mb.LearnedCircuit)) []mb.LearnedCircuit {
	l := mb.LearnedCircuit{Destination: 7, GuardFrom: -1, LastBad: -1, LastOK: -1, Trust: 1}
	edit(&l)
	return []mb.LearnedCircuit{l}
}

// waits is the wait that is heeded at 7, with nothing seen by oneself.
func waits(b *Store, now time.Duration) time.Duration {
	for _, l := range b.Advice(now, nil) {
		if l.Destination == 7 {
			return l.Wait
		}
	}
	return 0
}

func wait(origin string, serial uint64, left time.Duration) Record {
	return Record{Kind: RetryAfter, Destination: 7, Origin: origin, Life: 1, Serial: serial, Left: left}
}

// One forwarder's word of a wait counts for a half-life and then rests, however often it is given; two make it last to its end.
func TestAWaitIsHeededByWhoTellsOfIt(t *testing.T) {
	b := book("me")
	b.Add(0, wait("a", 1, 30*sec))
	for _, c := range []struct{ at, want time.Duration }{{0, 10 * sec}, {9 * sec, sec}, {11 * sec, 0}} {
		if got := waits(b, c.at); got != c.want {
			t.Errorf("one witness, at %v: %v, want %v", c.at, got, c.want)
		}
	}
	for serial, at := uint64(2), 11*sec; at < 40*sec; serial, at = serial+1, at+sec { // said again and again
		b.Add(at, wait("a", serial, 30*sec))
		b.Expire(at, nil)
		if got := waits(b, at); got != 0 {
			t.Fatalf("the same word heeded again at %v: %v", at, got)
		}
	}
	b.Add(40*sec, wait("b", 1, 20*sec))
	if got := waits(b, 40*sec); got != 20*sec {
		t.Errorf("two witnesses: %v, want the end that both agree on", got)
	}
	if got := waits(b, 100*sec); got != 0 {
		t.Errorf("behind its end: %v", got)
	}
	b.Expire(200*sec, nil)
	if len(b.kept) != 0 {
		t.Errorf("kept for ever: %v", b.kept)
	}
}

// What a forwarder heeds of others is not told as its own sight: else one word would come back as two.
func TestWhatWasHeardIsNotTold(t *testing.T) {
	b := book("me")
	b.Add(0, wait("a", 1, 8*sec))
	left := waits(b, 0)
	if news := b.LocalUpdates(0, lane(func(l *mb.LearnedCircuit) { l.Wait = left })); len(news) != 0 {
		t.Errorf("told as its own: %+v", news)
	}
	down := func(origin string) Record {
		return Record{Kind: Outage, Destination: 7, Origin: origin, Life: 1, Serial: 9}
	}
	b.Add(0, down("a"))
	b.Add(0, down("b"))
	if got := b.Advice(0, nil); len(got) != 1 || !got[0].Guard {
		t.Fatalf("advice %+v", got)
	}
	if news := b.LocalUpdates(sec, lane(func(l *mb.LearnedCircuit) { l.Guard, l.GuardFrom, l.LastBad = true, 0, 3*sec })); len(news) != 0 {
		t.Errorf("told as its own: %+v", news)
	}
	if news := b.LocalUpdates(4*sec, lane(func(l *mb.LearnedCircuit) { l.Breaker, l.LastBad = mb.BreakerOpen, sec })); len(news) != 1 || news[0].Kind != Outage || news[0].Age != sec {
		t.Errorf("its own sight: %+v", news)
	}
	if news := b.LocalUpdates(5*sec, lane(func(l *mb.LearnedCircuit) { l.Wait = 20 * sec })); len(news) != 1 || news[0].Kind != RetryAfter || news[0].Left != 20*sec {
		t.Errorf("a later wait of its own: %+v", news)
	}
}

// A liar's facts are bounded or dropped, and what is left of them is heeded for a half-life at the most.
func TestAbsurdFacts(t *testing.T) {
	for name, c := range map[string]struct {
		fact Record
		news bool
		why  Problem
	}{
		"a wait of a year":     {wait("liar", 1, 365*24*time.Hour), true, ExcessiveWait},
		"an age below zero":    {Record{Kind: Outage, Destination: 7, Origin: "liar", Age: -sec}, true, NegativeAge},
		"a limit of nothing":   {Record{Kind: RateLimit, Destination: 7, Origin: "liar"}, false, InvalidRate},
		"a limit of no number": {Record{Kind: RateLimit, Destination: 7, Origin: "liar", Rate: math.NaN()}, false, InvalidRate},
		"a limit of all":       {Record{Kind: RateLimit, Destination: 7, Origin: "liar", Rate: math.Inf(1)}, false, InvalidRate},
		"from long ago":        {Record{Kind: Outage, Destination: 7, Origin: "liar", Age: time.Hour}, false, Valid},
		"a kind of tomorrow":   {Record{Kind: 77, Destination: 7, Origin: "liar"}, false, Valid},
		"in this one's name":   {Record{Kind: Outage, Destination: 7, Origin: "me"}, false, Valid},
	} {
		b := book("me")
		news, why := b.Add(sec, c.fact)
		if news != c.news || why != c.why {
			t.Errorf("%s: news %v, %q", name, news, why)
		}
		for at := sec; at < 100*sec; at += sec {
			for _, l := range b.Advice(at, nil) {
				if l.Guard || l.Wait > 11*sec-at || at > 11*sec && l.Limit > 0 {
					t.Errorf("%s: heeded at %v: %+v", name, at, l)
				}
			}
		}
	}
}

// An outage needs two witnesses and no success of one's own since; a return comes with how long ago it began.
func TestOutagesAndReturns(t *testing.T) {
	told := func(kinds ...Kind) *Store {
		b := book("me")
		for i, k := range kinds {
			b.Add(0, Record{Kind: k, Destination: 7, Origin: string(rune('a' + i)), Life: 1, Serial: 1, Age: 2 * sec})
		}
		return b
	}
	silent := lane(func(l *mb.LearnedCircuit) { l.LastOK = 20 * sec })
	if got := told(Outage).Advice(0, silent); len(got) != 0 {
		t.Errorf("one witness: %+v", got)
	}
	if got := told(Outage, Outage).Advice(0, silent); len(got) != 1 || !got[0].Guard || got[0].GuardFrom >= 0 {
		t.Errorf("two: %+v", got)
	}
	if got := told(Outage, Outage).Advice(0, lane(func(l *mb.LearnedCircuit) { l.LastOK = sec })); len(got) != 0 {
		t.Errorf("against its own eyes: %+v", got)
	}
	b := told(Recovery, Outage)
	if got := b.Advice(0, silent); len(got) != 1 || got[0].GuardFrom != 2*sec {
		t.Errorf("a return: %+v", got)
	}
	if got := b.Advice(sec, silent); len(got) != 0 {
		t.Errorf("told twice for one outage: %+v", got)
	}
}

// Of limits the middle one holds, and one's own before any.
func TestLimits(t *testing.T) {
	b := book("me")
	for i, rate := range []float64{100, 110, 9000} {
		b.Add(0, Record{Kind: RateLimit, Destination: 7, Origin: string(rune('a' + i)), Life: 1, Serial: 1, Rate: rate})
	}
	if got := b.Advice(0, nil); len(got) != 1 || got[0].Limit != 110 || got[0].Trust != 1 {
		t.Errorf("%+v", got)
	}
	if got := b.Advice(0, lane(func(l *mb.LearnedCircuit) { l.Limit = 50 })); len(got) != 0 {
		t.Errorf("beside its own: %+v", got)
	}
	if got := b.Advice(10*sec, nil); len(got) != 1 || got[0].Trust != 0.5 {
		t.Errorf("a half-life later: %+v", got)
	}
	if got := b.Advice(11*sec, nil); len(got) != 0 {
		t.Errorf("behind it: %+v", got)
	}
}

// Of what many see at once few facts are kept, and whoever comes late has nothing to add.
func TestFewWitnessesAreEnough(t *testing.T) {
	b := book("me")
	for i := range 50 {
		b.Add(sec, Record{Kind: Outage, Destination: 7, Origin: string(rune('A' + i)), Life: 1, Serial: 1})
	}
	if len(b.Records(sec)) != witnesses || b.Counts.Redundant != 50-witnesses {
		t.Errorf("%d kept, %+v", len(b.Records(sec)), b.Counts)
	}
	if news := b.LocalUpdates(sec, lane(func(l *mb.LearnedCircuit) { l.Breaker, l.LastBad = mb.BreakerOpen, 0 })); len(news) != 0 {
		t.Errorf("told once more: %+v", news)
	}
	b.Expire(sec, func(origin string, _ uint64) bool { return origin == "A" })
	if n := len(b.Records(sec)); n != 1 {
		t.Errorf("%d of members that are gone", n-1)
	}
}
