package keyedlog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/io/keyedlog"
	standin "cactuswell/standin/keyedlog"
	"cactuswell/timer"
)

// maxOddReads is the number of reads of an odd record after which the log answers no more.
const maxOddReads = 100

// oddLog is a log of which one record cannot be decoded.
type oddLog struct {
	*standin.Log
	offset int64
	// isFramed is set if the odd record can be told from those around it.
	isFramed bool
	// calls counts the reads that began at the odd record or before it.
	calls int
}

// Read implements keyedlog.Log.
func (l *oddLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (keyedlog.Batch, error) {
	batch, err := l.Log.Read(ctx, topic, from, wait)
	if err != nil || len(batch.Records) == 0 {
		return batch, err
	}
	batch.End = batch.Records[len(batch.Records)-1].Offset + 1
	if from > l.offset || batch.End <= l.offset {
		return batch, nil
	}
	if l.calls++; l.calls > maxOddReads {
		<-ctx.Done()
		return keyedlog.Batch{}, ctx.Err()
	}
	before := batch.Records[:l.offset-from]
	if l.isFramed {
		batch.Records = append(before[:len(before):len(before)], batch.Records[l.offset-from+1:]...)
		batch.Unreadable = 1
		return batch, nil
	}
	if len(before) == 0 {
		return keyedlog.Batch{}, &keyedlog.MalformedError{
			Topic: topic,
			From:  from,
		}
	}
	batch.Records, batch.End = before, l.offset
	return batch, nil
}

// TestOddRecordDoesNotStopFollower guards against a follower that reads one odd record again and again and never gets past it.
func TestOddRecordDoesNotStopFollower(t *testing.T) {
	for name, test := range map[string]struct {
		isFramed bool
		offset   int64
	}{
		"framed":                    {isFramed: true, offset: 3},
		"framed and last":           {isFramed: true, offset: 4},
		"length is wrong":           {offset: 3},
		"length of last is wrong":   {offset: 4},
		"only record of its read":   {isFramed: true, offset: 1},
		"length of only is too big": {offset: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &oddLog{
					Log:      standin.New(),
					offset:   test.offset,
					isFramed: test.isFramed,
				}
				l := &listener{}
				timers := timer.New()
				unreadable, failures := 0, 0
				follower := keyedlog.New(keyedlog.Dependencies{
					Log:               log,
					Topic:             topic,
					Listener:          l,
					Timers:            timers,
					MinReadInterval:   500 * time.Millisecond,
					RecordCall:        func(time.Duration, error) {},
					RecordUnreadable:  func(count int) { unreadable += count },
					RecordReadFailure: func(error) { failures++ },
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 2)
				go func() { done <- timers.Run(ctx) }()
				go func() { done <- follower.Run(ctx) }()
				log.Append(topic, "a", []byte("1"))
				wait(time.Second)
				log.Append(topic, "b", []byte("1"))
				wait(time.Second)
				log.Append(topic, "c", []byte("1"))
				log.Append(topic, "d", []byte("1"))
				log.Append(topic, "e", []byte("1"))
				wait(5 * time.Second)
				log.Append(topic, "f", []byte("1"))
				wait(5 * time.Second)
				if l.values["f"] != "1" || l.values["a"] != "1" {
					t.Errorf("the follower has %v", l.values)
				}
				if log.calls > 3 || unreadable+failures == 0 {
					t.Errorf("%d reads of the odd record, reported %d and %d times", log.calls, unreadable, failures)
				}
				cancel()
				for range 2 {
					if err := <-done; err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}

// TestFailedReadsAreNotRepeatedAtOnce guards against a follower that calls a faulty log without a pause.
func TestFailedReadsAreNotRepeatedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		batch keyedlog.Batch
		err   error
	}{
		"malformed":                      {err: &keyedlog.MalformedError{Topic: topic}},
		"expired, and the listing too":   {err: &keyedlog.ExpiredError{Topic: topic}},
		"later era, which no listing is": {batch: keyedlog.Batch{Era: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &failingLog{
					Log:   standin.New(),
					batch: test.batch,
					err:   test.err,
				}
				log.Append(topic, "a", []byte("1"))
				l := &listener{}
				timers := timer.New()
				follower := keyedlog.New(keyedlog.Dependencies{
					Log:        log,
					Topic:      topic,
					Listener:   l,
					Timers:     timers,
					RecordCall: func(time.Duration, error) {},
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 2)
				go func() { done <- timers.Run(ctx) }()
				go func() { done <- follower.Run(ctx) }()
				wait(20 * time.Second)
				// The pause after a failure is 200 ms or more from the third one on.
				if log.calls > 103 {
					t.Errorf("%d reads in 20 s", log.calls)
				}
				if diff := cmp.Diff([]string{"listed", "lost"}, l.events); diff != "" {
					t.Error(diff)
				}
				cancel()
				for range 2 {
					if err := <-done; err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}

// failingLog is a log whose reads have all the same result.
type failingLog struct {
	*standin.Log
	batch keyedlog.Batch
	err   error
	calls int
}

// Read implements keyedlog.Log.
func (l *failingLog) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (keyedlog.Batch, error) {
	if l.calls++; l.calls > 10*maxOddReads {
		<-ctx.Done()
		return keyedlog.Batch{}, ctx.Err()
	}
	return l.batch, l.err
}
