package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"connectrpc.com/connect"

	core "cactuswell/core/configuration"
	"cactuswell/core/profile"
	"cactuswell/io/configuration"
	"cactuswell/io/operator/operatorv1"
)

// ListProfiles returns the profiles in force and the tombstones of deleted
// profiles, sorted by name.
func (s *Server) ListProfiles(
	context.Context, *connect.Request[operatorv1.ListProfilesRequest],
) (*connect.Response[operatorv1.ListProfilesResponse], error) {
	state := s.dependencies.Configuration.State()
	response := &operatorv1.ListProfilesResponse{
		NextOffset: int64(state.NextOffset()),
	}
	for _, entry := range state.Entries() {
		message, err := profileMessage(entry)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Profiles = append(response.Profiles, message)
	}
	return connect.NewResponse(response), nil
}

// GetProfile returns one profile, or its tombstone.
func (s *Server) GetProfile(
	_ context.Context, request *connect.Request[operatorv1.GetProfileRequest],
) (*connect.Response[operatorv1.GetProfileResponse], error) {
	entry, err := s.profileEntry(request.Msg.GetName())
	if err != nil {
		return nil, err
	}
	message, err := profileMessage(entry)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.GetProfileResponse{
		Profile: message,
	}), nil
}

// ChangeProfile publishes a change. It returns when the change has been read back
// from the log.
func (s *Server) ChangeProfile(
	ctx context.Context, request *connect.Request[operatorv1.ChangeProfileRequest],
) (*connect.Response[operatorv1.ChangeProfileResponse], error) {
	change := core.ProfileChange{
		Name:         request.Msg.GetName(),
		BaseRevision: request.Msg.GetBaseRevision(),
		Deleted:      request.Msg.GetDelete(),
		Author:       request.Msg.GetAuthor(),
	}
	if text := request.Msg.GetSpec(); text != "" {
		spec, err := parseSpec(text)
		if err != nil {
			return nil, toConnectError(err)
		}
		change.Spec = spec
	}
	outcome, err := s.publishChange(ctx, request.Msg.GetChangeId(), change)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ChangeProfileResponse{
		Profile: &operatorv1.Profile{
			Spec:     request.Msg.GetSpec(),
			Revision: outcome.Revision,
			Deleted:  change.Deleted,
		},
		Offset: int64(outcome.Offset),
	}), nil
}

// History returns the latest accepted and rejected changes of a profile, oldest
// first.
func (s *Server) History(
	_ context.Context, request *connect.Request[operatorv1.HistoryRequest],
) (*connect.Response[operatorv1.HistoryResponse], error) {
	entry, err := s.profileEntry(request.Msg.GetName())
	if err != nil {
		return nil, err
	}
	response := &operatorv1.HistoryResponse{}
	for _, change := range slices.Concat(entry.Accepted, entry.Rejected) {
		message, err := historyMessage(change)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Entries = append(response.Entries, message)
	}
	slices.SortFunc(response.Entries, func(a, b *operatorv1.HistoryEntry) int {
		return cmp.Compare(a.GetOffset(), b.GetOffset())
	})
	return connect.NewResponse(response), nil
}

// publishChange publishes a change with the change ID, or with a new one if id is
// empty.
func (s *Server) publishChange(ctx context.Context, id string, change core.Change) (core.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if id == "" {
		id = configuration.NewID()
	}
	outcome, err := s.dependencies.Configuration.PublishChange(ctx, id, change)
	if err != nil {
		return core.Outcome{}, toConnectError(err)
	}
	return outcome, nil
}

// profileEntry returns the entry of a profile. The error is a Connect error.
func (s *Server) profileEntry(name string) (core.Entry, error) {
	entry, ok := s.dependencies.Configuration.State().Entry(name)
	if !ok {
		return core.Entry{}, connect.NewError(connect.CodeNotFound, &NotFoundError{
			Kind: "profile",
			Name: name,
		})
	}
	return entry, nil
}

// parseSpec decodes a profile. Unknown fields are an error, because they are likely
// misspelled.
func parseSpec(text string) (*profile.Spec, error) {
	var spec profile.Spec
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return nil, &SpecError{Cause: err}
	}
	return &spec, nil
}

func profileMessage(entry core.Entry) (*operatorv1.Profile, error) {
	text, err := encodeSpec(entry.Spec)
	if err != nil {
		return nil, err
	}
	return &operatorv1.Profile{
		Spec:     text,
		Revision: entry.Revision,
		Deleted:  entry.Deleted,
	}, nil
}

func historyMessage(change core.HistoryEntry) (*operatorv1.HistoryEntry, error) {
	text, err := encodeSpec(change.Spec)
	if err != nil {
		return nil, err
	}
	return &operatorv1.HistoryEntry{
		Revision: change.Revision,
		Offset:   int64(change.Offset),
		ChangeId: change.ID,
		Author:   change.Author,
		Spec:     text,
		Deleted:  change.Deleted,
		Accepted: change.Revision != 0,
	}, nil
}

// encodeSpec returns the JSON text of a profile, or "" for none.
func encodeSpec(spec *profile.Spec) (string, error) {
	if spec == nil {
		return "", nil
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return "", &SpecError{Cause: err}
	}
	return string(text), nil
}
