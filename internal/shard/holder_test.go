package shard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// holderCase is a case of TestHolder. A line of do is a step; what it prints is
// compared with want.
type holderCase struct {
	name string
	do   func(h *Holder, say func(string, ...any))
	want string
}

// TestHolder: what a holder answers, and what it tells.
func TestHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := slices.Concat(holderRequestCases(), holderAnswerCases(), holderTermCases())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder("n1", "a", 1)
			h.Request(1, 1, false, now)
			h.HandleReply(&Reply{Term: 7, Number: 1, GrantMs: 2000, Add: []string{"m"}}, now)
			var said []string
			tt.do(h, func(f string, a ...any) { said = append(said, fmt.Sprintf(f, a...)) })
			if got := strings.Join(said, "; "); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// holderRequestCases: what a holder tells the leader, and how exits are cleared.
func holderRequestCases() []holderCase {
	now := time.Unix(1000, 0)
	body := []byte{1}
	rep := func(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "m", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
	}
	gone := wire.TaskStatus{Task: "run-1/0", Attempt: 3, Phase: wire.TaskExited, Cause: wire.CauseDone}
	return []holderCase{
		{"reports that say the same are told without their body", func(h *Holder, say func(string, ...any)) {
			h.HandleHeartbeat(rep(1), body, now)
			q := h.Request(1, 1, false, now.Add(time.Second))
			say("%d entries, body %d, age %d", len(q.Reports), len(q.Reports[0].Heartbeat), q.Reports[0].AgeMs)
			h.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000}, now)
			h.HandleHeartbeat(rep(2), body, now)
			q = h.Request(1, 1, false, now)
			say("%d entries, body %d", len(q.Reports), len(q.Reports[0].Heartbeat))
		}, "1 entries, body 1, age 1000; 1 entries, body 0"},
		{"what was in a request without an answer is told again", func(h *Holder, say func(string, ...any)) {
			h.HandleHeartbeat(rep(1, gone), body, now)
			h.RecordCallResult(CallResult{ID: 4})
			h.Request(1, 1, false, now)
			h.RecordCallResult(CallResult{ID: 5})
			h.RequestFailed()
			q := h.Request(1, 1, false, now)
			say("%d entries, body %d, %d done", len(q.Reports), len(q.Reports[0].Heartbeat), len(q.CallResults))
			h.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000}, now)
			q = h.Request(1, 1, false, now)
			say("%d entries, %d done", len(q.Reports), len(q.CallResults))
		}, "1 entries, body 1, 2 done; 0 entries, 0 done"},
		{"a request stays below what the leader takes; the rest comes next", func(h *Holder, say func(string, ...any)) {
			for i := range 100 {
				h.RecordCallResult(CallResult{ID: uint64(i), Heartbeat: make([]byte, 3<<10)})
			}
			for n := uint64(2); n < 7; n++ {
				size := 0
				q := h.Request(1, 1, false, now)
				for _, d := range q.CallResults {
					size += len(d.Heartbeat)
				}
				say("%d up to %v", len(q.CallResults), size <= maxCallResultBytes+3<<10)
				h.HandleReply(&Reply{Term: 7, Number: n, GrantMs: 2000}, now)
			}
		}, "21 up to true; 21 up to true; 21 up to true; 21 up to true; 16 up to true"},
		{"an exit is cleared once the leader has settled it, and a late word clears nothing", func(h *Holder, say func(string, ...any)) {
			o, _ := h.HandleHeartbeat(rep(1, gone), body, now)
			say("%d orders", len(o))
			settled := []ExitClearance{{Machine: "m", Commands: []wire.Command{{Verb: wire.CommandClear, Task: "run-1/0", Attempt: 3}}}}
			h.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000, Clearances: settled}, now)
			o, _ = h.HandleHeartbeat(rep(2, gone), body, now)
			say("%d orders", len(o))
			h.HandleHeartbeat(rep(3), body, now)
			h.HandleReply(&Reply{Term: 7, Number: 3, GrantMs: 2000, Clearances: settled}, now)
			o, _ = h.HandleHeartbeat(rep(4, gone), body, now) // the same attempt of a gang once more
			say("%d orders", len(o))
		}, "0 orders; 1 orders; 0 orders"},
	}
}

