package keyedlog

import (
	"context"
	"errors"
	"sync"
	"time"

	product "cactuswell/io/keyedlog"
)

// Fault is a fault that is injected into the calls of one client. It is implemented only
// by the types in this file.
type Fault interface {
	isFault()
}

// Refusal makes calls fail immediately without effect.
type Refusal struct{}

// Hang makes calls hang until their context ends, without effect.
type Hang struct{}

// SlowAnswer delays calls.
type SlowAnswer struct {
	Delay time.Duration
}

// LostAnswer makes writes take effect but return an error.
type LostAnswer struct{}

// LateWrite makes writes return an error immediately and take effect after a delay.
type LateWrite struct {
	Delay time.Duration
}

// HeldPoll keeps reads that wait for records open for their whole wait, although records
// were appended meanwhile.
type HeldPoll struct{}

// EndlessListing makes listings go on without end: with the same page again and again, or,
// if Advances is set, with further keys.
type EndlessListing struct {
	Advances bool
}

// StaleListing makes listings show a topic without its last records.
type StaleListing struct {
	Missing int
}

// StaleReads makes listings show a topic without its last records, and reads after them find none.
type StaleReads struct {
	Missing int
}

// RefusedTopic makes the calls for one topic fail immediately without effect.
type RefusedTopic struct {
	Topic string
}

// endlessPageBytes is the size of a page of an EndlessListing.
const endlessPageBytes = 1 << 20

func (Refusal) isFault()    {}
func (Hang) isFault()       {}
func (SlowAnswer) isFault() {}
func (LostAnswer) isFault() {}
func (LateWrite) isFault()  {}
func (HeldPoll) isFault()   {}

func (EndlessListing) isFault() {}
func (StaleListing) isFault()   {}
func (StaleReads) isFault()     {}
func (RefusedTopic) isFault()   {}

// Client is a client of a log, with its own fault. It is safe for concurrent use.
type Client struct {
	log   *Log
	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes, so that waiting reads
	// apply the new fault.
	changed chan struct{}
}

var _ product.Log = (*Client)(nil)

// NewClient returns a new client without a fault.
func (l *Log) NewClient() *Client {
	return &Client{
		log:     l,
		changed: make(chan struct{}),
	}
}

// SetFault sets the fault of the client's later calls and of reads in progress. Nil
// removes the fault.
func (c *Client) SetFault(fault Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) currentFault() (Fault, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault, c.changed
}

// applyFault applies the fault to a call before it is executed.
func (c *Client) applyFault(ctx context.Context, topic string) error {
	fault, _ := c.currentFault()
	switch fault := fault.(type) {
	case Refusal:
		return ErrDown
	case RefusedTopic:
		if topic == fault.Topic {
			return ErrDown
		}
	case Hang:
		<-ctx.Done()
		return ctx.Err()
	case SlowAnswer:
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fault.Delay):
		}
	}
	return nil
}

// ListNewest implements Log of the product.
func (c *Client) ListNewest(ctx context.Context, topic, after string) (product.Listing, error) {
	if err := c.applyFault(ctx, topic); err != nil {
		return product.Listing{}, err
	}
	fault, _ := c.currentFault()
	switch fault := fault.(type) {
	case EndlessListing:
		return fault.page(after), nil
	case StaleListing:
		return c.log.listNewest(ctx, topic, after, fault.Missing)
	case StaleReads:
		return c.log.listNewest(ctx, topic, after, fault.Missing)
	}
	return c.log.ListNewest(ctx, topic, after)
}

// page returns the page after a key.
func (f EndlessListing) page(after string) product.Listing {
	key := "a"
	if f.Advances {
		key = after + "a"
	}
	return product.Listing{
		Records: []product.Record{{
			Key:   key,
			Value: make([]byte, endlessPageBytes),
		}},
		NextAfter: key,
		More:      true,
		EndOffset: 1,
	}
}

// Read implements Log of the product. A fault that is set while it waits applies to it.
func (c *Client) Read(ctx context.Context, topic string, from int64, wait time.Duration) (product.Batch, error) {
	if err := c.applyFault(ctx, topic); err != nil {
		return product.Batch{}, err
	}
	fault, _ := c.currentFault()
	if fault == (HeldPoll{}) && wait > 0 {
		return c.readAfter(ctx, topic, from, wait)
	}
	if _, isStale := fault.(StaleReads); isStale {
		select {
		case <-ctx.Done():
			return product.Batch{}, ctx.Err()
		case <-time.After(wait):
			return product.Batch{End: from}, nil
		}
	}
	_, changed := c.currentFault()
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		batch product.Batch
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		batch, err := c.log.Read(readCtx, topic, from, wait)
		answers <- answer{
			batch: batch,
			err:   err,
		}
	}()
	select {
	case received := <-answers:
		return received.batch, received.err
	case <-changed:
		if err := c.applyFault(ctx, topic); err != nil {
			return product.Batch{}, err
		}
		received := <-answers
		return received.batch, received.err
	}
}

// readAfter reads at the end of the wait.
func (c *Client) readAfter(ctx context.Context, topic string, from int64, wait time.Duration) (product.Batch, error) {
	select {
	case <-ctx.Done():
		return product.Batch{}, ctx.Err()
	case <-time.After(wait):
		return c.log.Read(ctx, topic, from, 0)
	}
}

// Put sets a key. Hosts write with it.
func (c *Client) Put(ctx context.Context, topic, key string, value []byte) error {
	if err := c.applyFault(ctx, topic); err != nil {
		return err
	}
	fault, _ := c.currentFault()
	switch fault := fault.(type) {
	case LostAnswer:
		c.log.Append(topic, key, value)
		return ErrDown
	case LateWrite:
		time.AfterFunc(fault.Delay, func() { c.log.Append(topic, key, value) })
		return ErrDown
	}
	return c.log.Put(ctx, topic, key, value)
}

// PutAll sets keys. Hosts write with it.
func (c *Client) PutAll(ctx context.Context, topic string, records []product.Record) error {
	if err := c.applyFault(ctx, topic); err != nil {
		return err
	}
	fault, _ := c.currentFault()
	switch fault := fault.(type) {
	case LostAnswer:
		return errors.Join(c.log.PutAll(ctx, topic, records), ErrDown)
	case LateWrite:
		time.AfterFunc(fault.Delay, func() { _ = c.log.PutAll(context.Background(), topic, records) })
		return ErrDown
	}
	return c.log.PutAll(ctx, topic, records)
}

// AppendAt adds records if the topic ends at the given offset. Hosts write with it.
func (c *Client) AppendAt(ctx context.Context, topic string, at int64, records []product.Record) (product.Appended, error) {
	if err := c.applyFault(ctx, topic); err != nil {
		return product.Appended{}, err
	}
	fault, _ := c.currentFault()
	switch fault := fault.(type) {
	case LostAnswer:
		// The caller learns neither of success nor of a rejection.
		_, _ = c.log.AppendAt(ctx, topic, at, records)
		return product.Appended{}, ErrDown
	case LateWrite:
		time.AfterFunc(fault.Delay, func() { _, _ = c.log.AppendAt(context.Background(), topic, at, records) })
		return product.Appended{}, ErrDown
	}
	return c.log.AppendAt(ctx, topic, at, records)
}
