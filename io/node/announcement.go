package node

import (
	"encoding/json"
	"strconv"

	"cactuswell/core/membership"
	"cactuswell/core/record"
)

// Announcement is the body of hostStarted and hostLeft records.
type Announcement struct {
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address,omitempty"`
	Zone        string `json:"zone,omitempty"`
}

// encodeAnnouncement returns the record by which a host announces itself. Its ID
// is the same for each try, so that a repeated append has no effect.
func encodeAnnouncement(kind record.Kind, self membership.Member, writtenAtMs int64) ([]byte, error) {
	body, err := json.Marshal(Announcement{
		Incarnation: self.Incarnation,
		Address:     self.Address,
		Zone:        self.Zone,
	})
	if err != nil {
		return nil, &record.MalformedError{Reason: err.Error()}
	}
	return record.Encode(record.Envelope{
		Kind:        kind,
		ID:          string(kind) + "/" + self.Name + "/" + strconv.FormatUint(self.Incarnation, 10),
		Host:        self.Name,
		WrittenAtMs: writtenAtMs,
		Body:        body,
	})
}

// decodeAnnouncement returns the event that a record of the hosts stream stands
// for, or none for a kind of record that is not for membership.
func decodeAnnouncement(data []byte) (membership.Event, bool, error) {
	envelope, err := record.Decode(data)
	if err != nil {
		return nil, false, err
	}
	if envelope.Kind != record.KindHostStarted && envelope.Kind != record.KindHostStopped {
		return nil, false, nil
	}
	var body Announcement
	if err := json.Unmarshal(envelope.Body, &body); err != nil {
		return nil, false, &record.MalformedError{Reason: err.Error()}
	}
	state := membership.MemberState{
		Member: membership.Member{
			Name:        envelope.Host,
			Incarnation: body.Incarnation,
			Address:     body.Address,
			Zone:        body.Zone,
		},
		Version: 1,
		Status:  membership.Alive,
	}
	if envelope.Kind == record.KindHostStopped {
		state.Status = membership.Left
	}
	if err := state.Validate(); err != nil {
		return nil, false, err
	}
	if envelope.Kind == record.KindHostStopped {
		return membership.HostLeaveAnnounced{
			Name:        state.Name,
			Incarnation: state.Incarnation,
		}, true, nil
	}
	return membership.HostAnnounced{
		Member: state.Member,
	}, true, nil
}
