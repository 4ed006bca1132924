package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// field is a member of a JSON object; a slice of fields keeps the order of the object.
type field struct {
	key   string
	value any // string, json.Number, bool, nil, []field or []any
}

// Human formats a JSON line of the program's log for people, as "part: message key=value ..."; each member that is an
// object follows on a line of its own, as "key: key=value ...". A line that is not a JSON object is returned unchanged.
func Human(line string) []string {
	dec := json.NewDecoder(strings.NewReader(line))
	dec.UseNumber()
	fields, ok := object(dec)
	if !ok {
		return []string{line}
	}
	var part, message string
	var values bytes.Buffer
	var objectLines []string
	for _, f := range fields {
		switch v := f.value.(type) {
		case []field:
			var sub bytes.Buffer
			for _, member := range v {
				fmt.Fprintf(&sub, " %s=%v", member.key, member.value)
			}
			objectLines = append(objectLines, f.key+":"+sub.String()+" ")
		default:
			switch f.key {
			case "part":
				part = fmt.Sprint(v) + ": "
			case "message":
				message = fmt.Sprint(v)
			case "level", "time", "name":
			default:
				fmt.Fprintf(&values, " %s=%v", f.key, v)
			}
		}
	}
	return append([]string{part + message + values.String()}, objectLines...)
}

// object decodes a JSON object; it returns false for anything else.
func object(dec *json.Decoder) ([]field, bool) {
	token, err := dec.Token()
	if err != nil || token != json.Delim('{') {
		return nil, false
	}
	fields, err := members(dec)
	return fields, err == nil
}

// members decodes the members of an object up to its end.
func members(dec *json.Decoder) ([]field, error) {
	var fields []field
	for {
		token, err := dec.Token()
		if err != nil {
			return nil, err
		}
		if token == json.Delim('}') {
			return fields, nil
		}
		key, _ := token.(string)
		token, err = dec.Token()
		if err != nil {
			return nil, err
		}
		f := field{key, token}
		switch token {
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

// Lines calls each with every line of r.
func Lines(r io.Reader, each func(string)) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		each(scanner.Text())
	}
	return scanner.Err()
}
