package gateway

import (
	"context"
	"reflect"
	"time"

	"cactuswell/core/scheduling"
	"cactuswell/settings"
)

// reloadInterval is the time between two reads of the settings, which may change
// without a signal.
const reloadInterval = time.Second

// SettingsLoader reads the current settings.
type SettingsLoader func() (settings.Gateway, error)

// reloadSettings applies changed settings on request and once per reloadInterval.
// Open calls keep the settings that they started with.
func (g *Gateway) reloadSettings(ctx context.Context) error {
	tick := g.timers.Every(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.ReloadRequests:
			g.trail.Notice("reloadAsked").End()
			g.reloadSettingsOnce()
		case <-tick.C():
			g.reloadSettingsOnce()
		}
	}
}

func (g *Gateway) reloadSettingsOnce() {
	after, err := g.LoadSettings()
	if err == nil {
		err = after.Check()
	}
	if err != nil {
		if text := err.Error(); text != g.lastReloadError {
			g.lastReloadError = text
			g.trail.Failure("reloadRefused").Err(err).End()
		}
		return
	}
	g.lastReloadError = ""
	before := *g.currentSettings.Load()
	if reflect.DeepEqual(after, before) {
		return
	}
	g.currentSettings.Store(&after)
	g.decisions.post(scheduling.BudgetChanged{
		Window: after.BudgetWindow,
		Ratio:  after.BudgetRatio,
		Slack:  after.BudgetSlack,
	})
	if g.mesh != nil {
		for _, address := range after.Peers {
			g.mesh.AddHost(address, "", 0)
		}
	}
	g.trail.Notice("reloaded").Bool("restartNeeded", needsRestart(before, after)).
		Float("budgetRatio", after.BudgetRatio).Float("budgetSlack", after.BudgetSlack).
		Millis("budgetWindow", after.BudgetWindow).Millis("balancerLag", after.BalancerLag).
		Millis("stopTimeout", after.StopTimeout).End()
}

// needsRestart reports whether any setting changed that takes effect only at a
// restart.
func needsRestart(before, after settings.Gateway) bool {
	after.BudgetWindow = before.BudgetWindow
	after.BudgetRatio = before.BudgetRatio
	after.BudgetSlack = before.BudgetSlack
	after.BalancerLag = before.BalancerLag
	after.StopTimeout = before.StopTimeout
	after.Peers = before.Peers
	return !reflect.DeepEqual(before, after)
}
