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
// ones, sorted by name.
func (s *Server) ListProfiles(
	context.Context, *connect.Request[operatorv1.ListProfilesRequest],
) (*connect.Response[operatorv1.ListProfilesResponse], error) {
	state := s.dependencies.Configuration.State()
	response := &operatorv1.ListProfilesResponse{
		NextOffset: int64(state.NextOffset()),
	}
	for _, entry := range state.Entries() {
		message, err := toMessage(entry)
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
	entry, err := s.entry(request.Msg.GetName())
	if err != nil {
		return nil, err
	}
	message, err := toMessage(entry)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.GetProfileResponse{
		Profile: message,
	}), nil
}

// ChangeProfile publishes a change and returns once it was read back.
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
		spec, err := readSpec(text)
		if err != nil {
			return nil, toConnect(err)
		}
		change.Spec = spec
	}
	outcome, err := s.change(ctx, request.Msg.GetChangeId(), change)
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

// History returns the latest accepted and rejected changes of a profile, the
// oldest first.
func (s *Server) History(
	_ context.Context, request *connect.Request[operatorv1.HistoryRequest],
) (*connect.Response[operatorv1.HistoryResponse], error) {
	entry, err := s.entry(request.Msg.GetName())
	if err != nil {
		return nil, err
	}
	response := &operatorv1.HistoryResponse{}
	for _, past := range slices.Concat(entry.Accepted, entry.Rejected) {
		message, err := pastToMessage(past)
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

// change publishes a change under the id, or under a new one if it is empty.
func (s *Server) change(ctx context.Context, id string, change core.Change) (core.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if id == "" {
		id = configuration.NewID()
	}
	outcome, err := s.dependencies.Configuration.PublishChange(ctx, id, change)
	if err != nil {
		return core.Outcome{}, toConnect(err)
	}
	return outcome, nil
}

func (s *Server) entry(name string) (core.Entry, error) {
	entry, ok := s.dependencies.Configuration.State().Entry(name)
	if !ok {
		return core.Entry{}, connect.NewError(connect.CodeNotFound, &NotFoundError{
			Kind: "profile",
			Name: name,
		})
	}
	return entry, nil
}

// readSpec refuses fields that it does not know, as they are likely misspelt.
func readSpec(text string) (*profile.Spec, error) {
	var spec profile.Spec
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return nil, &SpecError{Cause: err}
	}
	return &spec, nil
}

func toMessage(entry core.Entry) (*operatorv1.Profile, error) {
	text, err := specText(entry.Spec)
	if err != nil {
		return nil, err
	}
	return &operatorv1.Profile{
		Spec:     text,
		Revision: entry.Revision,
		Deleted:  entry.Deleted,
	}, nil
}

func pastToMessage(past core.HistoryEntry) (*operatorv1.HistoryEntry, error) {
	text, err := specText(past.Spec)
	if err != nil {
		return nil, err
	}
	return &operatorv1.HistoryEntry{
		Revision: past.Revision,
		Offset:   int64(past.Offset),
		ChangeId: past.ID,
		Author:   past.Author,
		Spec:     text,
		Deleted:  past.Deleted,
		Accepted: past.Revision != 0,
	}, nil
}

func specText(spec *profile.Spec) (string, error) {
	if spec == nil {
		return "", nil
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return "", &SpecError{Cause: err}
	}
	return string(text), nil
}
