package experiment

import (
	"cactuswell/core/dispatch"
	"cactuswell/core/routing"
)

// Product returns the policy that uses the product's dispatcher and router.
func Product() Policy {
	return ProductWith(PolicyProduct, nil)
}

// ProductWith returns the product's policy with router settings changed by modify, to
// compare alternatives on the same runs.
func ProductWith(name string, modify func(*routing.Settings)) Policy {
	return Policy{
		Name: name,
		New: func(member Member) dispatch.Dispatcher {
			return newProductDispatcher(member, modify)
		},
	}
}

func newProductDispatcher(member Member, modify func(*routing.Settings)) dispatch.Dispatcher {
	settings := routing.DefaultSettings(member.Host, member.Zone)
	settings.ZoneDelay = member.ZoneDelay
	if modify != nil {
		modify(&settings)
	}
	router := routing.New(settings, member.Random)
	*member.routers = append(*member.routers, router)
	dispatchSettings := dispatch.Settings{
		Pool: member.Pool,
		Kind: member.Kind,
		Zone: member.Zone,
	}
	return dispatch.New(dispatchSettings, router, member.Random)
}
