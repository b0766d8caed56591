package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/io/configuration"
	"cactuswell/io/logservice"
	"cactuswell/io/operator"
	"cactuswell/io/operator/operatorv1"
	standin "cactuswell/standin/logservice"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

// direct answers requests by calling a handler.
type direct struct {
	handler http.Handler
}

func (d direct) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, request)
	return recorder.Result(), request.Context().Err()
}

type bench struct {
	store  *standin.Store
	config *configuration.Configuration
	client *operator.Client
}

// run runs a test against one host in virtual time.
func run(t *testing.T, test func(context.Context, *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		store := standin.New(time.Now, 1)
		timers := timer.New()
		config := configuration.New(configuration.Dependencies{
			Host:         "host-1",
			Zone:         "alm-a",
			NewLogClient: func() logservice.Log { return store },
			Timers:       timers,
			Logger:       log.NewNopLogger(),
		})
		tree := supervisor.New("host-1", log.NewNopLogger())
		tree.Add(supervisor.Duty{Name: "timer", Run: timers.Run})
		for _, duty := range config.Duties() {
			tree.Add(duty)
		}
		go func() { _ = tree.Run(ctx) }()
		server := operator.New(operator.Dependencies{
			Configuration: config,
			Dump:          func(context.Context) ([]byte, error) { return []byte(`{}`), nil },
			Explain:       func(context.Context, string) ([]byte, bool, error) { return nil, false, nil },
			Endpoints: func(context.Context) ([]operator.Endpoint, error) {
				return []operator.Endpoint{{Name: "engine-3", Incarnation: 4, Running: 2}}, nil
			},
		})
		mux := http.NewServeMux()
		mux.Handle(server.Handler())
		test(ctx, &bench{
			store:  store,
			config: config,
			client: operator.NewClient("http://host-1", &http.Client{Transport: direct{handler: mux}}),
		})
		cancel()
		synctest.Wait()
	})
}

func roomHold(targetMs int64) profile.Spec {
	return profile.Spec{
		Name:     "roomHold",
		Class:    "roomHold",
		Kind:     profile.KindService,
		Pool:     "booking",
		TargetMs: targetMs,
	}
}

func TestChangesOfAProfile(t *testing.T) {
	run(t, func(ctx context.Context, b *bench) {
		b.store.SetFaults(standin.Faults{LostAnswers: 1})
		first, err := b.client.SetProfile(ctx, roomHold(800), 0, "aigerim")
		if err != nil {
			t.Fatal(err)
		}
		if err := b.client.AwaitInForce(ctx, first.Offset); err != nil {
			t.Error(err)
		}
		_, err = b.client.SetProfile(ctx, roomHold(900), 0, "bolat")
		var conflict *operator.ConflictError
		if !errors.As(err, &conflict) {
			t.Fatalf("got %v, want a conflict", err)
		}
		if conflict.Revision != first.Revision || conflict.Author != "aigerim" || conflict.Spec == "" {
			t.Errorf("conflict does not name the winner: %+v", conflict)
		}
		if _, err := b.client.DeleteProfile(ctx, "roomHold", first.Revision, "bolat"); err != nil {
			t.Error(err)
		}
		history, err := b.client.Service().History(ctx, connect.NewRequest(&operatorv1.HistoryRequest{Name: "roomHold"}))
		if err != nil {
			t.Fatal(err)
		}
		var accepted []bool
		for _, entry := range history.Msg.GetEntries() {
			accepted = append(accepted, entry.GetAccepted())
		}
		if len(accepted) != 3 || !accepted[0] || accepted[1] || !accepted[2] {
			t.Errorf("history: %v", history.Msg.GetEntries())
		}
		got, err := b.client.Service().GetProfile(ctx, connect.NewRequest(&operatorv1.GetProfileRequest{Name: "roomHold"}))
		if err != nil || !got.Msg.GetProfile().GetDeleted() {
			t.Errorf("deleted profile: %v, %v", got, err)
		}
	})
}

