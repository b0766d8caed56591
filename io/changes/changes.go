// Package changes encodes the changes of a topic's copy as hosts send them to each other. Large
// values are compressed, and an updated one is sent as its difference from the value that the
// receiver has.
//
// # Usage
//
//	request := changes.Request{Topic: topic, After: position, Base: changes.NoBase, Packed: true}
//	query := request.Query()
//
//	body, err := encoder.Encode(request, later, previous)
//
//	later, err := changes.Decode(body, base)
//
// The encoding is JSON. A host of an earlier version ignores the parameters that it does not know and
// sends the values as they are; to one that does not ask for packed values they are sent as they are.
package changes

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"net/url"
	"strconv"
	"sync"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"cactuswell/core/replica"
)

const (
	// NoBase is the base of a request whose sender has no value that could serve as one.
	NoBase = -1
	// maxValueBytes bounds a value that is unpacked.
	maxValueBytes = 8 << 20
	// maxKept bounds the packed values that an encoder keeps: those of a change for receivers with
	// the version before, with an older one, and with none, of two changes.
	maxKept = 6
	// dictionaryID is the ID that the format requires for a base.
	dictionaryID = 1
	// packingZstd names the format of packed values.
	packingZstd = "zstd"
)

// FormatError reports a request or changes that cannot be decoded.
type FormatError struct {
	Reason string
}

// Error names the reason.
func (e *FormatError) Error() string { return "malformed changes: " + e.Reason }

// Request asks for the changes of a topic.
type Request struct {
	Topic string
	// After is the end of the copy of the host that asks.
	After replica.Position
	// Packed is set if the host can unpack values, and Base is the offset of the large value that it
	// has, or NoBase.
	Packed bool
	Base   int64
}

// Query returns the request as parameters of a URL.
func (r Request) Query() url.Values {
	query := url.Values{
		"topic":  {r.Topic},
		"era":    {strconv.FormatInt(r.After.Era, 10)},
		"offset": {strconv.FormatInt(r.After.Offset, 10)},
	}
	if r.Packed {
		query.Set("packing", packingZstd)
		query.Set("base", strconv.FormatInt(r.Base, 10))
	}
	return query
}

// ParseRequest parses the parameters of a URL. The error is a *FormatError.
func ParseRequest(query url.Values) (Request, error) {
	request := Request{
		Topic: query.Get("topic"),
		Base:  NoBase,
	}
	var err error
	if request.After.Era, err = strconv.ParseInt(query.Get("era"), 10, 64); err != nil {
		return Request{}, trace.Wrap(&FormatError{Reason: "era"})
	}
	if request.After.Offset, err = strconv.ParseInt(query.Get("offset"), 10, 64); err != nil {
		return Request{}, trace.Wrap(&FormatError{Reason: "offset"})
	}
	if query.Get("packing") != packingZstd {
		return request, nil
	}
	request.Packed = true
	if request.Base, err = strconv.ParseInt(query.Get("base"), 10, 64); err != nil {
		return Request{}, trace.Wrap(&FormatError{Reason: "base"})
	}
	return request, nil
}

// sentChanges is the JSON form of replica.Changes.
type sentChanges struct {
	End     replica.Position
	Whole   bool
	Records []sentRecord
}

// sentRecord is the JSON form of a record.
type sentRecord struct {
	replica.Record
	// Packing is the format of a packed value, and Base the offset of the value from which it is the
	// difference, or NoBase.
	Packing string `json:",omitempty"`
	Base    int64  `json:",omitempty"`
}

// Encoder encodes changes. It packs each value once for all hosts that ask for it. It is safe for
// concurrent use.
type Encoder struct {
	mu   sync.Mutex
	kept []packedValue
}

// packedValue is a value in its packed form.
type packedValue struct {
	topic  string
	era    int64
	offset int64
	base   int64
	packed []byte
}

// NewEncoder returns an Encoder.
func NewEncoder() *Encoder { return &Encoder{} }