// holderAnswerCases: which reports a holder answers itself, and when it may not.
func holderAnswerCases() []holderCase {
	now := time.Unix(1000, 0)
	body := []byte{1}
	rep := func(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "m", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
	}
	gone := wire.TaskStatus{Task: "run-1/0", Attempt: 3, Phase: wire.TaskExited, Cause: wire.CauseDone}
	return []holderCase{
		{"a report with a task that the leader has not been told of has no other answer, one with an exit or another phase has", func(h *Holder, say func(string, ...any)) {
			runs := wire.TaskStatus{Task: "run-1/1", Attempt: 4, Phase: wire.TaskFetching}
			told := func(n uint64) {
				h.Request(1, 1, false, now)
				h.HandleReply(&Reply{Term: 7, Number: n, GrantMs: 2000}, now)
			}
			required := func(seq uint64, tasks ...wire.TaskStatus) {
				_, v := h.HandleHeartbeat(rep(seq, tasks...), body, now)
				say("%v", v == LeaderRequired)
			}
			required(1, gone)
			required(2, gone, runs)
			required(3, gone, runs) // the same once more, the leader's word has not come
			told(2)
			required(4, gone, runs)
			runs.Phase = wire.TaskRunning
			required(5, runs)
			runs.Attempt++
			required(6, runs)
		}, "false; true; true; false; false; true"},
		{"no answer without a valid grant, for a late report, or below the worker's token", func(h *Holder, say func(string, ...any)) {
			verdict := func(m *wire.Heartbeat, at time.Time) { _, v := h.HandleHeartbeat(m, body, at); say("%d", v) }
			verdict(rep(5), now)
			verdict(rep(4), now)
			verdict(rep(6), now.Add(2*time.Second))
			m := rep(7)
			m.Token = 8
			verdict(m, now)
			m.Machine = "other"
			verdict(m, now)
		}, "3; 1; 1; 1; 0"},
	}
}

// holderTermCases: machines taken away, and a new term.
func holderTermCases() []holderCase {
	now := time.Unix(1000, 0)
	body := []byte{1}
	rep := func(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "m", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
	}
	return []holderCase{
		{"a machine that was taken away is told of, then forgotten; one that comes back is told in full", func(h *Holder, say func(string, ...any)) {
			h.HandleHeartbeat(rep(1), body, now)
			h.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000, Drop: []string{"m"}}, now)
			_, v := h.HandleHeartbeat(rep(2), body, now)
			q := h.Request(1, 1, false, now)
			say("%d, %d entries", v, len(q.Reports))
			h.HandleReply(&Reply{Term: 7, Number: 3, GrantMs: 2000}, now)
			say("%d machines", len(h.machines))
			h.HandleReply(&Reply{Term: 7, Number: 4, GrantMs: 2000, Add: []string{"m"}}, now)
			h.HandleHeartbeat(rep(3), body, now)
			say("body %d", len(h.Request(1, 1, false, now).Reports[0].Heartbeat))
		}, "0, 1 entries; 0 machines; body 1"},
		{"a new term ends the grant, and is told what there was", func(h *Holder, say func(string, ...any)) {
			h.HandleHeartbeat(rep(1), body, now)
			h.EndTerm()
			say("%v, %v", h.GrantValid(7, now), h.Request(1, 1, false, now).PreviousMachines)
			h.HandleReply(&Reply{Term: 8, Number: 1, GrantMs: 2000, Add: []string{"m"}}, now)
			say("%v, %v", h.GrantValid(7, now), h.GrantValid(8, now))
		}, "false, [m]; false, true"},
	}
}
