package configuration

import (
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
)

// maxMessageRecords limits the records in one message.
const maxMessageRecords = 1000

// MessageError reports a malformed message of a peer.
type MessageError struct {
	Reason string
}

// Error returns the reason.
func (e *MessageError) Error() string {
	return "malformed message of a peer: " + e.Reason
}

func encodeRecords(records []follow.Record) []*nodev1.StreamRecord {
	messages := make([]*nodev1.StreamRecord, 0, len(records))
	for _, source := range records {
		messages = append(messages, &nodev1.StreamRecord{
			Offset:       int64(source.Offset),
			Data:         source.Data,
			DigestBefore: source.DigestBefore,
		})
	}
	return messages
}

// decodeRecords returns the records of a message. The error is a *MessageError
// if they are not consecutive, too many, or start at a negative offset.
func decodeRecords(messages []*nodev1.StreamRecord) ([]follow.Record, error) {
	if len(messages) > maxMessageRecords {
		return nil, &MessageError{Reason: "too many records"}
	}
	records := make([]follow.Record, 0, len(messages))
	for i, message := range messages {
		offset := record.Offset(message.GetOffset())
		switch {
		case offset < 0:
			return nil, &MessageError{Reason: "negative offset"}
		case i > 0 && offset != records[i-1].Offset+1:
			return nil, &MessageError{Reason: "records are not consecutive"}
		}
		records = append(records, follow.Record{
			Offset:       offset,
			Data:         message.GetData(),
			DigestBefore: message.GetDigestBefore(),
		})
	}
	return records, nil
}
