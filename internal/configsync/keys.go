package configsync

import "fmt"

// HistorySlots is the number of accepted envelopes that the history retains. A
// slot is overwritten after that many versions, so that the history of years does
// not fill the service.
const HistorySlots = 256

// Key returns the key of an environment's accepted configuration.
func Key(environment string) string {
	return fmt.Sprintf("/chestnut/%s/config", environment)
}

// HistoryKey returns the key under which an accepted envelope is retained until
// the version that is HistorySlots later overwrites it.
func HistoryKey(environment string, version int64) string {
	return fmt.Sprintf("/chestnut/%s/history/%d", environment, version%HistorySlots)
}
