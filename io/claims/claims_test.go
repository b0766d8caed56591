package claims

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/claim"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
	standin "cactuswell/standin/logservice"
)

var booked = claim.Outcome{
	Status:      201,
	ContentType: "application/json",
	Body:        []byte(`{"hold":"4711"}`),
}

// mustRun returns the ticket of a call that may run.
func mustRun(t *testing.T, decision Decision) *Ticket {
	t.Helper()
	run, ok := decision.(Run)
	if !ok {
		t.Fatalf("got %T %+v, want Run", decision, decision)
	}
	return run.Ticket
}

func check(t *testing.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}

func TestOwnKeyRunsOnceAndIsReplayedAtAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		ticket := mustRun(t, first.begin("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		check(t, Decision(Replay{Outcome: booked}), first.begin("hold-1", "a", time.Second))
		time.Sleep(time.Second)
		check(t, Decision(Replay{Outcome: booked}), second.begin("hold-1", "a", time.Second))
		check(t, Decision(Mismatch{}), second.begin("hold-1", "b", time.Second))
		first.crash()
		third := fleet.start("host-3")
		check(t, Decision(Replay{Outcome: booked}), third.begin("hold-1", "a", time.Second))
	})
}

func TestClaimWithoutOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		mustRun(t, first.begin("hold-1", "a", time.Second))
		first.crash()
		check(t, Decision(Unknown{Reason: claim.UnknownNoOutcome}), second.begin("hold-1", "a", time.Second))
	})
}

func TestRetryWaitsForTheOutcomeOfARunningCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		ticket := mustRun(t, first.begin("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		time.AfterFunc(3*time.Second, func() { _ = ticket.Finish(booked) })
		check(t, Decision(Replay{Outcome: booked}), second.begin("hold-1", "a", 10*time.Second))
	})
}

func TestAbandonedClaimIsReleasedForAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		ticket := mustRun(t, first.begin("hold-1", "a", time.Second))
		time.AfterFunc(time.Second, func() { _ = ticket.Abandon() })
		check(t, Decision(Mismatch{}), second.begin("hold-1", "b", 10*time.Second))
		mustRun(t, second.begin("hold-1", "a", 10*time.Second))
		var used *TicketError
		if !errors.As(ticket.MarkStarted(), &used) || used.Reason != TicketUsed {
			t.Error("an abandoned ticket could be started")
		}
	})
}

// cutLog takes the first append and then gives no answer.
type cutLog struct {
	logservice.Log
	appends atomic.Int64
	cut     atomic.Bool
}

func (l *cutLog) Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error) {
	if l.appends.Add(1) == 1 {
		l.cut.Store(true)
		_, _ = l.Log.Append(ctx, stream, records)
	}
	if l.cut.Load() {
		return 0, &logservice.UnavailableError{Cause: lostError{}}
	}
	return l.Log.Append(ctx, stream, records)
}

func (l *cutLog) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	response, err := l.Log.Read(ctx, stream, from, options)
	if l.cut.Load() {
		return logservice.ReadResponse{}, &logservice.UnavailableError{Cause: lostError{}}
	}
	return response, err
}

func TestLogOutageRefusesAndALaterRetryRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		// The claim gets into the log, which then goes down before it answers.
		cut := &cutLog{
			Log: fleet.store,
		}
		first := fleet.startOver("host-1", cut)
		second := fleet.start("host-2")
		refused, ok := first.begin("hold-1", "a", time.Second).(Refused)
		if !ok || refused.Reason != claim.RefuseLogUnavailable || !refused.KeyUnchecked {
			t.Fatalf("got %+v", refused)
		}
		time.Sleep(time.Minute)
		cut.cut.Store(false)
		appends, _ := fleet.store.Counts()
		check(t, uint64(1), appends)
		mustRun(t, second.begin("hold-1", "a", 10*time.Second))
	})
}

func TestTicketExpiresWhileTheHostIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		ticket := mustRun(t, fleet.start("host-1").begin("hold-1", "a", time.Second))
		time.Sleep(fleet.settings.MaxGrantAge + time.Second)
		var expired *TicketError
		if !errors.As(ticket.MarkStarted(), &expired) || expired.Reason != TicketExpired {
			t.Error("an expired ticket could be started")
		}
	})
}

func TestNoKeyNeedsNoLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		fleet.store.SetFaults(standin.Faults{Down: true})
		ticket := mustRun(t, fleet.start("host-1").begin("", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.MarkNotStarted())
		check(t, nil, ticket.MarkStarted())
		ticket.Close()
		appends, _ := fleet.store.Counts()
		check(t, uint64(0), appends)
	})
}

func TestBeginAfterStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		host := fleet.start("host-1")
		synctest.Wait()
		host.crash()
		refused, ok := host.begin("hold-1", "a", time.Second).(Refused)
		if !ok || refused.Reason != claim.RefuseStopping {
			t.Errorf("got %+v", refused)
		}
		if _, err := host.claims.Issue(context.Background(), testTeam); err == nil {
			t.Error("a stopped host issued a key")
		}
		fleet.stop()
	})
}

func TestRestartedDeciderBeginsANewLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		host := fleet.start("host-1")
		key := mustIssue(t, host)
		ticket := mustRun(t, host.begin("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		// An event without its waiter makes the duty panic.
		host.claims.requests.TryPush(request{
			event: claim.IssueRequested{},
		})
		time.Sleep(time.Second)
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), host.begin(key, "a", time.Second))
		check(t, Decision(Unknown{Reason: claim.UnknownNoOutcome}), host.begin("hold-1", "a", time.Second))
		check(t, nil, ticket.Finish(booked))
		check(t, Decision(Replay{Outcome: booked}), host.begin("hold-1", "a", time.Second))
		mustRun(t, host.begin(mustIssue(t, host), "a", time.Second))
	})
}

func TestWholeFleetReplacedKeepsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		ticket := mustRun(t, first.begin("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		check(t, nil, first.claims.Shutdown(context.Background()))
		for range 5 {
			for _, host := range fleet.hosts {
				host.crash()
			}
			time.Sleep(time.Hour)
			host := fleet.start("host-1")
			check(t, Decision(Replay{Outcome: booked}), host.begin("hold-1", "a", time.Second))
		}
	})
}

// gapLog leaves the first record out of every answer.
type gapLog struct {
	logservice.Log
}

func (g gapLog) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	response, err := g.Log.Read(ctx, stream, from, options)
	if len(response.Records) > 0 {
		response.Records = response.Records[1:]
	}
	return response, err
}

func TestNothingIsDecidedBeyondAGapInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		mustRun(t, first.begin("hold-1", "a", time.Second))
		second := fleet.startOver("host-2", gapLog{
			Log: fleet.store,
		})
		refused, ok := second.begin("hold-1", "a", time.Second).(Refused)
		if !ok || !refused.KeyUnchecked {
			t.Errorf("got %+v", refused)
		}
		check(t, record.Offset(0), second.claims.Dump().Position)
	})
}

// TestLeaveWritesWhatWasJustFinished guards the order of two rings: what was
// finished before Leave was called is written before Leave returns.
func TestLeaveWritesWhatWasJustFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		reader := fleet.start("reader")
		for i := range 100 {
			host, key := fleet.start("host-1"), fmt.Sprintf("hold-%d", i)
			ticket := mustRun(t, host.begin(key, "a", time.Second))
			check(t, nil, ticket.MarkStarted())
			check(t, nil, ticket.Finish(booked))
			check(t, nil, host.claims.Shutdown(context.Background()))
			host.crash()
			check(t, Decision(Replay{Outcome: booked}), reader.begin(key, "a", time.Second))
		}
	})
}
