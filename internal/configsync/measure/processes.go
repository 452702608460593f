package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// inForcePollInterval is the time between two queries of the version in force at
// one VM.
const inForcePollInterval = time.Millisecond

// processes are running entry VMs, accessed through the operators' API.
type processes struct {
	clients  []*operator.Client
	changes  int
	interval time.Duration
}

func newProcesses(servers string, o options) *processes {
	p := &processes{changes: o.changes, interval: o.interval}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for server := range strings.SplitSeq(servers, ",") {
		p.clients = append(p.clients, &operator.Client{Server: server, Key: os.Getenv("CHESTNUT_OPERATOR_KEY"), HTTP: client})
	}
	return p
}

// run makes changes through the VMs in turn, as operators do, and measures the time
// until each change is in force at every VM.
func (p *processes) run(ctx context.Context) error {
	config, err := p.clients[0].Config(ctx)
	if err != nil {
		return err
	}
	base := config.Document
	version := config.Version
	withdrawals, documents := newHistogram(), newHistogram()
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for i := range p.changes {
		target := p.clients[i%len(p.clients)]
		start := time.Now()
		histogram := documents
		if i%2 == 0 {
			version, err = p.apply(ctx, target, version, fmt.Sprintf("%s# change %d\n", base, i))
		} else {
			histogram = withdrawals
			version, err = p.withdraw(ctx, target)
		}
		if err != nil {
			return err
		}
		if err := p.wait(ctx, version); err != nil {
			return err
		}
		if err := histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
			return errors.Wrap(err, "histogram")
		}
		<-ticker.C
	}
	fmt.Printf("%d processes, document %d bytes\n", len(p.clients), len(base))
	printRow("withdrawal in force everywhere", withdrawals)
	printRow("document in force everywhere", documents)
	return nil
}

func (p *processes) apply(ctx context.Context, c *operator.Client, version int64, text string) (int64, error) {
	answer, err := c.Apply(ctx, &operator.ApplyRequest{
		ChangeRequest: operator.ChangeRequest{ChangeID: uuid.NewString(), Nonce: uuid.NewString(), BaseVersion: version},
		Document:      text,
	})
	if err != nil {
		return 0, err
	}
	return answer.Version, nil
}

func (p *processes) withdraw(ctx context.Context, c *operator.Client) (int64, error) {
	digest := configstate.DigestKey(uuid.NewString())
	answer, err := c.Withdraw(ctx, &operator.WithdrawRequest{ChangeID: uuid.NewString(), Digests: []string{digest}})
	if err != nil {
		return 0, err
	}
	if !answer.Durable {
		return 0, errors.Wrap(ErrNotInForce, answer.Reason)
	}
	return answer.Version, nil
}

// wait returns when every VM reports the version as in force, or ErrNotInForce after
// changeTimeout.
func (p *processes) wait(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, c := range p.clients {
		group.Go(func() error {
			for {
				in, err := c.InForce(ctx)
				if err == nil && in.Version >= version {
					return nil
				}
				if ctx.Err() != nil {
					return errors.Wrap(ErrNotInForce, c.Server)
				}
				time.Sleep(inForcePollInterval)
			}
		})
	}
	return group.Wait()
}
