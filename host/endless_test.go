package host

import (
	"context"
	"errors"
	"testing"

	"cactuswell/core/record"
	"cactuswell/io/engine"
	"cactuswell/io/hostlist"
	"cactuswell/io/logservice"
	"cactuswell/io/service"
	"cactuswell/standin/endless"
)

const (
	attemptID     = "a-1"
	attemptHeader = engine.HeaderAttemptID + ": " + attemptID + "\r\n"
)

// endlessCalls are the calls by which a host reads responses.
var endlessCalls = map[string]func(ctx context.Context, clients clients, base string) error{
	"service": func(ctx context.Context, clients clients, base string) error {
		_, err := clients.service.Call(ctx, service.Call{
			AttemptID: attemptID,
			BaseURL:   base,
			Operation: "hold",
		})
		return err
	},
	"chat": func(ctx context.Context, clients clients, base string) error {
		stream, err := clients.engine.Start(ctx, engine.Call{
			AttemptID: attemptID,
			BaseURL:   base,
		})
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for {
			if _, err := stream.Next(); err != nil {
				return err
			}
		}
	},
	"load report": func(ctx context.Context, clients clients, base string) error {
		_, err := clients.watching.FetchLoad(ctx, base)
		return err
	},
	"log": func(ctx context.Context, _ clients, base string) error {
		_, err := logservice.New(base, newClient(false, nil)).Read(ctx, record.StreamClaims, 0, logservice.ReadOptions{})
		return err
	},
	"host list": func(ctx context.Context, _ clients, base string) error {
		_, err := hostlist.New(base, newClient(false, nil)).Fetch(ctx)
		return err
	},
}

// TestEndlessResponse guards against endpoints and services of the platform that send
// bytes until their reader closes the connection: each call ends by a bound on bytes if
// they come without a pause, and with its context if they trickle. A call that may have
// run does not count as one that has not.
func TestEndlessResponse(t *testing.T) {
	for name, call := range endlessCalls {
		parts := endless.Plain()
		if name == "chat" {
			parts = append(parts, endless.Stream()...)
		}
		for _, part := range parts {
			for _, pace := range []endless.Pace{endless.NoPause, endless.ByteByByte} {
				t.Run(name+" "+string(part)+" "+string(pace), func(t *testing.T) {
					t.Parallel()
					checkEndlessCall(t, call, part, pace, name == "service" && part == endless.AfterBody)
				})
			}
		}
	}
}

func checkEndlessCall(
	t *testing.T, call func(context.Context, clients, string) error, part endless.Part, pace endless.Pace, isComplete bool,
) {
	t.Helper()
	server, err := endless.New(part.Response(attemptHeader, `data: {"id":"a-1","choices":[{"delta":{"content":"x"}}]}`+"\n\n"), pace)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := newClients(nil)
	t.Cleanup(clients.close)
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, clients, "http://"+server.Address()) }()
	if pace == endless.ByteByByte && part != endless.AfterBody {
		// The call ends with its context.
		<-server.Begun()
		cancel()
	}
	err = <-ended
	if (err == nil) != isComplete {
		t.Errorf("error %v, complete response: %v", err, isComplete)
	}
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		t.Errorf("the call counts as not run: %v", err)
	}
	<-server.Cut()
}
