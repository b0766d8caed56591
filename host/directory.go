package host

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
	"cactuswell/io/hostlist"
	"cactuswell/metrics"
	"cactuswell/set"
	"cactuswell/timer"
)

const (
	// listTimeout bounds one read of the host list.
	listTimeout = 3 * time.Second
	// maxLeaving bounds the incarnations remembered as leaving.
	maxLeaving = 65536
	// goneAfter is how long an endpoint that is no longer listed must be silent
	// to be taken for gone.
	goneAfter = 5 * time.Second
	// plausibleLoss is the largest share of the endpoints, as a divisor, that
	// one list may drop. A list that drops more is not believed.
	plausibleLoss = 2
)

// directoryDependencies is what a directory is made from.
type directoryDependencies struct {
	host     string
	lister   hostlist.Lister
	interval time.Duration
	// reportInterval is the wanted time between two reads of an endpoint's
	// load, and maxReads bounds the reads a second.
	reportInterval time.Duration
	maxReads       int
	timers         *timer.Service
	logger         log.Logger
	counters       *metrics.Counters
	// post hands an event to the pool of that name.
	post func(pool string, event dispatch.Event)
	// added is called with each new endpoint, removed is closed at its end.
	added func(descriptor endpoint.Descriptor, removed <-chan struct{})
	// leaving is called once for each incarnation that is found to leave.
	leaving func(key endpoint.Key)
}

// directory knows the endpoints and which of them are leaving. Its run method is
// the duty that reads the platform's host list; the list's absence leaves all
// as it is.
type directory struct {
	directoryDependencies
	mu       sync.Mutex
	entries  map[string]*directoryEntry
	left     map[endpoint.Key]struct{}
	leftRing []endpoint.Key
	listedAt time.Time
	plan     atomic.Pointer[watchPlan]
}

// directoryEntry is one endpoint.
type directoryEntry struct {
	descriptor endpoint.Descriptor
	leaving    bool
	drained    bool
	heardAt    time.Time
	report     endpoint.Report
	removed    chan struct{}
}

func newDirectory(dependencies directoryDependencies) *directory {
	d := &directory{
		directoryDependencies: dependencies,
		entries:               make(map[string]*directoryEntry),
		left:                  make(map[endpoint.Key]struct{}),
	}
	d.planWatching()
	return d
}

// planWatching says anew which endpoints are read and how often.
func (d *directory) planWatching() {
	pools := make(map[string][]string)
	for _, entry := range d.list() {
		pool := entry.descriptor.Pool
		pools[pool] = append(pools[pool], entry.descriptor.Key.Name)
	}
	subset := routing.DefaultSettings(d.host, "").SubsetSize
	d.plan.Store(newWatchPlan(d.host, pools, subset, d.reportInterval, d.maxReads))
}

// run reads the host list until ctx ends.
func (d *directory) run(ctx context.Context) error {
	tick := d.timers.Every(d.interval)
	defer tick.Stop()
	for {
		d.readList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
		}
	}
}

func (d *directory) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := d.lister.Fetch(ctx)
	if err != nil {
		d.counters.Add("hostListFailures", 1)
		return
	}
	d.applyList(list)
}

// applyList takes in a host list. An endpoint that is no longer listed takes no
// new work, and is gone once it is silent too.
func (d *directory) applyList(list hostlist.ListResponse) {
	d.mu.Lock()
	d.listedAt = d.timers.Now()
	d.mu.Unlock()
	listed := set.New[string]()
	descriptors := make([]endpoint.Descriptor, 0, len(list.Entries))
	for _, entry := range list.Entries {
		listed.Add(entry.Name)
		descriptors = append(descriptors, describe(entry))
	}
	d.add(descriptors...)
	for _, entry := range list.Entries {
		if entry.State == hostlist.StateLeaving {
			d.markLeaving(describe(entry).Key)
		}
	}
	d.dropUnlisted(listed)
}

func (d *directory) dropUnlisted(listed set.Set[string]) {
	known := d.list()
	var missing []directoryEntry
	for _, entry := range known {
		if !listed.Has(entry.descriptor.Key.Name) {
			missing = append(missing, entry)
		}
	}
	if len(missing) > 1 && len(missing)*plausibleLoss > len(known) {
		d.counters.Add("hostListsNotBelieved", 1)
		_ = d.logger.Log("level", "error", "event", "hostListNotBelieved", "known", len(known),
			"missing", len(missing))
		return
	}
	for _, entry := range missing {
		d.markLeaving(entry.descriptor.Key)
		if d.timers.Now().Sub(entry.heardAt) > goneAfter {
			d.remove(entry.descriptor.Key.Name)
		}
	}
}

func describe(entry hostlist.Entry) endpoint.Descriptor {
	kind := profile.KindModel
	if entry.Kind == hostlist.KindService {
		kind = profile.KindService
	}
	return endpoint.Descriptor{
		Key: endpoint.Key{
			Name:        entry.Name,
			Incarnation: entry.Incarnation,
		},
		Address:       entry.Address,
		Zone:          entry.Zone,
		Kind:          kind,
		Pool:          entry.Pool,
		ChecksFencing: entry.ChecksFencing,
	}
}

// admission is an endpoint that is new, or a new incarnation, with the entry
// that it replaces if there is one.
type admission struct {
	entry    *directoryEntry
	replaced *directoryEntry
}

