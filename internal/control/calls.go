package control

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// commands sends direct commands, a bounded number at a time.
type commands struct {
	*core
	work     *work
	takeover *takeover

	calls int // under way
	most  int
}

// urgent sends what cannot wait for the next reports.
func (cm *commands) urgent(now time.Time) {
	for _, h := range cm.fleet.Awake() {
		if cm.reachable(h, now) && h.Urgent(now) {
			cm.call(h, now)
		}
	}
}

// fence calls the workers that have not shown this term yet.
func (cm *commands) fence(now time.Time) {
	for _, h := range cm.fleet.All() {
		if !h.Fenced && cm.reachable(h, now) {
			cm.call(h, now)
		}
	}
}

// reachable reports whether a direct command may be sent now.
func (cm *commands) reachable(h *fleet.Host, now time.Time) bool {
	return cm.calls < cm.most && !h.Calling && !h.Lost && h.Addr != "" && h.Durable && !now.Before(h.NextCall)
}

// call sends a direct command: it fences a worker after a takeover, and brings
// launches and halts without waiting for the next report.
func (cm *commands) call(h *fleet.Host, now time.Time) {
	session := max(1, h.Session)
	orders, sent, ev := cm.fleet.Compose(h, 0, h.Usable(), now, maxOrders)
	cm.takeover.launched(len(sent), now)
	cm.work.handle(ev, now)
	body, err := wire.Marshal(wire.Direct{Token: cm.term, Session: session, Orders: orders})
	if err != nil {
		cm.log.Error("orders do not encode", "error", err)
		return
	}
	h.Calling = true
	cm.calls++
	addr := h.Addr
	go func() {
		status, rep, reached, err := cm.do(addr, body)
		cm.post(func() { cm.called(h, status, rep, reached, err, sent) })
	}()
}

// do runs a direct command; reached tells whether anything can have been sent.
func (cm *commands) do(addr string, body []byte) (status int, rep *wire.Report, reached bool, err error) {
	ctx, cancel := context.WithTimeout(cm.ctx, 2500*time.Millisecond)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
	if err != nil {
		return 0, nil, false, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", wire.ContentType)
	if !cm.c.Entitled(cm.term) {
		return 0, nil, false, errors.New("not entitled")
	}
	res, err := cm.c.direct.Do(req)
	if err != nil {
		return 0, nil, reached, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 4*wire.MaxBody))
	if err != nil {
		return 0, nil, true, err
	}
	rep = &wire.Report{}
	if err := wire.Unmarshal(b, rep); err != nil || rep.Session == 0 {
		return res.StatusCode, nil, true, err
	}
	return res.StatusCode, rep, true, nil
}

const maxCallPause = 4 * time.Second

func (cm *commands) called(h *fleet.Host, status int, rep *wire.Report, reached bool, err error, sent []*fleet.Slot) {
	now := time.Now()
	h.Calling = false
	cm.calls--
	if cm.fleet.Hosts[h.Name] != h {
		return
	}
	if !reached || (status != http.StatusOK && rep != nil) || status == http.StatusBadRequest {
		// Nothing was executed, and nothing will be.
		cm.work.handle(cm.fleet.Unsent(sent), now)
	}
	if rep == nil {
		cm.log.Debug("direct command failed", "host", h.Name, "status", status, "error", err)
		// Silent machines must not hold the few calls at a time that there are.
		h.NextCall = now.Add(min(maxCallPause, time.Second<<min(h.Failures, 8)))
		h.Failures++
		return
	}
	h.Failures = 0
	if rep.Host != "" && rep.Host != h.Name {
		h.NextCall = now.Add(10 * time.Second)
		return
	}
	cm.work.observe(h, rep, false, now)
}
