package configuration

import (
	"context"
	"errors"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

const (
	// readTimeout is how long the log may take for an answer that it need not
	// hold back. A connection that takes longer is left behind.
	readTimeout = time.Second
	pollLimit   = 500
)

// logReader reads the log for the follower.
type logReader struct {
	configuration *Configuration
	log           logservice.Log
}

func newLogReader(c *Configuration) *logReader {
	return &logReader{
		configuration: c,
	}
}

func (r *logReader) run(ctx context.Context) error {
	c := r.configuration
	r.redial()
	defer func() { leave(r.log) }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.logTask.Ready():
			for command, ok := c.logTask.Pop(); ok; command, ok = c.logTask.Pop() {
				c.results.TryPush(r.answer(ctx, command))
			}
		}
	}
}

// answerLost tells the follower that the command that was being carried out has
// no answer.
func (r *logReader) answerLost() {
	r.configuration.results.TryPush(follow.LogReadFailed{})
}

func (r *logReader) redial() {
	r.configuration.counts.Add("logDials", 1)
	leave(r.log)
	r.log = r.configuration.dependencies.NewLogClient()
}

func (r *logReader) answer(ctx context.Context, command follow.Command) follow.Event {
	switch command := command.(type) {
	case follow.ReadLog:
		return r.read(ctx, command)
	case follow.ReadSnapshots:
		return r.readSnapshots(ctx)
	}
	return follow.LogReadFailed{}
}

func (r *logReader) read(ctx context.Context, command follow.ReadLog) follow.Event {
	response, err := readLog(ctx, r.log, record.StreamConfiguration, command.From, command.Wait)
	var truncated *logservice.TruncatedError
	switch {
	case errors.As(err, &truncated):
		return follow.LogTruncated{OldestOffset: truncated.Oldest}
	case err != nil:
		return r.failed()
	}
	return follow.LogRead{
		Records:      fromStored(response.Records),
		OldestOffset: response.OldestOffset,
		NextOffset:   response.NextOffset,
	}
}

func (r *logReader) readSnapshots(ctx context.Context) follow.Event {
	reader := core.NewSnapshotReader()
	if _, err := scan(ctx, r.log, 0, reader.Add); err != nil {
		return r.failed()
	}
	return follow.SnapshotsRead{State: reader.Newest()}
}

func (r *logReader) failed() follow.Event {
	r.configuration.counts.Add("logReadsFailed", 1)
	r.redial()
	return follow.LogReadFailed{}
}

// leave closes the idle connections of a client of the log that is used no
// longer.
func leave(log logservice.Log) {
	if closer, ok := log.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

func readLog(
	ctx context.Context, log logservice.Log, stream record.Stream, from record.Offset, wait time.Duration,
) (logservice.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return log.Read(ctx, stream, from, logservice.ReadOptions{
		Limit: pollLimit,
		Wait:  wait,
	})
}

// scan hands the records of the snapshot stream from an offset on to add, and
// returns the stream's next offset. Records that were dropped meanwhile are
// passed over.
func scan(ctx context.Context, log logservice.Log, from record.Offset, add func([]byte)) (record.Offset, error) {
	for {
		response, err := readLog(ctx, log, record.StreamSnapshots, from, 0)
		var truncated *logservice.TruncatedError
		switch {
		case errors.As(err, &truncated) && truncated.Oldest > from:
			from = truncated.Oldest
			continue
		case err != nil:
			return from, err
		case len(response.Records) == 0:
			return response.NextOffset, nil
		}
		for _, stored := range response.Records {
			add(stored.Data)
			from = stored.Offset + 1
		}
	}
}

func fromStored(stored []logservice.StoredRecord) []follow.Record {
	records := make([]follow.Record, 0, len(stored))
	for _, one := range stored {
		records = append(records, follow.Record{
			Offset: one.Offset,
			Data:   one.Data,
		})
	}
	return records
}
