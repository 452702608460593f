package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// clients returns one client for each VM.
func (o *options) clients() ([]*operator.Client, error) {
	servers := o.servers
	if len(servers) == 0 && os.Getenv(envServers) != "" {
		servers = strings.Split(os.Getenv(envServers), ",")
	}
	if len(servers) == 0 {
		return nil, errors.Wrap(ErrUsage, "no entry VMs given: use --server or "+envServers)
	}
	return o.newClients(servers, o.keyFile)
}

func (o *options) newClients(servers []string, keyFile string) ([]*operator.Client, error) {
	key, err := operatorKey(keyFile)
	if err != nil {
		return nil, err
	}
	config, err := o.tls()
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Transport: &http.Transport{TLSClientConfig: config},
		// Following a redirect would send the operator's key to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	list := make([]*operator.Client, 0, len(servers))
	for _, server := range servers {
		list = append(list, &operator.Client{Server: strings.TrimRight(server, "/"), Key: key, HTTP: client})
	}
	return list, nil
}

func operatorKey(file string) (string, error) {
	if file == "" {
		return os.Getenv(envKey), nil
	}
	data, err := readFile(file)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(data)), nil
}

func (o *options) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if o.authority != "" {
		data, err := readFile(o.authority)
		if err != nil {
			return nil, err
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return nil, errors.Wrapf(ErrFile, "%s contains no PEM certificate", o.authority)
		}
	}
	if o.certificate != "" {
		pair, err := tls.LoadX509KeyPair(o.certificate, o.certKey)
		if err != nil {
			return nil, errors.Wrap(ErrFile, err.Error())
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// callAnyServer calls the VMs that the flags name, one after another, and
// returns the first answer. VMs that are unreachable, or that cannot reach what
// the call needs, are skipped.
func callAnyServer[T any](ctx context.Context, o *options, call func(context.Context, *operator.Client) (T, error)) (T, error) {
	var zero T
	clients, err := o.clients()
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return callAny(ctx, clients, call)
}

// callContext bounds one call by half of the time that is left of the command,
// so that a VM that does not answer cannot use up the time of the others.
func callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	left := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	return context.WithTimeout(ctx, left/2)
}

// callAny is callAnyServer with given clients and the deadline of ctx.
func callAny[T any](ctx context.Context, clients []*operator.Client, call func(context.Context, *operator.Client) (T, error)) (T, error) {
	var answer T
	var err error
	for _, c := range clients {
		callCtx, cancel := callContext(ctx)
		answer, err = call(callCtx, c)
		cancel()
		if err == nil || !errors.Is(err, operator.ErrUnreachable) && !errors.Is(err, operator.ErrUnavailable) {
			return answer, err
		}
	}
	return answer, err
}
