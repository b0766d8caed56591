package gateway

import (
	"context"
	"reflect"
	"time"

	"cactuswell/core/scheduling"
	"cactuswell/settings"
)

// reloadEvery is the time between two reads of the settings, which may change
// without a signal.
const reloadEvery = time.Second

// SettingsLoader reads the settings anew.
type SettingsLoader func() (settings.Gateway, error)

// reload puts changed settings in force, when a signal says so and once in a
// while besides. Calls that are open keep what they began with.
func (g *Gateway) reload(ctx context.Context) error {
	tick := g.timers.Every(reloadEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.ReloadRequests:
			g.trail.Notice("reloadAsked").End()
			g.reloadOnce()
		case <-tick.C():
			g.reloadOnce()
		}
	}
}

func (g *Gateway) reloadOnce() {
	fresh, err := g.LoadSettings()
	if err == nil {
		err = fresh.Check()
	}
	if err != nil {
		if text := err.Error(); text != g.reloadFault {
			g.reloadFault = text
			g.trail.Failure("reloadRefused").Err(err).End()
		}
		return
	}
	g.reloadFault = ""
	before := *g.current.Load()
	if reflect.DeepEqual(fresh, before) {
		return
	}
	g.current.Store(&fresh)
	g.decided.post(scheduling.BudgetChanged{
		Window: fresh.BudgetWindow,
		Ratio:  fresh.BudgetRatio,
		Slack:  fresh.BudgetSlack,
	})
	if g.mesh != nil {
		for _, address := range fresh.Peers {
			g.mesh.AddHost(address, "")
		}
	}
	g.trail.Notice("reloaded").Bool("restartNeeded", needsRestart(before, fresh)).
		Float("budgetRatio", fresh.BudgetRatio).Float("budgetSlack", fresh.BudgetSlack).
		Millis("budgetWindow", fresh.BudgetWindow).Millis("balancerLag", fresh.BalancerLag).
		Millis("stopTimeout", fresh.StopTimeout).End()
}

// needsRestart reports whether settings changed that only hold from a start on.
func needsRestart(before, after settings.Gateway) bool {
	after.BudgetWindow = before.BudgetWindow
	after.BudgetRatio = before.BudgetRatio
	after.BudgetSlack = before.BudgetSlack
	after.BalancerLag = before.BalancerLag
	after.StopTimeout = before.StopTimeout
	after.Peers = before.Peers
	return !reflect.DeepEqual(before, after)
}
