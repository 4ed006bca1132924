package controlplane

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// How requests and answers travel. On a link they are single values of CBOR to net/rpc's gob: gob sends and compiles the types of all that it
// carries anew for each connection, which took some 2 ms of a voter for every member that came. Fields are numbered, so sides of different
// versions leave out what they do not know.

// GobEncode is gob.GobEncoder's.
func (r Request) GobEncode() ([]byte, error) {
	type plain Request
	return marshal(plain(r))
}

// GobDecode is gob.GobDecoder's.
func (r *Request) GobDecode(b []byte) error {
	type plain Request
	return unmarshal(b, (*plain)(r))
}

// GobEncode is gob.GobEncoder's.
func (r Response) GobEncode() ([]byte, error) {
	type plain Response
	return marshal(plain(r))
}

// GobDecode is gob.GobDecoder's.
func (r *Response) GobDecode(b []byte) error {
	type plain Response
	return unmarshal(b, (*plain)(r))
}

// plainItem is an Item whose encoding is made of its fields.
type plainItem Item

// sealed is the item with its encoding, which is then made once, however many watchers get it.
func (i Item) sealed() Item {
	if b, err := marshal(plainItem(i)); err == nil { // else it is tried again, and told of, for each
		i.encoded = b
	}
	return i
}

// MarshalCBOR is cbor.Marshaler's.
func (i Item) MarshalCBOR() ([]byte, error) {
	if i.encoded != nil {
		return i.encoded, nil
	}
	return marshal(plainItem(i))
}

// UnmarshalCBOR is cbor.Unmarshaler's.
func (i *Item) UnmarshalCBOR(b []byte) error {
	var p plainItem
	if err := unmarshal(b, &p); err != nil {
		return err
	}
	*i = Item(p)
	i.encoded = bytes.Clone(b)
	return nil
}

// entryCBOR begins an entry of the Raft log in CBOR. Earlier programs wrote gob, which never begins with it.
const entryCBOR = 0

func encodeEntry(e entry) ([]byte, error) {
	b, err := marshal(e)
	return append([]byte{entryCBOR}, b...), err
}

// decodeEntry reads an entry of this program or of an earlier one.
func decodeEntry(data []byte, e *entry) error {
	if len(data) > 0 && data[0] == entryCBOR {
		return unmarshal(data[1:], e)
	}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(e); err != nil {
		return fmt.Errorf("council: decode: %w", err)
	}
	return nil
}

func marshal(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("council: encode: %w", err)
	}
	return b, nil
}

func unmarshal(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("council: decode: %w", err)
	}
	return nil
}
