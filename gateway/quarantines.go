package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/quarantine"
	"cactuswell/core/scheduling"
	"cactuswell/io/keyedlog"
)

const (
	// quarantineKeyPrefix precedes the host's name in the key of its record of quarantines.
	// The records are in the topic of the roster, which each host reads when it starts.
	quarantineKeyPrefix = "quarantines/"
	// quarantineSpread is the time for each host of the fleet over which hosts that find the
	// same quarantine spread their writes.
	quarantineSpread = 5 * time.Millisecond
)

// savedQuarantine is a quarantine in a host's record. A record is a list, which releases
// without such records do not take for an entry of the roster.
type savedQuarantine struct {
	RequestHash string   `json:"requestHash,omitempty"`
	PromptParts []string `json:"promptParts,omitempty"`
	// Since and Until are Unix times in milliseconds.
	Since int64 `json:"since"`
	Until int64 `json:"until"`
}

// keepQuarantines writes the quarantines in force to the store whenever this host has found or
// lifted one, so that the fleet still knows them if all hosts restart at once.
func (g *Gateway) keepQuarantines(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.decisions.quarantinesChanged:
		}
		if !g.decisions.keepsQuarantines.Load() {
			continue
		}
		g.waitFor(ctx, rand.N(time.Duration(max(g.decisions.hostCount.Load(), 1))*quarantineSpread))
		for ctx.Err() == nil {
			err := g.saveQuarantines(ctx)
			if err == nil {
				break
			}
			g.trail.Failure("quarantinesNotSaved").Err(err).Merge("")
			g.waitFor(ctx, rosterRetryDelay)
		}
	}
}

// saveQuarantines replaces this host's record by the quarantines in force.
func (g *Gateway) saveQuarantines(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	now := time.Now()
	var saved []savedQuarantine
	g.inspect(func() {
		for _, q := range g.decisions.scheduler.Quarantines(g.timers.Now()) {
			saved = append(saved, newSavedQuarantine(now, q))
		}
	})
	// A key without a value is dropped.
	var value []byte
	if len(saved) > 0 {
		var err error
		if value, err = json.Marshal(saved); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(g.Roster.Put(ctx, rosterTopic, quarantineKeyPrefix+g.Settings.Name, value))
}

func newSavedQuarantine(now time.Time, q quarantine.Quarantine) savedQuarantine {
	saved := savedQuarantine{
		PromptParts: quarantine.FormatParts(q.Parts),
		Since:       now.Add(-q.Age).UnixMilli(),
		Until:       now.Add(q.Left).UnixMilli(),
	}
	if q.Request != 0 {
		saved.RequestHash = quarantine.FormatHash(q.Request)
	}
	return saved
}

// finding returns the quarantine as another host would report it.
func (s savedQuarantine) finding(now time.Time) (quarantine.Quarantine, error) {
	q := quarantine.Quarantine{
		Age:  max(now.Sub(time.UnixMilli(s.Since)), 0),
		Left: time.UnixMilli(s.Until).Sub(now),
	}
	for _, text := range s.PromptParts {
		part, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return q, trace.Wrap(err)
		}
		q.Parts = append(q.Parts, part)
	}
	if s.RequestHash == "" {
		return q, nil
	}
	var err error
	q.Request, err = strconv.ParseUint(s.RequestHash, 16, 64)
	return q, trace.Wrap(err)
}

// restoreQuarantines takes over the quarantines of a host's record. It reports false if the
// record is an entry of the roster.
func (g *Gateway) restoreQuarantines(record keyedlog.Record) bool {
	name, ok := strings.CutPrefix(record.Key, quarantineKeyPrefix)
	if !ok {
		return false
	}
	if name == g.Settings.Name {
		g.decisions.keepsQuarantines.Store(true)
	}
	var saved []savedQuarantine
	err := json.Unmarshal(record.Value, &saved)
	var findings []quarantine.Finding
	for _, s := range saved {
		q, parseErr := s.finding(time.Now())
		if parseErr != nil {
			err = parseErr
			continue
		}
		findings = append(findings, q)
	}
	if err != nil {
		g.trail.Failure("quarantinesUnreadable").Text("peer", name).Err(err).End()
	}
	if len(findings) > 0 {
		g.decisions.post(scheduling.FindingsRestored{Findings: findings})
	}
	return true
}
