// Package teamrate holds teams to their rates over all VMs together.
//
// Every VM keeps the same token bucket for each team and takes from it what it
// admits itself and what the others say they admitted. Reports come a few times a
// second, so all VMs together can admit too much only for as long as a report
// takes; the debt stays in the bucket and is paid back. A VM that is silent is
// taken to use its equal part, and a VM that hears nobody uses no more than that:
// a partition cannot make more of a rate.
//
// The load it answers: one team that sends several times its rate over all VMs at
// once, and callers that are spread unevenly, so that equal parts would refuse
// requests inside the rate.
package teamrate
