// Package service speaks to plain services over HTTP.
//
// # Usage
//
//	client := service.New(pooled, fresh)
//	answer, err := client.Call(ctx, call)
//
// The protocol that a plain service offers:
//
//	POST   /v1/calls/{operation}   any JSON body -> any JSON body with a Content-Length
//	DELETE /v1/attempts/{id}       -> engine.CancelResponse
//	GET    /v1/load                -> engine.LoadReport
//
// The headers are those of package engine: each call carries an attempt id,
// which the answer echoes. HeaderKey carries the caller's idempotency key where
// there is one; services need not heed it.
package service

// HeaderIdempotencyKey carries the idempotency key to a service.
const HeaderIdempotencyKey = "Idempotency-Key"