func TestRefusals(t *testing.T) {
	run(t, func(ctx context.Context, b *bench) {
		service := b.client.Service()
		change := func(request *operatorv1.ChangeProfileRequest) error {
			_, err := service.ChangeProfile(ctx, connect.NewRequest(request))
			return err
		}
		for name, test := range map[string]struct {
			err  error
			code connect.Code
		}{
			"misspelt field": {
				err:  change(&operatorv1.ChangeProfileRequest{Name: "a", Spec: `{"name":"a","targetMS2":1}`}),
				code: connect.CodeInvalidArgument,
			},
			"field out of bounds": {
				err:  change(&operatorv1.ChangeProfileRequest{Name: "a", Spec: `{"name":"a"}`}),
				code: connect.CodeInvalidArgument,
			},
			"deletion of nothing": {
				err:  change(&operatorv1.ChangeProfileRequest{Name: "a", Delete: true}),
				code: connect.CodeInvalidArgument,
			},
			"id without bound": {
				err:  change(&operatorv1.ChangeProfileRequest{Name: "a", Delete: true, ChangeId: string(make([]byte, 65))}),
				code: connect.CodeInvalidArgument,
			},
		} {
			if connect.CodeOf(test.err) != test.code {
				t.Errorf("%s: %v", name, test.err)
			}
		}
		_, err := service.GetProfile(ctx, connect.NewRequest(&operatorv1.GetProfileRequest{Name: "unheardOf"}))
		if connect.CodeOf(err) != connect.CodeNotFound {
			t.Errorf("unknown profile: %v", err)
		}
		_, err = service.Explain(ctx, connect.NewRequest(&operatorv1.ExplainRequest{RequestId: "r"}))
		if connect.CodeOf(err) != connect.CodeNotFound {
			t.Errorf("unknown request: %v", err)
		}
	})
}

// TestLogDownIsNotAnAcceptance takes the log away from a change and back.
func TestLogDownIsNotAnAcceptance(t *testing.T) {
	run(t, func(ctx context.Context, b *bench) {
		if _, err := b.client.SetProfile(ctx, roomHold(800), 0, "aigerim"); err != nil {
			t.Fatal(err)
		}
		b.store.SetFaults(standin.Faults{Down: true})
		short, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		if _, err := b.client.SetProfile(short, roomHold(900), 1, "aigerim"); err == nil {
			t.Error("accepted with the log down")
		}
		b.store.SetFaults(standin.Faults{FailedAppends: 0.7})
		if _, err := b.client.SetProfile(ctx, roomHold(900), 1, "aigerim"); err != nil {
			t.Error(err)
		}
	})
}

// TestSilentHostIsNotALaggingOne waits for a change at a host that never says
// which hosts lag.
func TestSilentHostIsNotALaggingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		silent := direct{handler: http.NotFoundHandler()}
		err := operator.NewClient("http://host-1", &http.Client{Transport: silent}).AwaitInForce(ctx, 1)
		var lagging *operator.LaggingError
		if !errors.As(err, &lagging) || !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v", err)
		}
		want := "no host told where the change is in force: context deadline exceeded"
		if lagging.Error() != want {
			t.Errorf("got %q, want %q", lagging.Error(), want)
		}
	})
}

func TestEndpoints(t *testing.T) {
	run(t, func(ctx context.Context, b *bench) {
		if _, err := b.client.ChangeEndpoint(ctx, "engine-3", 4, true, "aigerim"); err != nil {
			t.Fatal(err)
		}
		if !b.config.IsDrained(endpoint.Key{Name: "engine-3", Incarnation: 4}) {
			t.Error("endpoint is not drained")
		}
		list, err := b.client.Service().ListEndpoints(ctx, connect.NewRequest(&operatorv1.ListEndpointsRequest{}))
		if err != nil || len(list.Msg.GetEndpoints()) != 1 || list.Msg.GetEndpoints()[0].GetRunning() != 2 {
			t.Errorf("endpoints: %v, %v", list, err)
		}
	})
}
