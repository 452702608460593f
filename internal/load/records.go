package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/standin"
)

const recordsTimeout = 10 * time.Second

// records is the sum of the counters of all stand-ins at one time.
type records struct {
	moves                int
	promptTokens         int64
	cachedTokens         int64
	generatedTokens      int64
	overcommits          int
	busySeconds          float64
	executions           int
	maxExecutionsPerBody int
	missingURLs          []string
}

// readRecords sums the records of all engines and services. It lists the URLs of
// those that do not return records, so that an incomplete sum is not mistaken
// for a complete one.
func readRecords(ctx context.Context, w *Workload) records {
	var totals records
	for _, url := range w.Engines {
		var e standin.EngineRecords
		if err := fetchRecords(ctx, url, &e); err != nil {
			totals.missingURLs = append(totals.missingURLs, url)
			continue
		}
		totals.moves += e.Loads + e.Unloads
		totals.promptTokens += e.PromptTokens
		totals.cachedTokens += e.CachedTokens
		totals.generatedTokens += e.GeneratedTokens
		totals.overcommits += len(e.Overcommits)
		totals.busySeconds += e.BusySeconds
	}
	for _, url := range w.Services {
		var s standin.ServiceRecords
		if err := fetchRecords(ctx, url, &s); err != nil {
			totals.missingURLs = append(totals.missingURLs, url)
			continue
		}
		totals.executions += s.Executed
		totals.maxExecutionsPerBody = max(totals.maxExecutionsPerBody, s.MostPerBody)
	}
	return totals
}

func fetchRecords(ctx context.Context, url string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/standin/records", nil)
	if err != nil {
		return errors.WithStack(err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.WithStack(json.NewDecoder(response.Body).Decode(target))
}
