package observation

import (
	"math"
	"testing"
	"time"

	mb "mulleinbeam"
)

const sec = time.Second

func book(name string) *Book {
	return NewBook(Config{Name: name, Life: 1, HalfLife: 10 * sec, Longest: 60 * sec, Keys: 100})
}

func lane(edit func(*mb.LearnedCircuit)) []mb.LearnedCircuit {
	l := mb.LearnedCircuit{Destination: 7, GuardFrom: -1, LastBad: -1, LastOK: -1, Trust: 1}
	edit(&l)
	return []mb.LearnedCircuit{l}
}

// waits is the wait that is heeded at 7, with nothing seen by oneself.
func waits(b *Book, now time.Duration) time.Duration {
	for _, l := range b.Advice(now, nil) {
		if l.Destination == 7 {
			return l.Wait
		}
	}
	return 0
}

func wait(origin string, serial uint64, left time.Duration) Fact {
	return Fact{Kind: Wait, Destination: 7, Origin: origin, Life: 1, Serial: serial, Left: left}
}

// One forwarder's word of a wait counts for a half-life and then rests, however often it is given; two make it last to its end.
func TestAWaitIsHeededByWhoTellsOfIt(t *testing.T) {
	b := book("me")
	b.Take(0, wait("a", 1, 30*sec))
	for _, c := range []struct{ at, want time.Duration }{{0, 10 * sec}, {9 * sec, sec}, {11 * sec, 0}} {
		if got := waits(b, c.at); got != c.want {
			t.Errorf("one witness, at %v: %v, want %v", c.at, got, c.want)
		}
	}
	for serial, at := uint64(2), 11*sec; at < 40*sec; serial, at = serial+1, at+sec { // said again and again
		b.Take(at, wait("a", serial, 30*sec))
		b.Forget(at, nil)
		if got := waits(b, at); got != 0 {
			t.Fatalf("the same word heeded again at %v: %v", at, got)
		}
	}
	b.Take(40*sec, wait("b", 1, 20*sec))
	if got := waits(b, 40*sec); got != 20*sec {
		t.Errorf("two witnesses: %v, want the end that both agree on", got)
	}
	if got := waits(b, 100*sec); got != 0 {
		t.Errorf("behind its end: %v", got)
	}
	b.Forget(200*sec, nil)
	if len(b.kept) != 0 {
		t.Errorf("kept for ever: %v", b.kept)
	}
}

// What a forwarder heeds of others is not told as its own sight: else one word would come back as two.
func TestWhatWasHeardIsNotTold(t *testing.T) {
	b := book("me")
	b.Take(0, wait("a", 1, 8*sec))
	left := waits(b, 0)
	if news := b.Own(0, lane(func(l *mb.LearnedCircuit) { l.Wait = left })); len(news) != 0 {
		t.Errorf("told as its own: %+v", news)
	}
	down := func(origin string) Fact { return Fact{Kind: Down, Destination: 7, Origin: origin, Life: 1, Serial: 9} }
	b.Take(0, down("a"))
	b.Take(0, down("b"))
	if got := b.Advice(0, nil); len(got) != 1 || !got[0].Guard {
		t.Fatalf("advice %+v", got)
	}
	if news := b.Own(sec, lane(func(l *mb.LearnedCircuit) { l.Guard, l.GuardFrom, l.LastBad = true, 0, 3*sec })); len(news) != 0 {
		t.Errorf("told as its own: %+v", news)
	}
	if news := b.Own(4*sec, lane(func(l *mb.LearnedCircuit) { l.Breaker, l.LastBad = mb.BreakerOpen, sec })); len(news) != 1 || news[0].Kind != Down || news[0].Age != sec {
		t.Errorf("its own sight: %+v", news)
	}
	if news := b.Own(5*sec, lane(func(l *mb.LearnedCircuit) { l.Wait = 20 * sec })); len(news) != 1 || news[0].Kind != Wait || news[0].Left != 20*sec {
		t.Errorf("a later wait of its own: %+v", news)
	}
}

// A liar's facts are bounded or dropped, and what is left of them is heeded for a half-life at the most.
func TestAbsurdFacts(t *testing.T) {
	for name, c := range map[string]struct {
		fact Fact
		news bool
		why  Why
	}{
		"a wait of a year":     {wait("liar", 1, 365*24*time.Hour), true, LongWait},
		"an age below zero":    {Fact{Kind: Down, Destination: 7, Origin: "liar", Age: -sec}, true, FutureOf},
		"a limit of nothing":   {Fact{Kind: Limit, Destination: 7, Origin: "liar"}, false, NoRate},
		"a limit of no number": {Fact{Kind: Limit, Destination: 7, Origin: "liar", Rate: math.NaN()}, false, NoRate},
		"a limit of all":       {Fact{Kind: Limit, Destination: 7, Origin: "liar", Rate: math.Inf(1)}, false, NoRate},
		"from long ago":        {Fact{Kind: Down, Destination: 7, Origin: "liar", Age: time.Hour}, false, Fine},
		"a kind of tomorrow":   {Fact{Kind: 77, Destination: 7, Origin: "liar"}, false, Fine},
		"in this one's name":   {Fact{Kind: Down, Destination: 7, Origin: "me"}, false, Fine},
	} {
		b := book("me")
		news, why := b.Take(sec, c.fact)
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
	told := func(kinds ...Kind) *Book {
		b := book("me")
		for i, k := range kinds {
			b.Take(0, Fact{Kind: k, Destination: 7, Origin: string(rune('a' + i)), Life: 1, Serial: 1, Age: 2 * sec})
		}
		return b
	}
	silent := lane(func(l *mb.LearnedCircuit) { l.LastOK = 20 * sec })
	if got := told(Down).Advice(0, silent); len(got) != 0 {
		t.Errorf("one witness: %+v", got)
	}
	if got := told(Down, Down).Advice(0, silent); len(got) != 1 || !got[0].Guard || got[0].GuardFrom >= 0 {
		t.Errorf("two: %+v", got)
	}
	if got := told(Down, Down).Advice(0, lane(func(l *mb.LearnedCircuit) { l.LastOK = sec })); len(got) != 0 {
		t.Errorf("against its own eyes: %+v", got)
	}
	b := told(Back, Down)
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
		b.Take(0, Fact{Kind: Limit, Destination: 7, Origin: string(rune('a' + i)), Life: 1, Serial: 1, Rate: rate})
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
		b.Take(sec, Fact{Kind: Down, Destination: 7, Origin: string(rune('A' + i)), Life: 1, Serial: 1})
	}
	if len(b.All(sec)) != witnesses || b.Counts.Redundant != 50-witnesses {
		t.Errorf("%d kept, %+v", len(b.All(sec)), b.Counts)
	}
	if news := b.Own(sec, lane(func(l *mb.LearnedCircuit) { l.Breaker, l.LastBad = mb.BreakerOpen, 0 })); len(news) != 0 {
		t.Errorf("told once more: %+v", news)
	}
	b.Forget(sec, func(origin string, _ uint64) bool { return origin == "A" })
	if n := len(b.All(sec)); n != 1 {
		t.Errorf("%d of members that are gone", n-1)
	}
}
