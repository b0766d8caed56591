package placement

import (
	"context"
	"errors"

	"cactuswell/core/lease"
	"cactuswell/core/placement"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

// readLimit bounds the lease records of one read.
const readLimit = 1000

// keepLease reads the stream of leases, claims or renews the lease, and reports
// whether this host has it. It does nothing without a wanted document.
func (p *Placement) keepLease(ctx context.Context) bool {
	wanted, err := p.wanted()
	if err != nil || len(wanted.Models) == 0 {
		return false
	}
	p.prepareMachine()
	if p.readLeases(ctx) && p.claim(ctx) {
		p.readLeases(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Valid(p.instant())
}

// claim appends the claim that is due and reports whether there was one.
func (p *Placement) claim(ctx context.Context) bool {
	p.mu.Lock()
	now := p.instant()
	claim, id, ok := p.machine.Next(now)
	p.mu.Unlock()
	if !ok {
		return false
	}
	data, err := claim.Encode(id, now.Wall)
	if err != nil {
		p.logFailure("leaseEncode", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, p.dependencies.Settings.CallTimeout)
	defer cancel()
	if _, err := p.dependencies.Log.Append(ctx, record.StreamLeases, [][]byte{data}); err != nil {
		// Whether the claim was accepted is read from the log.
		p.logFailure("leaseAppend", err)
	}
	return true
}

func (p *Placement) prepareMachine() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.machine != nil {
		return
	}
	settings := p.dependencies.Settings.Lease
	p.machine = lease.New(settings, leaseName, p.dependencies.Host, p.dependencies.Incarnation, p.instant())
	p.orders = placement.NewOrders(p.machine, settings)
}

// readLeases reads up to the end of the stream and reports whether it got there.
func (p *Placement) readLeases(ctx context.Context) bool {
	for {
		more, err := p.readPage(ctx)
		if err != nil {
			p.logFailure("leaseRead", err)
			return false
		}
		if !more {
			return true
		}
	}
}

func (p *Placement) readPage(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dependencies.Settings.CallTimeout)
	defer cancel()
	p.mu.Lock()
	from := p.machine.Offset()
	p.mu.Unlock()
	page, err := p.dependencies.Log.Read(ctx, record.StreamLeases, from, logservice.ReadOptions{
		Limit: readLimit,
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	var truncated *logservice.TruncatedError
	if errors.As(err, &truncated) {
		p.machine.Skip(truncated.Oldest)
		return true, nil
	}
	if err != nil {
		return false, err
	}
	now := p.instant()
	for _, stored := range page.Records {
		if err := p.machine.Apply(stored.Offset, stored.Data, now); err != nil {
			p.logFailure("leaseRecord", err)
		}
	}
	return p.machine.Offset() < page.NextOffset && len(page.Records) > 0, nil
}
