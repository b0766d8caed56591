package experiment

import (
	"cactuswell/core/dispatch"
	"cactuswell/core/routing"
)

// Product returns the policy under test: cactuswell's own dispatcher and router.
func Product() Policy {
	return ProductVariant(PolicyProduct, nil)
}

// ProductVariant returns the product's policy with router settings changed by modify, to
// compare settings in the same scenarios.
func ProductVariant(name string, modify func(*routing.Settings)) Policy {
	return Policy{
		Name: name,
		NewDispatcher: func(params DispatcherParams) dispatch.Dispatcher {
			return newProductDispatcher(params, modify)
		},
	}
}

func newProductDispatcher(params DispatcherParams, modify func(*routing.Settings)) dispatch.Dispatcher {
	settings := routing.DefaultSettings(params.Host, params.Zone)
	settings.InterZoneDelay = params.ZoneDelay
	if modify != nil {
		modify(&settings)
	}
	router := routing.New(settings, params.Random)
	*params.routers = append(*params.routers, router)
	dispatchSettings := dispatch.Settings{
		Pool: params.Pool,
		Kind: params.Kind,
		Zone: params.Zone,
	}
	return dispatch.New(dispatchSettings, router, params.Random)
}
