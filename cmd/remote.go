package cmd

import (
	"context"
	"crypto/tls"
	"net/http"
	"os/user"
	"time"

	"github.com/go-kit/log"

	"cactuswell/certificate"
	"cactuswell/io/operator"
	"cactuswell/timer"
)

// remote is how a command reaches a running host as an operator.
type remote struct {
	Operator string        `long:"operator" env:"CACTUSWELL_OPERATOR" description:"IP:port of a host's operator listener" default:"127.0.0.1:8082"`
	Timeout  time.Duration `long:"timeout" env:"CACTUSWELL_TIMEOUT" description:"longest time for the command" default:"30s"`
	TLSCert  string        `long:"tls-cert" env:"CACTUSWELL_TLS_CERT" description:"file with the operator's certificate chain, PEM"`
	TLSKey   string        `long:"tls-key" env:"CACTUSWELL_TLS_KEY" description:"file with the certificate's key, PEM"`
	TLSCA    string        `long:"tls-ca" env:"CACTUSWELL_TLS_CA" description:"file with the certificates that hosts must be signed by, PEM"`

	console *console
}

// client returns a client of the host's operator listener. The error is a
// *certificate.LoadError.
func (r *remote) client() (*operator.Client, error) {
	if r.TLSCert == "" {
		return operator.NewClient("http://"+r.Operator, &http.Client{}), nil
	}
	config, err := r.tlsConfig()
	if err != nil {
		return nil, err
	}
	return operator.NewClient("https://"+r.Operator, &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: config,
		},
	}), nil
}

func (r *remote) tlsConfig() (*tls.Config, error) {
	store, err := certificate.New(certificate.Files{
		Cert: r.TLSCert,
		Key:  r.TLSKey,
		CA:   r.TLSCA,
	}, timer.New(), log.NewNopLogger())
	if err != nil {
		return nil, err
	}
	return store.MutualTLSConfig(), nil
}

// context returns a context with the command's time limit.
func (r *remote) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), r.Timeout)
}

// author names who makes a change.
type author struct {
	Author string `long:"author" env:"CACTUSWELL_AUTHOR" description:"who makes the change; the user's name by default"`
}

func (a *author) name() string {
	if a.Author != "" {
		return a.Author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}
