package cmd_test

import (
	"fmt"
	"net/http"
	"testing"

	"cactuswell/platform"
	"cactuswell/standin/keyedlog"
)

// TestHugeNumbersInConfiguration guards against calls that fail because a number of the configuration wraps in what is computed from it.
func TestHugeNumbersInConfiguration(t *testing.T) {
	for name, numbers := range map[string][3]string{
		"largest":  {"1e300", "9223372036854775807", "1e308"},
		"smallest": {"-1e300", "-9223372036854775808", "1e-308"},
		"zero":     {"0", "0", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			number, integer, weight := numbers[0], numbers[1], numbers[2]
			log := keyedlog.New()
			log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":1,
				"routes":[{"name":"hold","host":"firm.example","pathPrefix":"/hold/","kind":"unsafe","public":true,
					"timeoutMs":%[1]s,"targetLatencyMs":%[1]s,"targetGapMs":%[1]s,"priority":%[2]s,"maxAttempts":%[2]s,
					"split":[{"service":"s","weight":%[3]s},{"service":"s","weight":%[3]s}]},
				{"name":"draft","host":"firm.example","pathPrefix":"/draft/","kind":"streaming","resumable":true,"public":true,
					"timeoutMs":%[1]s,"targetLatencyMs":%[1]s,"targetGapMs":%[1]s,"priority":%[2]s,"maxAttempts":%[2]s,"service":"s"}],
				"services":[{"name":"s","engine":{"slots":%[2]s,"kvCapacity":%[2]s,"stride":%[2]s,"tokenKvBytes":%[1]s,"linkMbps":%[1]s}}],
				"limits":{"maxHeaderBytes":%[2]s,"maxBodyBytes":%[2]s}}`, number, integer, weight))
			startEndpoint(t, log, "i-0")
			g := startGateway(t, log)
			for i := range 5 {
				for _, path := range []string{"/hold/%d/x", "/draft/%d/stream"} {
					if status, err := post(g.callerAddress, fmt.Sprintf(path, i), 5000); err != nil || status != http.StatusOK {
						t.Errorf("%s: status %d, error %v", path, status, err)
					}
				}
			}
			stopProcess(t, g.process, g.exited)
		})
	}
}
