package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// field is one of a JSON object, in the order in which it was written.
type field struct {
	key   string
	value any // string, json.Number, bool, nil, []field or []any
}

// Human puts one structured line of the program's log in lines for people: "part: message key=value ..."; an object's
// fields get a line of their own behind that, "key: key=value ...". A line that is not structured stays as it is.
func Human(line string) []string {
	dec := json.NewDecoder(strings.NewReader(line))
	dec.UseNumber()
	fields, ok := object(dec)
	if !ok {
		return []string{line}
	}
	var part, message string
	var words bytes.Buffer
	var more []string
	for _, f := range fields {
		switch v := f.value.(type) {
		case []field:
			var sub bytes.Buffer
			for _, g := range v {
				fmt.Fprintf(&sub, " %s=%v", g.key, g.value)
			}
			more = append(more, f.key+":"+sub.String()+" ")
		default:
			switch f.key {
			case "part":
				part = fmt.Sprint(v) + ": "
			case "message":
				message = fmt.Sprint(v)
			case "level", "time", "name":
			default:
				fmt.Fprintf(&words, " %s=%v", f.key, v)
			}
		}
	}
	return append([]string{part + message + words.String()}, more...)
}

// object reads one JSON object; false is anything else.
func object(dec *json.Decoder) ([]field, bool) {
	t, err := dec.Token()
	if err != nil || t != json.Delim('{') {
		return nil, false
	}
	fields, err := members(dec)
	return fields, err == nil
}

// members reads an object's members up to its end.
func members(dec *json.Decoder) ([]field, error) {
	var fields []field
	for {
		t, err := dec.Token()
		if err != nil {
			return nil, err
		}
		if t == json.Delim('}') {
			return fields, nil
		}
		key, _ := t.(string)
		t, err = dec.Token()
		if err != nil {
			return nil, err
		}
		f := field{key, t}
		switch t {
		case json.Delim('{'):
			if f.value, err = members(dec); err != nil {
				return nil, err
			}
		case json.Delim('['):
			var list []any
			for dec.More() {
				var v any
				if err := dec.Decode(&v); err != nil {
					return nil, err
				}
				list = append(list, v)
			}
			if _, err := dec.Token(); err != nil && err != io.EOF {
				return nil, err
			}
			f.value = list
		}
		fields = append(fields, f)
	}
}

// Lines gives each line that is read, up to the end.
func Lines(r io.Reader, each func(string)) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		each(scanner.Text())
	}
	return scanner.Err()
}
