package experiment

import (
	"cactuswell/core/dispatch"
	"cactuswell/core/routing"
)

// Product returns the product's own dispatcher and router.
func Product() Policy {
	return ProductVariant(PolicyProduct, nil)
}

// ProductVariant returns the product with changed settings of its router, to weigh
// alternatives on the same runs.
func ProductVariant(name string, change func(*routing.Settings)) Policy {
	return Policy{
		Name: name,
		NewDispatcher: func(member DispatcherParams) dispatch.Dispatcher {
			return newProduct(member, change)
		},
	}
}

func newProduct(member DispatcherParams, change func(*routing.Settings)) dispatch.Dispatcher {
	settings := routing.DefaultSettings(member.Host, member.Zone)
	settings.InterZoneDelay = member.ZoneDelay
	if change != nil {
		change(&settings)
	}
	router := routing.New(settings, member.Random)
	*member.routers = append(*member.routers, router)
	pool := dispatch.Settings{
		Pool: member.Pool,
		Kind: member.Kind,
		Zone: member.Zone,
	}
	return dispatch.New(pool, router, member.Random)
}
