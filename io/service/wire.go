// Package service implements an HTTP client of plain services.
//
// # Usage
//
//	client := service.New(keepAlive, singleUse)
//	response, err := client.Call(ctx, call)
//
// The protocol of a plain service:
//
//	POST   /v1/calls/{operation}   any JSON body -> any JSON body with a Content-Length
//	DELETE /v1/attempts/{id}       -> engine.CancelResponse
//	GET    /v1/load                -> engine.LoadReport
//
// The headers are those of package engine: each request has an attempt id, which the
// response echoes. HeaderIdempotencyKey is the caller's idempotency key, if there is
// one. Services may ignore it.
package service

// HeaderIdempotencyKey is the header with the idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"
