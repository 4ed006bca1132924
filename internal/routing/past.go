package routing

import "time"

// EndedID is the id of a message that has ended of late.
type EndedID struct {
	ID        string
	Delivered bool
	Age       time.Duration
}

// pastID is the id of a message that has ended. It is known for as long as any message may live, so that nobody's repeat
// of it is taken for a new message.
type pastID struct {
	id  string
	at  time.Time
	seq uint64 // of its record in the journal, which then goes with it; 0 is none
}

// pastIDs are the ids of messages that have ended of late.
type pastIDs struct {
	delivered map[string]bool // by id
	queue     []pastID        // the same, oldest first,
	long      []pastID        // and those of long messages
	closed    int             // of long, those with a record in the journal
	gone      EndedCursor     // how many have left each
}

// EndedCursor is a place among the ids that have ended; the zero one is before all.
type EndedCursor struct{ queue, long int }

// add books an end that happens now; seq is its record in the journal, if it has one.
func (p *pastIDs) add(id string, delivered, long bool, seq uint64) {
	p.delivered[id] = delivered
	past := pastID{id, time.Now(), seq}
	if seq > 0 {
		p.closed++
	}
	if long {
		p.long = append(p.long, past)
	} else {
		p.queue = append(p.queue, past)
	}
}

// drop forgets an id at once: whoever handed it in was not told that it was taken on.
func (p *pastIDs) drop(id string) { delete(p.delivered, id) }

// close books the journal's record of a long message's end; false says that its id is known no more.
func (p *pastIDs) close(id string, seq uint64) bool {
	for i := range p.long {
		if past := &p.long[i]; past.id == id && past.seq == 0 {
			past.seq = seq
			p.closed++
			return true
		}
	}
	return false
}

// expire forgets ids that ended so long ago that nobody can mean them any more, and gives the records that go with them.
func (p *pastIDs) expire(after, afterLong time.Duration) (records []uint64) {
	until := func(queue []pastID, after time.Duration, gone *int) []pastID {
		for len(queue) > 0 && time.Since(queue[0].at) > after {
			if delete(p.delivered, queue[0].id); queue[0].seq > 0 {
				records = append(records, queue[0].seq)
				p.closed--
			}
			queue = queue[1:]
			*gone++
		}
		return queue
	}
	p.queue, p.long = until(p.queue, after, &p.gone.queue), until(p.long, afterLong, &p.gone.long)
	return records
}

// list gives them, oldest first of each kind.
func (p *pastIDs) list() []EndedID {
	ids, _ := p.from(EndedCursor{}, len(p.queue)+len(p.long))
	return ids
}

// from gives so many at the most that are behind a place, oldest first of each kind, and the place behind them. It goes through so
// many at the most, too: one that was dropped counts.
func (p *pastIDs) from(at EndedCursor, most int) (ids []EndedID, next EndedCursor) {
	next = EndedCursor{max(at.queue, p.gone.queue), max(at.long, p.gone.long)}
	take := func(queue []pastID, gone int, next *int) {
		for ; *next-gone < len(queue) && most > 0; most-- {
			past := queue[*next-gone]
			if delivered, known := p.delivered[past.id]; known {
				ids = append(ids, EndedID{past.id, delivered, time.Since(past.at)})
			}
			*next++
		}
	}
	take(p.queue, p.gone.queue, &next.queue)
	take(p.long, p.gone.long, &next.long)
	return ids, next
}
