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
	// readTimeout limits a read of the log, in addition to the wait of a long
	// poll. A connection that takes longer is not reused.
	readTimeout = time.Second
	pollLimit   = 500
)

// logReader executes the follower's reads of the log.
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
	r.reconnect()
	defer func() { closeIdle(r.log) }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.logCommands.Ready():
			for command, ok := c.logCommands.Pop(); ok; command, ok = c.logCommands.Pop() {
				c.results.TryPush(r.execute(ctx, command))
			}
		}
	}
}

// reportUnanswered reports to the follower that the command in execution failed.
func (r *logReader) reportUnanswered() {
	r.configuration.results.TryPush(follow.LogReadFailed{})
}

func (r *logReader) reconnect() {
	r.configuration.counters.Add("logDials", 1)
	closeIdle(r.log)
	r.log = r.configuration.dependencies.NewLogClient()
}

func (r *logReader) execute(ctx context.Context, command follow.Command) follow.Event {
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
		return r.handleFailure()
	}
	return follow.LogRead{
		Records:      toFollowRecords(response.Records),
		OldestOffset: response.OldestOffset,
		NextOffset:   response.NextOffset,
	}
}

func (r *logReader) readSnapshots(ctx context.Context) follow.Event {
	reader := core.NewSnapshotReader()
	if _, err := scanSnapshots(ctx, r.log, 0, reader.Add); err != nil {
		return r.handleFailure()
	}
	return follow.SnapshotsRead{State: reader.Newest()}
}

func (r *logReader) handleFailure() follow.Event {
	r.configuration.counters.Add("logReadsFailed", 1)
	r.reconnect()
	return follow.LogReadFailed{}
}

// closeIdle closes the idle connections of a log client that is no longer used.
func closeIdle(log logservice.Log) {
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

// scanSnapshots passes the records of the snapshot stream from an offset on to
// add, and returns the stream's next offset. Records that were truncated in the
// meantime are skipped.
func scanSnapshots(ctx context.Context, log logservice.Log, from record.Offset, add func([]byte)) (record.Offset, error) {
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

func toFollowRecords(stored []logservice.StoredRecord) []follow.Record {
	records := make([]follow.Record, 0, len(stored))
	for _, source := range stored {
		records = append(records, follow.Record{
			Offset: source.Offset,
			Data:   source.Data,
		})
	}
	return records
}
