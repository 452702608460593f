// Package load generates open-loop load on chestnutarch and measures the
// latencies and outcomes that callers observe. Arrivals follow a schedule that
// is computed before the run and never wait for answers; latency counts from the
// scheduled arrival. Each caller queries an entry VM for the address to use and
// caches the answer for its lifetime.
//
// The text of every answer is compared with the text that the stand-in engines
// generate for the prompt, so that a damaged or short answer never counts as
// whole. The report gives attainment per accelerator, model loads and unloads,
// the worst team's attainment and the requests that were refused inside the
// rate.
package load
