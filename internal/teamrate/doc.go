// Package teamrate limits teams to their rates over all VMs together.
//
// Every VM keeps the same token bucket for each team and takes from it what it admits
// itself and what the other VMs report to have admitted. Reports come a few times a second,
// so all VMs together can admit too much only for as long as a report takes; the debt stays
// in the bucket and is paid back. A VM that does not report is assumed to use its equal
// part, or as much as this VM admits if that is more, until a report says what it has used.
// A partition cannot multiply a rate.
//
// The package is built for one team that sends several times its rate through all VMs at
// once, and for callers that are spread unevenly, so that fixed equal parts would refuse
// requests within the rate.
package teamrate
