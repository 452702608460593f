package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/caller"
)

const (
	readyTimeout  = 30 * time.Second
	retryInterval = 100 * time.Millisecond
)

const (
	chatBody   = `{"model":"writer-deeds","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Draft a deed of change of name."}]}`
	filingBody = `{"deed":"2026-118","name":"Ixchel"}`
)

// Show applies the environment document, waits until the system is ready, and
// prints one streamed answer, the answer to one action, and example curl
// commands. It gives up after 30 s.
func (s *System) Show(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.awaitReady(ctx, "/healthz"); err != nil {
		return err
	}
	if err := s.Apply(ctx); err != nil {
		return err
	}
	fmt.Fprintln(w, "environment document accepted")
	if err := s.awaitReady(ctx, "/readyz"); err != nil {
		return err
	}
	address, err := s.awaitAddress(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "address to use: %s\n", address)
	if err := s.showStream(ctx, w, address); err != nil {
		return err
	}
	if err := s.showAction(ctx, w, address); err != nil {
		return err
	}
	printCurl(w, address)
	return nil
}

func (s *System) awaitReady(ctx context.Context, path string) error {
	for _, port := range entryPorts {
		for {
			answer, err := sendRequest(ctx, http.MethodGet, "http://"+loopback(port)+path, "", "")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if err := waitToRetry(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

func waitToRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ErrNotReady, ctx.Err().Error())
	case <-time.After(retryInterval):
		return nil
	}
}

func sendRequest(ctx context.Context, method, url, key, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	return answer, errors.WithStack(err)
}

// awaitAddress returns the URL of the entry VM to use. The VMs exchange their
// readiness by heartbeats, so the first answers may be empty.
func (s *System) awaitAddress(ctx context.Context) (string, error) {
	for {
		addresses, err := fetchAddresses(ctx)
		if err != nil {
			return "", err
		}
		if len(addresses) > 0 {
			return addresses[0].URL, nil
		}
		if err := waitToRetry(ctx); err != nil {
			return "", err
		}
	}
}

func fetchAddresses(ctx context.Context) ([]caller.Address, error) {
	answer, err := sendRequest(ctx, http.MethodGet, "http://"+loopback(entryPorts[0])+"/v1/addresses", "", "")
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var body struct {
		Addresses []caller.Address `json:"addresses"`
	}
	err = json.NewDecoder(answer.Body).Decode(&body)
	return body.Addresses, errors.WithStack(err)
}

// showStream prints a streamed answer. The model is loaded during the first
// seconds, so the request is retried while it is refused as not run, with
// status 503.
func (s *System) showStream(ctx context.Context, w io.Writer, address string) error {
	for {
		answer, err := sendRequest(ctx, http.MethodPost, address+"/v1/chat/completions", StudioKey, chatBody)
		if err != nil {
			return err
		}
		if answer.StatusCode == http.StatusOK {
			defer answer.Body.Close()
			return printStream(w, answer.Body)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusServiceUnavailable {
			return errors.Wrapf(ErrUnexpectedAnswer, "chat completion: status %d, want 200", answer.StatusCode)
		}
		if err := waitToRetry(ctx); err != nil {
			return err
		}
	}
}

func printStream(w io.Writer, body io.Reader) error {
	fmt.Fprintln(w, "\none streamed answer:")
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if lines.Text() != "" {
			fmt.Fprintln(w, "  "+lines.Text())
		}
		if lines.Text() == "data: [DONE]" {
			return nil
		}
	}
	return errors.Wrap(ErrUnexpectedAnswer, "chat completion: stream ended without [DONE]")
}

func (s *System) showAction(ctx context.Context, w io.Writer, address string) error {
	answer, err := sendRequest(ctx, http.MethodPost, address+"/services/registry/filings", StudioKey, filingBody)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrUnexpectedAnswer, "action: status %d, want 200: %s", answer.StatusCode, body)
	}
	fmt.Fprintf(w, "\none action, answered with status %d:\n  %s\n", answer.StatusCode, strings.TrimSpace(string(body)))
	return nil
}

func printCurl(w io.Writer, address string) {
	fmt.Fprintf(w, `
try it:
  # which entry VM to use
  curl -s %[1]s/v1/addresses
  # a stream
  curl -sN %[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '%[3]s'
  # an action
  curl -s %[1]s/services/registry/filings -H 'Authorization: Bearer %[2]s' -d '%[4]s'
  # a wrong key: 401
  curl -si %[1]s/v1/models -H 'Authorization: Bearer nobody'
  # over the rate: 429, not run, with Retry-After
  curl -si %[1]s/v1/completions -H 'Authorization: Bearer %[5]s' -d '{"model":"helper","max_tokens":30,"prompt":"hi"}' \
       --next -si %[1]s/v1/completions -H 'Authorization: Bearer %[5]s' -d '{"model":"helper","max_tokens":30,"prompt":"hi"}'
  # an unknown model: 404
  curl -si %[1]s/v1/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"nothing","prompt":"hi"}'
  # a malformed body: 400
  curl -si %[1]s/v1/completions -H 'Authorization: Bearer %[2]s' -d '{'
  # what operators see
  CHESTNUT_OPERATOR_KEY=%[7]s go run ./cmd/chestnutctl --server http://127.0.0.1:%[6]d status
`, address, StudioKey, chatBody, filingBody, VisitorKey, entryPorts[0]+1, OperatorKey)
}
