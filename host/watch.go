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
	// reportTimeout bounds one read of an endpoint's load.
	reportTimeout = 2 * time.Second
	// cacheWait is how long an engine may hold back an answer about its cache.
	cacheWait = 5 * time.Second
	// cachePause is the least time between two reads of cache events.
	cachePause = 500 * time.Millisecond
)

// watch reads what one endpoint says of itself. It has a duty for the load and,
// for engines, one for the cache. They use connections of their own, apart from
// the requests'.
type watch struct {
	descriptor endpoint.Descriptor
	removed    <-chan struct{}
	engine     *engine.Client
	timers     *timer.Service
	plan       func() *watchPlan
	heard      func(endpoint.Descriptor, endpoint.Report)
	post       func(pool string, event dispatch.Event)
	baseURL    func(address string) string
}

// runLoad reads the endpoint's load until it is removed or ctx ends.
func (w *watch) runLoad(ctx context.Context) error {
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
		if plan.used.Has(w.descriptor.Key.Name) {
			w.readLoad(ctx)
		}
		next.Reset(w.timers.Now().Add(plan.interval))
	}
}

func (w *watch) readLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := w.engine.FetchLoad(ctx, w.baseURL(w.descriptor.Address))
	if err != nil {
		return
	}
	w.heard(w.descriptor, endpoint.Report{
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

// runCache reads the engine's cache events until it is removed or ctx ends.
func (w *watch) runCache(ctx context.Context) error {
	if w.descriptor.Kind != profile.KindModel {
		return nil
	}
	pause := w.timers.Every(cachePause)
	defer pause.Stop()
	after := uint64(0)
	for {
		if w.plan().used.Has(w.descriptor.Key.Name) {
			after = w.readCache(ctx, after)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-w.removed:
			return nil
		case <-pause.C():
		}
	}
}

func (w *watch) readCache(ctx context.Context, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, cacheWait+reportTimeout)
	defer cancel()
	response, err := w.engine.FetchCacheEvents(ctx, w.baseURL(w.descriptor.Address), after, cacheWait)
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
