package control

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// commands sends direct commands, a bounded number at a time.
type commands struct {
	*core
	taskTracker *taskTracker
	takeover    *takeover
	shards      *shards

	calls int // under way
	most  int
	next  time.Time // of the next look at what cannot wait
}

// urgentEvery spaces the looks at the machines that wait for a command: in a large
// fleet they are hundreds, and one after each message took a fifth of the leader's
// time.
const urgentEvery = 20 * time.Millisecond

// urgent sends what cannot wait for the next reports.
func (cm *commands) urgent(now time.Time) {
	if now.Before(cm.next) {
		return
	}
	cm.next = now.Add(urgentEvery)
	for _, h := range cm.fleet.AwaitingCommand() {
		if cm.reachable(h, now) && h.NeedsDirectCommand(now) {
			cm.call(h, now)
		}
	}
}

// fence calls the workers that have not shown this term yet, and those that do not
// seem to hear: an answer brings them back into use.
func (cm *commands) fence(now time.Time) {
	for _, h := range cm.fleet.All() {
		if (!h.Fenced || h.InboundCut() || h.CallUnanswered) && cm.reachable(h, now) {
			cm.call(h, now)
		}
	}
}

// reachable reports whether a direct command may be sent now.
func (cm *commands) reachable(h *fleet.Host, now time.Time) bool {
	if h.CallInFlight || h.Lost || h.Addr == "" || !h.Durable || now.Before(h.NextCallAt) {
		return false
	}
	relayed, may := cm.shards.takes(h)
	return may && (relayed || cm.calls < cm.most)
}

// call sends a direct command: it fences a worker after a takeover, and brings
// launches and halts without waiting for the next report.
func (cm *commands) call(h *fleet.Host, now time.Time) {
	session := max(1, h.Session)
	orders, sent, ev := cm.fleet.ComposeOrders(h, 0, h.Usable(), now, maxOrders)
	cm.takeover.launched(len(sent), now)
	cm.taskTracker.handle(ev, now)
	body, err := wire.Marshal(wire.Direct{Token: cm.term, Session: session, Orders: orders})
	if err != nil {
		cm.log.Error("orders do not encode", "error", err)
		return
	}
	h.CallInFlight = true
	if relayed, _ := cm.shards.takes(h); relayed {
		cm.shards.relay(h, body, sent, now)
		return
	}
	cm.calls++
	addr := h.Addr
	go func() {
		status, b, reached, err := Direct(cm.ctx, cm.c.direct, addr, body, func() bool { return cm.c.Entitled(cm.term) })
		cm.post(func() {
			cm.calls--
			cm.ended(h, status, b, reached, err, sent)
		})
	}()
}

// DirectClient returns the HTTP client for direct commands; it holds at most idle connections open between them.
func DirectClient(dial state.DialFunc, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, MaxIdleConns: idle,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
}

// errNotEntitled: the sender may not act for the leader any more.
var errNotEntitled = errors.New("not entitled")

// directTime bounds a direct command.
const directTime = 2500 * time.Millisecond

// Direct sends a direct command and returns the worker's answer; reached tells
// whether anything can have been sent. Whether the sender may is asked as late as
// possible.
func Direct(ctx context.Context, hc *http.Client, addr string, body []byte, may func() bool) (status int, answer []byte, reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, directTime)
	defer cancel()
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
	if err != nil {
		return 0, nil, false, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", wire.ContentType)
	if !may() {
		return 0, nil, false, errNotEntitled
	}
	res, err := hc.Do(req)
	if err != nil {
		return 0, nil, got.Load(), err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 4*wire.MaxBody))
	if err != nil {
		return 0, nil, true, err
	}
	return res.StatusCode, b, true, nil
}

const maxCallPause = 4 * time.Second

// ended takes in what became of a direct command, whoever sent it.
func (cm *commands) ended(h *fleet.Host, status int, answer []byte, reached bool, err error, sent []*fleet.Slot) {
	now := time.Now()
	h.CallInFlight = false
	if cm.fleet.Hosts[h.Name] != h {
		return
	}
	var rep *wire.Report
	if len(answer) > 0 {
		rep = &wire.Report{}
		if err := wire.Unmarshal(answer, rep); err != nil || rep.Session == 0 {
			rep = nil
		}
	}
	if !reached || (status != http.StatusOK && rep != nil) || status == http.StatusBadRequest {
		// Nothing was executed, and nothing will be.
		cm.taskTracker.handle(cm.fleet.RemoveNotDelivered(sent), now)
	}
	if rep == nil {
		cm.log.Debug("direct command failed", "host", h.Name, "status", status, "error", err)
		// Silent machines must not hold the few calls at a time that there are.
		h.NextCallAt = now.Add(min(maxCallPause, time.Second<<min(h.Failures, 8)))
		h.Failures++
		// A machine that hangs, or that nothing reaches, has much room and would be
		// chosen again and again.
		h.CallUnanswered = true
		cm.taskTracker.handle(cm.fleet.RemoveUnsent(h), now)
		return
	}
	h.Failures = 0
	if rep.Host != "" && rep.Host != h.Name {
		h.NextCallAt = now.Add(10 * time.Second)
		return
	}
	cm.taskTracker.observe(h, rep, false, now)
}