// Encode encodes changes for a request. Previous is the record before that of a key, if the host has
// kept it.
func (e *Encoder) Encode(request Request, later replica.Changes, previous func(key string) (replica.Record, bool)) ([]byte, error) {
	sent := sentChanges{
		End:   later.End,
		Whole: later.Whole,
	}
	for _, record := range later.Records {
		if !request.Packed || !replica.IsLarge(record) {
			sent.Records = append(sent.Records, sentRecord{Record: record})
			continue
		}
		base, ok := previous(record.Key)
		if !ok || later.Whole || base.Offset != request.Base {
			base = replica.Record{Offset: NoBase}
		}
		packed, err := e.pack(request.Topic, later.End.Era, record, base)
		if err != nil {
			return nil, err
		}
		record.Value = packed
		sent.Records = append(sent.Records, sentRecord{
			Record:  record,
			Packing: packingZstd,
			Base:    base.Offset,
		})
	}
	return json.Marshal(sent)
}

// PackVersion returns the packed form of a version of a value that is no record of a topic. It packs
// each version once.
func (e *Encoder) PackVersion(name string, version int64, value []byte) ([]byte, error) {
	return e.pack(name, 0, replica.Record{
		Value:  value,
		Offset: version,
	}, replica.Record{Offset: NoBase})
}

// pack returns the packed form of a record's value.
func (e *Encoder) pack(topic string, era int64, record, base replica.Record) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.kept {
		if kept.topic == topic && kept.era == era && kept.offset == record.Offset && kept.base == base.Offset {
			return kept.packed, nil
		}
	}
	packed, err := Pack(record.Value, base.Value)
	if err != nil {
		return nil, err
	}
	if len(e.kept) == maxKept {
		e.kept = append(e.kept[:0], e.kept[1:]...)
	}
	e.kept = append(e.kept, packedValue{
		topic:  topic,
		era:    era,
		offset: record.Offset,
		base:   base.Offset,
		packed: packed,
	})
	return packed, nil
}

// Pack compresses a value, as its difference from a base unless that is empty.
func Pack(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(value) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(value, nil), nil
}

// windowFor returns the window that reaches back over a number of bytes: a power of two.
func windowFor(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), 2*maxValueBytes)
}

// Unpack returns the value of which Pack has made packed with the same base. The error is a
// *FormatError if there is no such value, as with another base, or if it exceeds 8 MB.
func Unpack(packed, base []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, trace.Wrap(&FormatError{Reason: "empty packed value"})
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxValueBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, trace.Wrap(&FormatError{Reason: err.Error()})
	}
	return value, nil
}

// Decode decodes changes. Base is the value of a key at an offset, if the host has it. The error is a
// *FormatError.
func Decode(body []byte, base func(key string, offset int64) ([]byte, bool)) (replica.Changes, error) {
	var sent sentChanges
	if err := json.Unmarshal(body, &sent); err != nil {
		return replica.Changes{}, trace.Wrap(&FormatError{Reason: err.Error()})
	}
	later := replica.Changes{
		End:   sent.End,
		Whole: sent.Whole,
	}
	for _, record := range sent.Records {
		if err := record.unpack(base); err != nil {
			return replica.Changes{}, err
		}
		later.Records = append(later.Records, record.Record)
	}
	return later, nil
}

// unpack replaces a packed value by the value.
func (r *sentRecord) unpack(base func(key string, offset int64) ([]byte, bool)) error {
	switch r.Packing {
	case "":
		return nil
	case packingZstd:
	default:
		return trace.Wrap(&FormatError{Reason: "unknown packing " + r.Packing})
	}
	var from []byte
	if r.Base != NoBase {
		var ok bool
		if from, ok = base(r.Key, r.Base); !ok {
			return trace.Wrap(&FormatError{Reason: fmt.Sprintf("no value of %s at offset %d", r.Key, r.Base)})
		}
	}
	value, err := Unpack(r.Value, from)
	if err != nil {
		return err
	}
	r.Value = value
	return nil
}
