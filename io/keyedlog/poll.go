package keyedlog

import (
	"context"
	"time"

	"cactuswell/core/replica"
	"cactuswell/io/progress"
)

// poll is one read of the log that may wait for records.
type poll struct {
	follower *Follower
	from     replica.Position
	wait     time.Duration
	done     chan pollResult
}

type pollResult struct {
	batch Batch
	err   error
}

// run reads the log and delivers the result.
func (p *poll) run(ctx context.Context) {
	startedAt := time.Now()
	batch, err := p.follower.Log.Read(ctx, p.follower.Topic, p.from.Offset, p.wait)
	err = progress.Cause(ctx, err)
	p.follower.RecordCall(time.Since(startedAt), err)
	p.done <- pollResult{
		batch: batch,
		err:   err,
	}
}

// poll reads the records from a position on. It abandons the read once other hosts have
// been ahead for some time: a read may stay open although there are newer records. The
// error is an *AbandonedPollError then.
func (f *Follower) poll(ctx context.Context, from replica.Position, wait time.Duration) (Batch, error) {
	limits := progress.Limits{
		Silence: wait + pollSlack,
		Total:   wait + pollSlack + transferTime,
	}
	ctx, cancel := progress.WithLimits(ctx, f.Timers, limits)
	defer cancel()
	startedAt := time.Now()
	p := &poll{
		follower: f,
		from:     from,
		wait:     wait,
		done:     make(chan pollResult, 1),
	}
	go p.run(ctx)
	check := f.Timers.After(limits.Total)
	defer check.Stop()
	for {
		select {
		case result := <-p.done:
			return result.batch, result.err
		case <-f.wake:
		case <-check.C():
		}
		now := time.Now()
		grace, isBehind := f.planner.PollGrace(now, f.view())
		if isBehind && grace == 0 {
			return Batch{}, &AbandonedPollError{
				Topic: f.Topic,
				After: now.Sub(startedAt),
			}
		}
		if isBehind {
			check.Reset(now.Add(grace))
		}
	}
}
