package routing

import "time"

// EndedID is the id of a recently ended message.
type EndedID struct {
	ID        string
	Delivered bool
	Age       time.Duration
}

// endedRecord is the id of an ended message. It is kept for the longest delivery timeout, so that a repeated submission
// is not taken for a new message.
type endedRecord struct {
	id      string
	endedAt time.Time
	seq     uint64 // sequence number of its journal record, removed when the id expires; 0 if none
}

// endedIDBytes is the memory of an ended id beside its text: its record, its entry in the map, and what these keep free to grow.
const endedIDBytes = 128

// endedIDs holds the ids of recently ended messages.
type endedIDs struct {
	bytes     int64           // memory of all of them
	delivered map[string]bool // by id
	queue     []endedRecord   // short messages, oldest first
	long      []endedRecord   // long messages, oldest first
	closed    int             // entries of long that have a journal record
	expired   EndedCursor     // number of entries expired from each queue
}

// EndedCursor is a position in the sequence of ended ids; the zero value is the start.
type EndedCursor struct{ queue, long int }

// add registers an end that happens now; seq is its journal record, or 0.
func (p *endedIDs) add(id string, delivered, long bool, seq uint64) {
	p.delivered[id] = delivered
	p.bytes += int64(len(id)) + endedIDBytes
	ended := endedRecord{id, time.Now(), seq}
	if seq > 0 {
		p.closed++
	}
	if long {
		p.long = append(p.long, ended)
	} else {
		p.queue = append(p.queue, ended)
	}
}

// forget removes an id at once, for a message whose client was not told that it was accepted.
func (p *endedIDs) forget(id string) { delete(p.delivered, id) }

// revoke records that a message which counted as delivered may not have been.
func (p *endedIDs) revoke(id string) {
	if _, known := p.delivered[id]; known {
		p.delivered[id] = false
	}
}

// closeLong sets the journal record of a long message's end. It returns false if the id has expired.
func (p *endedIDs) closeLong(id string, seq uint64) bool {
	for i := range p.long {
		if ended := &p.long[i]; ended.id == id && ended.seq == 0 {
			ended.seq = seq
			p.closed++
			return true
		}
	}
	return false
}

// expire removes ids that are older than a client can repeat, and returns the journal records to remove with them.
func (p *endedIDs) expire(after, afterLong time.Duration) (records []uint64) {
	expireQueue := func(queue []endedRecord, after time.Duration, expired *int) []endedRecord {
		for len(queue) > 0 && time.Since(queue[0].endedAt) > after {
			p.bytes -= int64(len(queue[0].id)) + endedIDBytes
			if delete(p.delivered, queue[0].id); queue[0].seq > 0 {
				records = append(records, queue[0].seq)
				p.closed--
			}
			queue = queue[1:]
			*expired++
		}
		return queue
	}
	p.queue, p.long = expireQueue(p.queue, after, &p.expired.queue), expireQueue(p.long, afterLong, &p.expired.long)
	return records
}

// list returns all ids, oldest first for short and for long messages.
func (p *endedIDs) list() []EndedID {
	ids, _ := p.page(EndedCursor{}, len(p.queue)+len(p.long))
	return ids
}

// page returns the ids after a position, oldest first for short and for long messages, and the next position. It visits
// most entries at the most; forgotten ones count.
func (p *endedIDs) page(after EndedCursor, limit int) (ids []EndedID, next EndedCursor) {
	next = EndedCursor{max(after.queue, p.expired.queue), max(after.long, p.expired.long)}
	read := func(queue []endedRecord, expired int, next *int) {
		for ; *next-expired < len(queue) && limit > 0; limit-- {
			ended := queue[*next-expired]
			if delivered, known := p.delivered[ended.id]; known {
				ids = append(ids, EndedID{ended.id, delivered, time.Since(ended.endedAt)})
			}
			*next++
		}
	}
	read(p.queue, p.expired.queue, &next.queue)
	read(p.long, p.expired.long, &next.long)
	return ids, next
}

// hasRoom reports whether another message may be accepted, whose id has to be kept once it has ended. The ids may take up to limit
// bytes, 0 for no limit; a connection may have as many of them as are left for all others.
func (p *endedIDs) hasRoom(limit int64, connectionAccepted int) bool {
	return limit == 0 || p.bytes+int64(connectionAccepted)*endedIDBytes < limit
}

// LimitEndedIDs changes Config.EndedIDBytes. Ids beyond it are kept until they expire.
func (r *Router) LimitEndedIDs(bytes int64) { r.post(func() { r.cfg.EndedIDBytes = bytes }) }
