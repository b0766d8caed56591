package configuration

import (
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
)

// maxMessageRecords bounds the records of one message.
const maxMessageRecords = 1000

// MessageError says that a message of a peer makes no sense.
type MessageError struct {
	Reason string
}

// Error describes the fault.
func (e *MessageError) Error() string {
	return "malformed message of a peer: " + e.Reason
}

func toMessages(records []follow.Record) []*nodev1.StreamRecord {
	messages := make([]*nodev1.StreamRecord, 0, len(records))
	for _, one := range records {
		messages = append(messages, &nodev1.StreamRecord{
			Offset:       int64(one.Offset),
			Data:         one.Data,
			DigestBefore: one.DigestBefore,
		})
	}
	return messages
}

// fromMessages checks that the records are consecutive and within bounds.
func fromMessages(messages []*nodev1.StreamRecord) ([]follow.Record, error) {
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
