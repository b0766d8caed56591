package keyedlog

import (
	"context"
	"sync"
	"time"

	product "cactuswell/io/keyedlog"
)

// Fault is what befalls one caller's calls. The types of this file are all there are.
type Fault interface {
	isFault()
}

// Refusal calls are turned away and do nothing.
type Refusal struct{}

// Hang calls get no answer until their caller gives up, and do nothing.
type Hang struct{}

// SlowAnswer calls are answered that much later.
type SlowAnswer struct {
	Delay time.Duration
}

// LostAnswer does what is to be written, and does not tell so.
type LostAnswer struct{}

// LateWrite does what is to be written that much later, after its caller was told
// that the call failed.
type LateWrite struct {
	Delay time.Duration
}

func (Refusal) isFault()    {}
func (Hang) isFault()       {}
func (SlowAnswer) isFault() {}
func (LostAnswer) isFault() {}
func (LateWrite) isFault()  {}

// Client is a log as one caller sees it, with faults of its own. It is safe for
// concurrent use.
type Client struct {
	log   *Log
	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes, which ends the calls
	// that wait.
	changed chan struct{}
}

var _ product.Log = (*Client)(nil)

// NewClient returns the log as another caller sees it.
func (l *Log) NewClient() *Client {
	return &Client{
		log:     l,
		changed: make(chan struct{}),
	}
}

// SetFault lets a fault befall the caller's calls from now on, those under way
// included; nil ends it.
func (c *Client) SetFault(fault Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) state() (Fault, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault, c.changed
}

// enter lets the fault befall a call before it is carried out.
func (c *Client) enter(ctx context.Context) error {
	fault, _ := c.state()
	switch fault := fault.(type) {
	case Refusal:
		return ErrDown
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

// ListNewest implements the product's Log.
func (c *Client) ListNewest(ctx context.Context, topic, after string) (product.Listing, error) {
	if err := c.enter(ctx); err != nil {
		return product.Listing{}, err
	}
	return c.log.ListNewest(ctx, topic, after)
}

// Read implements the product's Log. A fault that begins meanwhile befalls it too.
func (c *Client) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]product.Record, error) {
	if err := c.enter(ctx); err != nil {
		return nil, err
	}
	_, changed := c.state()
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		records []product.Record
		err     error
	}
	answers := make(chan answer, 1)
	go func() {
		records, err := c.log.Read(limited, topic, from, wait)
		answers <- answer{
			records: records,
			err:     err,
		}
	}()
	select {
	case got := <-answers:
		return got.records, got.err
	case <-changed:
		if err := c.enter(ctx); err != nil {
			return nil, err
		}
		got := <-answers
		return got.records, got.err
	}
}

// Put sets a key, as hosts do.
func (c *Client) Put(ctx context.Context, topic, key string, value []byte) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	fault, _ := c.state()
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
