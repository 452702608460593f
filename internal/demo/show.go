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
	readyTimeout = 30 * time.Second
	readyPause   = 100 * time.Millisecond
)

const (
	chatBody   = `{"model":"writer-deeds","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Draft a deed of change of name."}]}`
	filingBody = `{"deed":"2026-118","name":"Ixchel"}`
)

// Show applies the document, waits until the system is ready, and prints one
// streamed answer, one action, and curl lines to go on with.
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
	address, err := s.address(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "the system says: use %s\n", address)
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
			answer, err := call(ctx, http.MethodGet, "http://"+loopback(port)+path, "", "")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if err := pause(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ErrNotReady, ctx.Err().Error())
	case <-time.After(readyPause):
		return nil
	}
}

func call(ctx context.Context, method, url, key, body string) (*http.Response, error) {
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

// address asks which entry VM to use. The VMs learn by heartbeat of each other
// that they are ready, so that the first answers may be empty.
func (s *System) address(ctx context.Context) (string, error) {
	for {
		addresses, err := askAddresses(ctx)
		if err != nil {
			return "", err
		}
		if len(addresses) > 0 {
			return addresses[0].URL, nil
		}
		if err := pause(ctx); err != nil {
			return "", err
		}
	}
}

func askAddresses(ctx context.Context) ([]caller.Address, error) {
	answer, err := call(ctx, http.MethodGet, "http://"+loopback(entryPorts[0])+"/v1/addresses", "", "")
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

// showStream prints a streamed answer. The model is loaded in the first
// seconds, so that a refusal as not run is tried again until it serves.
func (s *System) showStream(ctx context.Context, w io.Writer, address string) error {
	for {
		answer, err := call(ctx, http.MethodPost, address+"/v1/chat/completions", StudioKey, chatBody)
		if err != nil {
			return err
		}
		if answer.StatusCode == http.StatusOK {
			defer answer.Body.Close()
			return printStream(w, answer.Body)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusServiceUnavailable {
			return errors.Wrapf(ErrAnswer, "status %d", answer.StatusCode)
		}
		if err := pause(ctx); err != nil {
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
	return errors.Wrap(ErrAnswer, "the stream has no end")
}

func (s *System) showAction(ctx context.Context, w io.Writer, address string) error {
	answer, err := call(ctx, http.MethodPost, address+"/services/registry/filings", StudioKey, filingBody)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrAnswer, "status %d: %s", answer.StatusCode, body)
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
