package node

import (
	"cactuswell/core/endpoint"
	"cactuswell/core/membership"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
)

func stateToWire(state membership.MemberState) *nodev1.MemberState {
	return &nodev1.MemberState{
		Name:        state.Name,
		Incarnation: state.Incarnation,
		Version:     state.Version,
		Address:     state.Address,
		Zone:        state.Zone,
		Status:      uint32(state.Status),
	}
}

func stateFromWire(state *nodev1.MemberState) membership.MemberState {
	return membership.MemberState{
		Member: membership.Member{
			Name:        state.GetName(),
			Incarnation: state.GetIncarnation(),
			Address:     state.GetAddress(),
			Zone:        state.GetZone(),
		},
		Version: state.GetVersion(),
		Status:  membership.Status(state.GetStatus()),
	}
}

func updatesToWire(news membership.Updates) *nodev1.News {
	wire := &nodev1.News{}
	for _, state := range news.Members {
		wire.Members = append(wire.Members, stateToWire(state))
	}
	for _, key := range news.LeavingEndpoints {
		wire.LeavingEndpoints = append(wire.LeavingEndpoints, &nodev1.EndpointNews{
			Name:        key.Name,
			Incarnation: key.Incarnation,
		})
	}
	for _, head := range news.Heads {
		wire.Heads = append(wire.Heads, &nodev1.StreamHead{
			Stream:     string(head.Stream),
			NextOffset: int64(head.NextOffset),
		})
	}
	return wire
}

func updatesFromWire(wire *nodev1.News) membership.Updates {
	var news membership.Updates
	for _, state := range wire.GetMembers() {
		news.Members = append(news.Members, stateFromWire(state))
	}
	for _, key := range wire.GetLeavingEndpoints() {
		news.LeavingEndpoints = append(news.LeavingEndpoints, endpoint.Key{
			Name:        key.GetName(),
			Incarnation: key.GetIncarnation(),
		})
	}
	for _, head := range wire.GetHeads() {
		news.Heads = append(news.Heads, membership.StreamHead{
			Stream:     record.Stream(head.GetStream()),
			NextOffset: record.Offset(head.GetNextOffset()),
		})
	}
	return news
}

// messageFromWire returns a checked message; the error is a
// *membership.MalformedNewsError.
func messageFromWire(from string, incarnation, digest uint64, news *nodev1.News) (membership.Message, error) {
	message := membership.Message{
		From:        from,
		Incarnation: incarnation,
		Digest:      digest,
		Updates:     updatesFromWire(news),
	}
	if err := message.Validate(); err != nil {
		return membership.Message{}, err
	}
	return message, nil
}

// bucketsFromWire returns a checked digest; the error is a
// *membership.MalformedNewsError.
func bucketsFromWire(members, endpoints []uint64) (membership.Buckets, error) {
	var buckets membership.Buckets
	if len(members) != len(buckets.Members) || len(endpoints) != len(buckets.Endpoints) {
		return buckets, &membership.MalformedMessageError{Reason: "wrong number of buckets"}
	}
	copy(buckets.Members[:], members)
	copy(buckets.Endpoints[:], endpoints)
	return buckets, nil
}
