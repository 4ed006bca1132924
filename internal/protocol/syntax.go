package protocol

import (
	"bytes"
	"strconv"
)

// The elements of HTTP's grammar that heads and bodies share.

// hasNoBody reports whether answers with a status never have a body.
func hasNoBody(status int) bool { return status < 200 || status == 204 || status == 304 }

// equalFold reports whether two ASCII texts are equal, ignoring case.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if toLower(b[i]) != toLower(s[i]) {
			return false
		}
	}
	return true
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// parseDecimal parses a decimal number of up to 15 digits, without sign or space.
func parseDecimal(b []byte) (int, bool) {
	if !isDigits(b) || len(b) > 15 {
		return 0, false
	}
	n, err := strconv.Atoi(string(b))
	return n, err == nil
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether a line has no control bytes. Other parsers treat these, a bare CR or LF above all,
// differently.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
