package assign

import "time"

// announcementWindow is how long an announcement counts: until reports carry what is left of its request.
const announcementWindow = 500 * time.Millisecond

// announced is the backlog of prefill work at an engine, made of the requests that VMs have announced as they sent them, this VM's
// own included. Reports name what was not begun when they were made; a prompt is read by the time that a report has passed through
// two hubs.
type announced struct {
	tokens int
	at     time.Time
	// recent holds what was announced since recentSince, before what was in the window before that. The backlog is not larger
	// than both: requests that fail, and a speed that is underestimated, must not add up.
	recent, before int
	recentSince    time.Time
}

// add adds the tokens of a request that was sent at a time.
func (a *announced) add(tokens int, at time.Time, perToken time.Duration) {
	if at.Before(a.at) {
		at = a.at
	}
	a.tokens, a.at = a.backlog(at, perToken)+tokens, at
	switch age := at.Sub(a.recentSince); {
	case age > 2*announcementWindow:
		a.before, a.recent, a.recentSince = 0, 0, at
	case age > announcementWindow:
		a.before, a.recent, a.recentSince = a.recent, 0, at
	}
	a.recent += tokens
}

// backlog returns the tokens that are not prefilled yet.
func (a *announced) backlog(now time.Time, perToken time.Duration) int {
	age := now.Sub(a.at)
	if a.tokens == 0 || perToken <= 0 || age > announcementWindow {
		return 0
	}
	return max(0, min(a.tokens, a.recent+a.before)-int(age/perToken))
}

// unreportedPrefill returns the announced tokens beyond those that are known otherwise. They only rank engines; no request is
// rejected because of them.
func (n *node) unreportedPrefill(known int, perToken time.Duration, now time.Time) int {
	return max(0, n.announced.backlog(now, perToken)-known)
}

// Dispatch is a request that a VM has sent to an engine.
type Dispatch struct {
	Instance string
	Model    string
	// Tokens is the number of prompt tokens that the engine has to prefill.
	Tokens int
	At     time.Time
}

// MinAnnouncedTokens is the number of tokens to prefill from which a request is announced. Others hardly delay the next one.
const MinAnnouncedTokens = 1000

// OnDispatch sets the function that is called for every request with MinAnnouncedTokens or more that is sent to an engine. It must
// not block.
func (s *Assigner) OnDispatch(f func(Dispatch)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDispatch = f
}

// RecordDispatch records a request that another VM has sent to an engine.
func (s *Assigner) RecordDispatch(d Dispatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[d.Instance]; n != nil && s.costs != nil {
		s.announce(n, d)
	}
}

// announce adds a request to the announced backlog of an engine.
func (s *Assigner) announce(n *node, d Dispatch) {
	n.announced.add(d.Tokens, d.At, s.speedOf(d.Model).prefillPerToken)
}

// recordOwnDispatch announces a choice of this VM if it is large enough.
func (s *Assigner) recordOwnDispatch(c *Choice, now time.Time) {
	if s.costs == nil || s.onDispatch == nil || c.Uncached < MinAnnouncedTokens {
		return
	}
	d := Dispatch{Instance: c.Instance, Model: c.request.Model, Tokens: c.Uncached, At: now}
	s.announce(c.node, d)
	s.onDispatch(d)
}
