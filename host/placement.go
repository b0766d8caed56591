package host

import (
	"net/http"

	"github.com/go-kit/log"

	"cactuswell/core/profile"
	"cactuswell/io/placement"
	"cactuswell/io/weightstore"
)

// newPlacement returns the duty that places the models. A host that takes no
// part still answers what is wanted and what would be done.
func (h *Host) newPlacement() *placement.Placement {
	var store weightstore.Store
	if h.settings.WeightStoreURL != "" {
		store = weightstore.New(h.settings.WeightStoreURL, &http.Client{
			Transport: newTransport(false, h.certificates),
		})
	}
	return placement.New(placement.Dependencies{
		Host:          h.settings.Name,
		Incarnation:   h.incarnation,
		Log:           h.newLog(),
		Configuration: h.configuration,
		Engines:       h.clients.watching,
		Endpoints:     h.placedEndpoints,
		Store:         store,
		Timers:        h.timers,
		Logger:        log.With(h.logger, "duty", "placement"),
		Settings:      placement.DefaultSettings(),
	})
}

// placedEndpoints returns the model engines that the host knows.
func (h *Host) placedEndpoints() []placement.Endpoint {
	var endpoints []placement.Endpoint
	for _, entry := range h.directory.list() {
		if entry.descriptor.Kind != profile.KindModel {
			continue
		}
		endpoints = append(endpoints, placement.Endpoint{
			Descriptor: entry.descriptor,
			BaseURL:    h.baseURL(entry.descriptor.Address),
			Leaving:    entry.leaving,
		})
	}
	return endpoints
}
