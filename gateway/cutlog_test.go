package gateway_test

import (
	"context"
	"sync/atomic"
	"time"

	product "cactuswell/io/keyedlog"
	"cactuswell/standin/keyedlog"
)

// cutLog is a log that may turn its one host away.
type cutLog struct {
	*keyedlog.Log
	away atomic.Bool
}

func newCutLog(log *keyedlog.Log) *cutLog {
	return &cutLog{Log: log}
}

func (l *cutLog) Newest(ctx context.Context, topic, after string) (product.Listing, error) {
	if l.away.Load() {
		return product.Listing{}, keyedlog.ErrDown
	}
	return l.Log.Newest(ctx, topic, after)
}

// Read is short, so that the host notices soon that it is turned away.
func (l *cutLog) Read(ctx context.Context, topic string, from int64, _ time.Duration) ([]product.Record, error) {
	if l.away.Load() {
		return nil, keyedlog.ErrDown
	}
	records, err := l.Log.Read(ctx, topic, from, 20*time.Millisecond)
	if l.away.Load() {
		return nil, keyedlog.ErrDown
	}
	return records, err
}
