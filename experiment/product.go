package experiment

import (
	"cactuswell/core/dispatch"
	"cactuswell/core/routing"
)

// Product returns the product's own dispatcher and router.
func Product() Policy {
	return ProductWith(PolicyProduct, nil)
}

// ProductWith returns the product with changed settings of its router, to weigh
// alternatives on the same runs.
func ProductWith(name string, change func(*routing.Settings)) Policy {
	return Policy{
		Name: name,
		New: func(member Member) dispatch.Dispatcher {
			return newProduct(member, change)
		},
	}
}

func newProduct(member Member, change func(*routing.Settings)) dispatch.Dispatcher {
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
