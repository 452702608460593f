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

// records is what the stand-ins have on record at one time.
type records struct {
	moves           int
	promptTokens    int64
	cachedTokens    int64
	generatedTokens int64
	overcommits     int
	busySeconds     float64
	executions      int
	mostPerBody     int
	missing         []string
}

// readRecords adds up the records of all engines and services. One that gives
// none is named, so that a measure which lacks it is not taken for whole.
func readRecords(ctx context.Context, w *Workload) records {
	var sum records
	for _, url := range w.Engines {
		var e standin.EngineRecords
		if err := fetchRecords(ctx, url, &e); err != nil {
			sum.missing = append(sum.missing, url)
			continue
		}
		sum.moves += e.Loads + e.Unloads
		sum.promptTokens += e.PromptTokens
		sum.cachedTokens += e.CachedTokens
		sum.generatedTokens += e.GeneratedTokens
		sum.overcommits += len(e.Overcommits)
		sum.busySeconds += e.BusySeconds
	}
	for _, url := range w.Services {
		var s standin.ServiceRecords
		if err := fetchRecords(ctx, url, &s); err != nil {
			sum.missing = append(sum.missing, url)
			continue
		}
		sum.executions += s.Executed
		sum.mostPerBody = max(sum.mostPerBody, s.MostPerBody)
	}
	return sum
}

func fetchRecords(ctx context.Context, url string, into any) error {
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
	return errors.WithStack(json.NewDecoder(response.Body).Decode(into))
}
