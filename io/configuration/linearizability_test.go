package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	core "cactuswell/core/configuration"
	standin "cactuswell/standin/logservice"
)

// changeInput and changeOutput are one change in a history.
type changeInput struct {
	base uint64
}

type changeOutput struct {
	accepted bool
	revision uint64
}

// revisionModel is a register that is written by compare and set.
func revisionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			current, in, out := state.(uint64), input.(changeInput), output.(changeOutput)
			if !out.accepted {
				return in.base != current, current
			}
			return in.base == current && out.revision > current, out.revision
		},
	}
}

// history collects the operations of several operators.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

// changer makes one change after another through one host.
type changer struct {
	t       *testing.T
	fleet   *fleet
	history *history
	number  int
	changes int
}

func (c *changer) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for i := range c.changes {
		_, base, _ := c.fleet.host(c.number % 3).Profile("briefing")
		called := time.Now()
		change := briefing(base, int64(c.number*1000+i+1))
		outcome, err := c.fleet.host(c.number%3).PublishChange(ctx, fmt.Sprintf("%d-%d", c.number, i), change)
		var conflict *core.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			c.t.Errorf("change %d of operator %d: %v", i, c.number, err)
			return
		}
		c.history.mu.Lock()
		c.history.operations = append(c.history.operations, porcupine.Operation{
			ClientId: c.number,
			Input:    changeInput{base: base},
			Call:     called.UnixNano(),
			Output:   changeOutput{accepted: err == nil, revision: outcome.Revision},
			Return:   time.Now().UnixNano(),
		})
		c.history.mu.Unlock()
		time.Sleep(time.Duration(1+(i*7+c.number*13)%40) * time.Millisecond)
	}
}

// TestChangesAreLinearizable checks the history of concurrent changes of one
// profile through three hosts, with answers lost and appends dropped.
func TestChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			store := newStore(seed)
			collected := &history{}
			runFleet(t, store, 3, func(t *testing.T, f *fleet) {
				time.Sleep(5 * time.Second)
				store.SetFaults(standin.Faults{
					LostAnswers:   0.3,
					FailedAppends: 0.2,
					DelayMs:       int64(5 * seed),
				})
				ctx, cancel := context.WithTimeout(f.ctx, time.Hour)
				defer cancel()
				var group sync.WaitGroup
				for number := range 5 {
					group.Add(1)
					c := &changer{
						t:       t,
						fleet:   f,
						history: collected,
						number:  number,
						changes: 30,
					}
					go c.run(ctx, &group)
				}
				group.Wait()
			})
			checkHistory(t, collected.operations)
		})
	}
}

func checkHistory(t *testing.T, operations []porcupine.Operation) {
	t.Helper()
	accepted := 0
	for _, operation := range operations {
		if operation.Output.(changeOutput).accepted {
			accepted++
		}
	}
	if accepted < 10 || accepted == len(operations) {
		t.Errorf("%d of %d changes were accepted; the history shows no races", accepted, len(operations))
	}
	if !porcupine.CheckOperations(revisionModel(), operations) {
		t.Error("history is not linearizable")
	}
}

// TestHistoryCheckerFindsTwoWinners makes sure that the checker can fail.
func TestHistoryCheckerFindsTwoWinners(t *testing.T) {
	operations := []porcupine.Operation{
		{ClientId: 0, Input: changeInput{}, Call: 0, Output: changeOutput{accepted: true, revision: 1}, Return: 10},
		{ClientId: 1, Input: changeInput{}, Call: 5, Output: changeOutput{accepted: true, revision: 2}, Return: 15},
	}
	if porcupine.CheckOperations(revisionModel(), operations) {
		t.Error("two changes from one base were taken for linearizable")
	}
}