// add takes in endpoints.
func (d *directory) add(descriptors ...endpoint.Descriptor) {
	var admitted []admission
	for _, descriptor := range descriptors {
		if a, ok := d.admit(descriptor); ok {
			admitted = append(admitted, a)
		}
	}
	if len(admitted) == 0 {
		return
	}
	d.planWatching()
	for _, a := range admitted {
		if a.replaced != nil {
			d.dismiss(a.replaced)
		}
		announce(a.entry, func(event dispatch.Event) { d.post(a.entry.descriptor.Pool, event) })
		d.added(a.entry.descriptor, a.entry.removed)
	}
}

// admit notes an endpoint. A newer incarnation replaces an older one, and an
// older one is ignored, since the host list lags.
func (d *directory) admit(descriptor endpoint.Descriptor) (admission, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.entries[descriptor.Key.Name]
	if known != nil && known.descriptor.Key.Incarnation >= descriptor.Key.Incarnation {
		return admission{}, false
	}
	entry := &directoryEntry{
		descriptor: descriptor,
		heardAt:    d.timers.Now(),
		removed:    make(chan struct{}),
	}
	_, entry.leaving = d.left[descriptor.Key]
	d.entries[descriptor.Key.Name] = entry
	return admission{
		entry:    entry,
		replaced: known,
	}, true
}

// dismiss ends the watching of an endpoint that is gone.
func (d *directory) dismiss(entry *directoryEntry) {
	close(entry.removed)
	d.post(entry.descriptor.Pool, dispatch.EndpointRemoved{
		Key: entry.descriptor.Key,
	})
}

// announce tells a pool of an endpoint.
func announce(entry *directoryEntry, tell func(dispatch.Event)) {
	tell(dispatch.EndpointAdded{
		Descriptor: entry.descriptor,
	})
	if entry.drained {
		tell(dispatch.EndpointDrainChanged{
			Key:     entry.descriptor.Key,
			Drained: true,
		})
	}
	if entry.leaving {
		tell(dispatch.EndpointLeaving{
			Key: entry.descriptor.Key,
		})
	}
}

func (d *directory) remove(name string) {
	d.mu.Lock()
	entry, ok := d.entries[name]
	delete(d.entries, name)
	d.mu.Unlock()
	if !ok {
		return
	}
	d.planWatching()
	d.dismiss(entry)
}

// markLeaving notes, for ever, that an incarnation takes no new work.
func (d *directory) markLeaving(key endpoint.Key) {
	d.mu.Lock()
	if _, known := d.left[key]; known {
		d.mu.Unlock()
		return
	}
	d.left[key] = struct{}{}
	d.leftRing = append(d.leftRing, key)
	if len(d.leftRing) > maxLeaving {
		delete(d.left, d.leftRing[0])
		d.leftRing = d.leftRing[1:]
	}
	entry, ok := d.entries[key.Name]
	concerned := ok && entry.descriptor.Key == key
	if concerned {
		entry.leaving = true
	}
	d.mu.Unlock()
	if concerned {
		d.post(entry.descriptor.Pool, dispatch.EndpointLeaving{
			Key: key,
		})
	}
	d.counters.Add("endpointsLeaving", 1)
	_ = d.logger.Log("level", "info", "event", "endpointLeaving", "endpoint", key.Name,
		"incarnation", key.Incarnation)
	d.leaving(key)
}

// applyDrains tells the pools which endpoints operators drain at present.
func (d *directory) applyDrains(drained func(endpoint.Key) bool) {
	for _, entry := range d.list() {
		wanted := drained(entry.descriptor.Key)
		if !d.setDrained(entry.descriptor.Key, wanted) {
			continue
		}
		d.post(entry.descriptor.Pool, dispatch.EndpointDrainChanged{
			Key:     entry.descriptor.Key,
			Drained: wanted,
		})
	}
}

// setDrained notes a drain and reports whether it is news.
func (d *directory) setDrained(key endpoint.Key, drained bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.entries[key.Name]
	if !ok || entry.descriptor.Key != key || entry.drained == drained {
		return false
	}
	entry.drained = drained
	return true
}

// heard takes in an endpoint's own account of its load.
func (d *directory) heard(descriptor endpoint.Descriptor, report endpoint.Report) {
	if report.Key.Incarnation > descriptor.Key.Incarnation {
		replaced := descriptor
		replaced.Key.Incarnation = report.Key.Incarnation
		d.add(replaced)
		return
	}
	d.mu.Lock()
	if entry, ok := d.entries[descriptor.Key.Name]; ok {
		entry.report = report
		entry.heardAt = d.timers.Now()
	}
	d.mu.Unlock()
	if report.Leaving {
		d.markLeaving(descriptor.Key)
	}
	d.post(descriptor.Pool, dispatch.LoadReported{
		Report: report,
	})
}

// resend tells a pool that lost its state of its endpoints.
func (d *directory) resend(pool string, tell func(dispatch.Event)) {
	for _, entry := range d.list() {
		if entry.descriptor.Pool == pool {
			announce(&entry, tell)
		}
	}
}

// list returns the endpoints, sorted by name.
func (d *directory) list() []directoryEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]directoryEntry, 0, len(d.entries))
	for _, entry := range d.entries {
		entries = append(entries, *entry)
	}
	sort.Slice(entries, func(i, j int) bool {
		return entries[i].descriptor.Key.Name < entries[j].descriptor.Key.Name
	})
	return entries
}
