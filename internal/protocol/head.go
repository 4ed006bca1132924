package protocol

import (
	"bytes"
	"fmt"
)

// The parsing of heads, in place.

// findHead searches for a complete head, parses it and sets the phase for its body.
func (p *Parser) findHead() (bool, error) {
	for p.scanned == 0 && p.start < p.end && (p.buf[p.start] == '\r' || p.buf[p.start] == '\n') && !p.readsAnswers {
		p.start++ // skip empty lines before a request
	}
	unread := p.buf[p.start:p.end]
	searchFrom := max(0, p.scanned-3)
	index := bytes.Index(unread[searchFrom:], []byte("\r\n\r\n"))
	if index < 0 {
		if p.scanned = len(unread); p.scanned > MaxHeadBytes {
			return false, ErrHeadSize
		}
		return false, nil
	}
	p.headLen = searchFrom + index + 4
	if p.headLen > MaxHeadBytes {
		return false, ErrHeadSize
	}
	nextPhase, err := p.parseHead(unread[:p.headLen])
	if err != nil {
		return false, err
	}
	if status := p.msg.Status(); p.readsAnswers && status < 200 { // interim: the final answer follows
		if p.interimAnswers++; p.interimAnswers > maxInterimAnswers || status < 100 || status == 101 {
			return false, fmt.Errorf("%w: too many or unsupported interim answers", ErrMalformed)
		}
		p.start += p.headLen
		p.scanned, p.headLen = 0, 0
		return p.findHead()
	}
	p.interimAnswers = 0
	if p.phase = nextPhase; nextPhase == inChunkedBody {
		p.decoder = Body{framing: Chunked, phase: bodyChunkSize, maxContent: int64(p.maxBody), dropTrailers: true}
	}
	return true, nil
}

// parseHead parses a head in place and returns the phase for its body.
func (p *Parser) parseHead(head []byte) (phase, error) {
	msg := &p.msg
	msg.head, msg.fields, msg.Close, msg.Long, p.expectsContinue, p.framing = head, msg.fields[:0], false, false, false, ByLength
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	if err := p.parseStartLine(line); err != nil {
		return 0, err
	}
	length, chunked := -1, false
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || len(msg.fields) == maxHeadLines || !isText(value) && !(p.readsAnswers && equalFold(name, loadReportHeader)) {
			return 0, fmt.Errorf("%w: invalid header line", ErrMalformed)
		}
		lineStart := len(head) - len(rest) - len(line) - len("\r\n")
		value = bytes.TrimRight(value, " \t")
		valueEnd := lineStart + len(name) + 1 + len(value)
		value = bytes.TrimLeft(value, " \t")
		msg.fields = append(msg.fields, headerField{
			uint16(lineStart), uint16(lineStart + len(name)), uint16(valueEnd - len(value)), uint16(valueEnd),
		})
		switch {
		case equalFold(name, "Content-Length"):
			number, ok := parseDecimal(value)
			if !ok || length >= 0 { // also rejects a repeated one: other parsers may use another of the values
				return 0, fmt.Errorf("%w: invalid Content-Length", ErrMalformed)
			}
			length = number
		case equalFold(name, "Transfer-Encoding"):
			if chunked || !equalFold(value, "chunked") {
				return 0, ErrEncoding
			}
			chunked = true
		case equalFold(name, "Expect"):
			p.expectsContinue = equalFold(value, "100-continue")
		case equalFold(name, "Connection"):
			for token := range bytes.SplitSeq(value, []byte(",")) {
				msg.Close = msg.Close || equalFold(bytes.Trim(token, " \t"), "close")
			}
		}
	}
	switch {
	case chunked && length >= 0: // would allow request smuggling past a proxy
		return 0, fmt.Errorf("%w: both Content-Length and Transfer-Encoding", ErrMalformed)
	case p.readsAnswers && hasNoBody(msg.Status()):
		p.remaining = 0
		return inBody, nil
	case chunked:
		p.framing = Chunked
		return inChunkedBody, nil
	case length < 0 && p.readsAnswers:
		msg.Close, p.framing = true, UntilClose
		return inBodyUntilClose, nil
	}
	p.remaining = max(0, length)
	return inBody, nil
}

func (p *Parser) parseStartLine(line []byte) error {
	first, rest, ok := bytes.Cut(line, []byte(" "))
	second, third, hasThird := bytes.Cut(rest, []byte(" "))
	version := third
	if p.readsAnswers {
		version = first
	}
	switch {
	case !ok || !isText(line):
		return fmt.Errorf("%w: invalid start line", ErrMalformed)
	case string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0":
		return fmt.Errorf("%w: unsupported version", ErrMalformed)
	case p.readsAnswers && (len(second) != 3 || !isDigits(second)):
		return fmt.Errorf("%w: invalid status", ErrMalformed)
	case !p.readsAnswers && (!hasThird || !isToken(first) || len(second) == 0 || bytes.IndexByte(third, ' ') >= 0):
		return fmt.Errorf("%w: invalid start line", ErrMalformed)
	}
	p.msg.Close = version[7] == '0'
	p.msg.Start = [3][]byte{first, second, third}
	return nil
}
