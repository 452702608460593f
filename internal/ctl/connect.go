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
		return nil, errors.Wrap(ErrUsage, "name the entry VMs with --server or "+envServers)
	}
	return o.clientsOf(servers, o.keyFile)
}

func (o *options) clientsOf(servers []string, keyFile string) ([]*operator.Client, error) {
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
		// A redirect would carry the operator's key to another address.
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
			return nil, errors.Wrapf(ErrFile, "%s holds no certificate", o.authority)
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

// ask returns the first answer that a VM gives. A VM that is down or cut off
// from what the call needs is passed over.
func ask[T any](ctx context.Context, o *options, call func(context.Context, *operator.Client) (T, error)) (T, error) {
	var zero T
	clients, err := o.clients()
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return askAny(ctx, clients, call)
}

// perCall bounds one VM's part of a command by half of the time that is left, so
// that one that is silent does not use up the time of all.
func perCall(ctx context.Context) (context.Context, context.CancelFunc) {
	left := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	return context.WithTimeout(ctx, left/2)
}

func askAny[T any](ctx context.Context, clients []*operator.Client, call func(context.Context, *operator.Client) (T, error)) (T, error) {
	var answer T
	var err error
	for _, c := range clients {
		one, cancel := perCall(ctx)
		answer, err = call(one, c)
		cancel()
		if err == nil || !errors.Is(err, operator.ErrUnreachable) && !errors.Is(err, operator.ErrUnavailable) {
			return answer, err
		}
	}
	return answer, err
}
