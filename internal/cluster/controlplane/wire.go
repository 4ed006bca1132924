package controlplane

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encoding of requests and responses. On a link each is one CBOR value inside net/rpc's gob stream. gob sends and
// compiles the types of all it carries anew for each connection, which took a voter some 2 ms for every member that
// connected. Fields are numbered, so that versions ignore the fields they do not know.

// GobEncode implements gob.GobEncoder.
func (r Request) GobEncode() ([]byte, error) {
	type plain Request
	return marshal(plain(r))
}

// GobDecode implements gob.GobDecoder.
func (r *Request) GobDecode(b []byte) error {
	type plain Request
	return unmarshal(b, (*plain)(r))
}

// GobEncode implements gob.GobEncoder.
func (r Response) GobEncode() ([]byte, error) {
	type plain Response
	return marshal(plain(r))
}

// GobDecode implements gob.GobDecoder.
func (r *Response) GobDecode(b []byte) error {
	type plain Response
	return unmarshal(b, (*plain)(r))
}

// plainItem is an Item without its encoding methods.
type plainItem Item

// sealed returns the item with its encoding, so that it is encoded only once for all watchers.
func (i Item) sealed() Item {
	if b, err := marshal(plainItem(i)); err == nil { // on an error, encoding is tried again, and reports the error, for each watcher
		i.encoded = b
	}
	return i
}

// MarshalCBOR implements cbor.Marshaler.
func (i Item) MarshalCBOR() ([]byte, error) {
	if i.encoded != nil {
		return i.encoded, nil
	}
	return marshal(plainItem(i))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (i *Item) UnmarshalCBOR(b []byte) error {
	var p plainItem
	if err := unmarshal(b, &p); err != nil {
		return err
	}
	*i = Item(p)
	i.encoded = bytes.Clone(b)
	return nil
}

// entryCBOR is the first byte of a CBOR entry in the Raft log. Earlier versions wrote gob, which never starts with it.
const entryCBOR = 0

func encodeEntry(e entry) ([]byte, error) {
	b, err := marshal(e)
	return append([]byte{entryCBOR}, b...), err
}

// decodeEntry decodes an entry of this version or an earlier one.
func decodeEntry(data []byte, e *entry) error {
	if len(data) > 0 && data[0] == entryCBOR {
		return unmarshal(data[1:], e)
	}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(e); err != nil {
		return fmt.Errorf("controlplane: decode: %w", err)
	}
	return nil
}

func marshal(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("controlplane: encode: %w", err)
	}
	return b, nil
}

func unmarshal(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("controlplane: decode: %w", err)
	}
	return nil
}
