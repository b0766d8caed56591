package host

import (
	"context"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/io/engine"
	"cactuswell/timer"
)

const (
	// reportTimeout bounds one read of an endpoint's load report.
	reportTimeout = 2 * time.Second
	// cachePollWait is how long an engine may wait for a cache event before it
	// responds.
	cachePollWait = 5 * time.Second
	// cachePollInterval is the minimum time between two reads of cache events.
	cachePollInterval = 500 * time.Millisecond
)

// endpointWatcher polls the load report of one endpoint and, for an engine, its
// cache events, in one duty each. These use other connections than the requests do.
type endpointWatcher struct {
	descriptor   endpoint.Descriptor
	removed      <-chan struct{}
	engine       *engine.Client
	timers       *timer.Service
	plan         func() *watchPlan
	handleReport func(endpoint.Descriptor, endpoint.Report)
	post         func(pool string, event dispatch.Event)
	baseURL      func(address string) string
}

// runLoad polls the endpoint's load report until it is removed or ctx ends.
func (w *endpointWatcher) runLoad(ctx context.Context) error {
	next := w.timers.After(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.removed:
			return nil
		case <-next.C():
		}
		plan := w.plan()
		if plan.watched.Has(w.descriptor.Key.Name) {
			w.readLoad(ctx)
		}
		next.Reset(w.timers.Now().Add(plan.interval))
	}
}

func (w *endpointWatcher) readLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := w.engine.FetchLoad(ctx, w.baseURL(w.descriptor.Address))
	if err != nil {
		return
	}
	w.handleReport(w.descriptor, endpoint.Report{
		Key: endpoint.Key{
			Name:        w.descriptor.Key.Name,
			Incarnation: report.Incarnation,
		},
		At:                     w.timers.Now().Add(-time.Duration(report.AgeMs) * time.Millisecond),
		Running:                report.Running,
		Queued:                 report.Queued,
		Slots:                  report.Slots,
		TokensPerSecond:        report.TokensPerSecond,
		PrefillTokensPerSecond: report.PrefillTokensPerSecond,
		Leaving:                report.Leaving,
	})
}

// runCache polls the engine's cache events until it is removed or ctx ends.
func (w *endpointWatcher) runCache(ctx context.Context) error {
	if w.descriptor.Kind != profile.KindModel {
		return nil
	}
	tick := w.timers.Every(cachePollInterval)
	defer tick.Stop()
	after := uint64(0)
	for {
		if w.plan().watched.Has(w.descriptor.Key.Name) {
			after = w.readCache(ctx, after)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-w.removed:
			return nil
		case <-tick.C():
		}
	}
}

func (w *endpointWatcher) readCache(ctx context.Context, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, cachePollWait+reportTimeout)
	defer cancel()
	response, err := w.engine.FetchCacheEvents(ctx, w.baseURL(w.descriptor.Address), after, cachePollWait)
	if err != nil || len(response.Events) == 0 || response.Incarnation != w.descriptor.Key.Incarnation {
		return after
	}
	update := endpoint.CacheUpdate{
		Key:           w.descriptor.Key,
		FirstSequence: response.Events[0].Sequence,
		Changes:       make([]endpoint.CacheChange, 0, len(response.Events)),
	}
	for _, event := range response.Events {
		update.Changes = append(update.Changes, endpoint.CacheChange{
			Hash:   event.Hash,
			Stored: event.Kind == "stored",
		})
	}
	w.post(w.descriptor.Pool, dispatch.CacheChanged{
		Update: update,
	})
	return response.Events[len(response.Events)-1].Sequence
}
