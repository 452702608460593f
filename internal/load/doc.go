// Package load drives chestnutarch with open-loop load and measures what its
// callers feel. Arrivals follow a schedule that is made before the run and
// never wait for answers; latency counts from the scheduled arrival. Each caller
// asks an entry VM which address to use and keeps the answer for its lifetime.
//
// The text of every answer is compared with the text that the stand-in engines
// generate for the prompt, so that a damaged or short answer never counts as
// whole. The report gives attainment per accelerator, the moves of models, the
// worst team's attainment and the requests that were refused inside the rate.
package load
