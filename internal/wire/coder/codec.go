// Package coder defines the messages between entry instances and the records in
// the platform's log, and encodes and decodes them as CBOR.
package coder

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the protocol version of the messages and records that this program
// writes.
const Version = 1

// MaxMessageBytes is the maximum length of an encoded message in bytes.
const MaxMessageBytes = 8 << 20

var (
	errMessageSize   = fmt.Errorf("message is larger than %d bytes", MaxMessageBytes)
	errVariantCount  = errors.New("not exactly one variant is set")
	errVersion       = errors.New("unknown version")
	encMode, decMode = newModes()
)

func newModes() (cbor.EncMode, cbor.DecMode) {
	encOptions := cbor.CanonicalEncOptions()
	encOptions.Time = cbor.TimeRFC3339Nano
	enc, err := encOptions.EncMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR encoding options: %v", err))
	}
	dec, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  1 << 17,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR decoding options: %v", err))
	}
	return enc, dec
}

// EncodeMessage encodes m. A result longer than MaxMessageBytes is an error.
func EncodeMessage(m *Message) ([]byte, error) {
	b, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(b) > MaxMessageBytes {
		return nil, errMessageSize
	}
	return b, nil
}

// DecodeMessage decodes one message. It returns an error if the message is longer
// than MaxMessageBytes, has unknown or duplicate fields, or does not contain
// exactly one variant.
func DecodeMessage(b []byte) (*Message, error) {
	if len(b) > MaxMessageBytes {
		return nil, errMessageSize
	}
	var m Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	if m.countVariants() != 1 {
		return nil, fmt.Errorf("decode message: %w", errVariantCount)
	}
	return &m, nil
}

func (m *Message) countVariants() int {
	return countTrue(m.Hello != nil, m.Heartbeat != nil, m.ForwardRequest != nil, m.ForwardResponse != nil,
		m.Replicate != nil, m.Ack != nil, m.Sync != nil, m.CatchUp != nil)
}

// EncodeRecord encodes r with its version set to Version.
func EncodeRecord(r *Record) ([]byte, error) {
	versioned := *r
	versioned.Version = Version
	b, err := encMode.Marshal(&versioned)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// DecodeRecord decodes one record of the log. It returns an error if the record
// has unknown or duplicate fields, another version, or does not contain exactly
// one variant.
func DecodeRecord(b []byte) (*Record, error) {
	var r Record
	if err := decMode.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("decode record: %w %d", errVersion, r.Version)
	}
	if r.countVariants() != 1 {
		return nil, fmt.Errorf("decode record: %w", errVariantCount)
	}
	return &r, nil
}

func (r *Record) countVariants() int {
	return countTrue(r.Join != nil, r.Evict != nil, r.Leave != nil, r.MarkSynced != nil,
		r.Claim != nil, r.Revise != nil, r.Snapshot != nil, r.Retire != nil, r.Evacuate != nil)
}

func countTrue(set ...bool) int {
	n := 0
	for _, s := range set {
		if s {
			n++
		}
	}
	return n
}
