// Package weightstore speaks to the platform's store of model weights, whose
// rate is limited.
//
// # Usage
//
//	client := weightstore.New("http://127.0.0.1:7003", httpClient)
//	info, err := client.Describe(ctx, "drafting", "v2")
//
// The protocol:
//
//	GET  /v1/limits                      -> LimitsResponse
//	GET  /v1/weights/{model}/{version}   -> DescribeResponse
//	POST /v1/weights/{model}/{version}/reads -> 200, or 429 with Retry-After; used by engines
package weightstore

// LimitsResponse is the store's limit over all readers.
type LimitsResponse struct {
	BytesPerSecond int64 `json:"bytesPerSecond"`
}

// DescribeResponse describes the weights of one version.
type DescribeResponse struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}
