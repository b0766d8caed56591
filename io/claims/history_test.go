package claims

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"cactuswell/core/claim"
	standin "cactuswell/standin/logservice"
)

// historyInput is a call of a key, and historyOutput what its caller was told:
// the number of the call whose run is the answer, or none.
type historyInput struct {
	call int
	key  int
}

type historyOutput struct {
	runBy int
	known bool
}

// runOnceModel is a register for each key that is written by its first run and
// then read by every answer.
var runOnceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[int][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(historyInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		runBy, told := state.(int), output.(historyOutput)
		switch {
		case !told.known:
			return true, runBy
		case runBy == 0:
			return told.runBy == input.(historyInput).call, told.runBy
		default:
			return told.runBy == runBy, runBy
		}
	},
}

// TestConcurrentClaimsAreLinearizable lets callers race for few keys at several
// hosts while appends and their answers are lost.
func TestConcurrentClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := raceForKeys(t, seed)
				if !porcupine.CheckOperations(runOnceModel, history) {
					t.Error("the history is not linearizable")
				}
				if answers(history) == 0 {
					t.Error("no call was answered")
				}
			})
		})
	}
}

func raceForKeys(t *testing.T, seed uint64) []porcupine.Operation {
	fleet := newFleet(t)
	defer fleet.stop()
	fleet.store = standin.New(time.Now, seed)
	fleet.store.SetFaults(standin.Faults{
		DelayMs:       5,
		LostAnswers:   0.3,
		FailedAppends: 0.2,
	})
	random := rand.New(rand.NewPCG(seed, seed))
	var hosts []*testHost
	for i := range 4 {
		hosts = append(hosts, fleet.start(fmt.Sprintf("host-%d", i)))
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var callers sync.WaitGroup
	for call := 1; call <= 60; call++ {
		host, key := hosts[random.IntN(len(hosts))], random.IntN(6)
		after := time.Duration(random.IntN(4000)) * time.Millisecond
		callers.Go(func() {
			time.Sleep(after)
			began := time.Now().UnixNano()
			output := historyCall(host, call, key)
			mu.Lock()
			defer mu.Unlock()
			history = append(history, porcupine.Operation{
				ClientId: call,
				Input: historyInput{
					call: call,
					key:  key,
				},
				Call:   began,
				Output: output,
				Return: time.Now().UnixNano(),
			})
		})
	}
	callers.Wait()
	return history
}

func historyCall(host *testHost, call, key int) historyOutput {
	switch decision := host.begin(fmt.Sprintf("hold-%d", key), "a", 5*time.Second).(type) {
	case Run:
		if call%5 == 0 || decision.Ticket.MarkStarted() != nil {
			_ = decision.Ticket.Abandon()
			return historyOutput{}
		}
		time.Sleep(20 * time.Millisecond)
		_ = decision.Ticket.Finish(claim.Outcome{Status: call})
		return historyOutput{
			runBy: call,
			known: true,
		}
	case Replay:
		return historyOutput{
			runBy: decision.Outcome.Status,
			known: true,
		}
	default:
		return historyOutput{}
	}
}

func answers(history []porcupine.Operation) int {
	count := 0
	for _, operation := range history {
		if operation.Output.(historyOutput).known {
			count++
		}
	}
	return count
}
