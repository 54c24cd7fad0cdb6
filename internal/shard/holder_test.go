package shard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// holderCase is a case of TestHolder. do records its observations, which the test joins and
// compares with want.
type holderCase struct {
	name string
	do   func(holder *Holder, record func(string, ...any))
	want string
}

// TestHolder checks which heartbeats a holder answers and what it reports to the leader.
func TestHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := slices.Concat(holderRequestCases(), holderTokenCases(), holderAnswerCases(), holderTermCases())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			holder := NewHolder("n1", "a", 1)
			holder.Request(1, 1, false, now)
			holder.HandleReply(&Reply{Term: 7, Number: 1, GrantMs: 2000, Add: []string{"m"}}, now)
			var observations []string
			tt.do(holder, func(format string, args ...any) { observations = append(observations, fmt.Sprintf(format, args...)) })
			if got := strings.Join(observations, "; "); got != tt.want {
				t.Errorf("recorded %q, want %q", got, tt.want)
			}
		})
	}
}

// holderRequestCases are the cases about a holder's requests to the leader and about the
// clearing of exited tasks.
func holderRequestCases() []holderCase {
	now := time.Unix(1000, 0)
	body := []byte{1}
	heartbeat := func(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "m", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
	}
	exited := wire.TaskStatus{Task: "run-1/0", Attempt: 3, Phase: wire.TaskExited, Cause: wire.CauseDone}
	return []holderCase{
		{"a report of an unchanged heartbeat has no encoded heartbeat", func(holder *Holder, record func(string, ...any)) {
			holder.HandleHeartbeat(heartbeat(1), body, now)
			request := holder.Request(1, 1, false, now.Add(time.Second))
			record("%d reports, %d heartbeat bytes, age %d ms", len(request.Reports), len(request.Reports[0].Heartbeat), request.Reports[0].AgeMs)
			holder.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000}, now)
			holder.HandleHeartbeat(heartbeat(2), body, now)
			request = holder.Request(1, 1, false, now)
			record("%d reports, %d heartbeat bytes", len(request.Reports), len(request.Reports[0].Heartbeat))
		}, "1 reports, 1 heartbeat bytes, age 1000 ms; 1 reports, 0 heartbeat bytes"},
		{"the request after a failed one repeats its reports and call results", func(holder *Holder, record func(string, ...any)) {
			holder.HandleHeartbeat(heartbeat(1, exited), body, now)
			holder.RecordCallResult(CallResult{ID: 4})
			holder.Request(1, 1, false, now)
			holder.RecordCallResult(CallResult{ID: 5})
			holder.RequestFailed()
			request := holder.Request(1, 1, false, now)
			record("%d reports, %d heartbeat bytes, %d call results", len(request.Reports), len(request.Reports[0].Heartbeat), len(request.CallResults))
			holder.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000}, now)
			request = holder.Request(1, 1, false, now)
			record("%d reports, %d call results", len(request.Reports), len(request.CallResults))
		}, "1 reports, 1 heartbeat bytes, 2 call results; 0 reports, 0 call results"},
		{"call results beyond the size limit of a request are sent with the next requests", func(holder *Holder, record func(string, ...any)) {
			for i := range 100 {
				holder.RecordCallResult(CallResult{ID: uint64(i), Heartbeat: make([]byte, 3<<10)})
			}
			for number := uint64(2); number < 7; number++ {
				size := 0
				request := holder.Request(1, 1, false, now)
				for _, result := range request.CallResults {
					size += len(result.Heartbeat)
				}
				record("%d results, size within the limit %v", len(request.CallResults), size <= maxCallResultBytes+3<<10)
				holder.HandleReply(&Reply{Term: 7, Number: number, GrantMs: 2000}, now)
			}
		}, "21 results, size within the limit true; 21 results, size within the limit true; 21 results, size within the limit true; 21 results, size within the limit true; 16 results, size within the limit true"},
		{"an exited task is cleared after the leader's clearance, and a late clearance clears nothing", func(holder *Holder, record func(string, ...any)) {
			answer, _ := holder.HandleHeartbeat(heartbeat(1, exited), body, now)
			record("%d commands", len(answer.Commands))
			settled := []ExitClearance{{Machine: "m", Commands: []wire.Command{{Verb: wire.CommandClear, Task: "run-1/0", Attempt: 3}}}}
			holder.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000, Clearances: settled}, now)
			answer, _ = holder.HandleHeartbeat(heartbeat(2, exited), body, now)
			record("%d commands", len(answer.Commands))
			holder.HandleHeartbeat(heartbeat(3), body, now)
			holder.HandleReply(&Reply{Term: 7, Number: 3, GrantMs: 2000, Clearances: settled}, now)
			answer, _ = holder.HandleHeartbeat(heartbeat(4, exited), body, now) // the same attempt of a gang has exited again
			record("%d commands", len(answer.Commands))
		}, "0 commands; 1 commands; 0 commands"},
	}
}

// holderTokenCases are the cases about the fencing tokens of a holder's answers.
func holderTokenCases() []holderCase {
	const term, firstToken, clearToken, workerToken = 100, 90, 92, 95
	now := time.Unix(1000, 0)
	exited := wire.TaskStatus{Task: "run-1/0", Attempt: 3, Phase: wire.TaskExited, Cause: wire.CauseDone}
	return []holderCase{
		{"answers have the highest token that the leader, the clearance and the worker require", func(holder *Holder, record func(string, ...any)) {
			token := uint64(7)
			answerTo := func(seq uint64) wire.HeartbeatResponse {
				heartbeat := &wire.Heartbeat{Machine: "m", Session: 1, Seq: seq, Token: token, Tasks: []wire.TaskStatus{exited}}
				answer, _ := holder.HandleHeartbeat(heartbeat, []byte{1}, now)
				return answer
			}
			answer := answerTo(1)
			record("token %d of an earlier build's term", answer.Token)
			holder.HandleReply(&Reply{Term: term, Number: 1, FirstToken: firstToken, GrantMs: 2000, Add: []string{"m"}}, now)
			answer = answerTo(2)
			record("%d", answer.Token)
			clearance := ExitClearance{Machine: "m", Token: clearToken, Commands: []wire.Command{{Verb: wire.CommandClear, Task: "run-1/0", Attempt: 3}}}
			holder.HandleReply(&Reply{Term: term, Number: 2, FirstToken: firstToken, GrantMs: 2000, Clearances: []ExitClearance{clearance}}, now)
			answer = answerTo(3)
			record("%d with %d commands", answer.Token, len(answer.Commands))
			token = workerToken
			answer = answerTo(4)
			record("%d", answer.Token)
		}, "token 7 of an earlier build's term; 90; 92 with 1 commands; 95"},
	}
}

// holderAnswerCases are the cases about the heartbeats that a holder may answer itself.
func holderAnswerCases() []holderCase {
	now := time.Unix(1000, 0)
	body := []byte{1}
	heartbeat := func(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "m", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
	}
	exited := wire.TaskStatus{Task: "run-1/0", Attempt: 3, Phase: wire.TaskExited, Cause: wire.CauseDone}
	return []holderCase{
		{"only the leader answers a heartbeat with an unacknowledged task; an exited task or a new phase does not require it", func(holder *Holder, record func(string, ...any)) {
			active := wire.TaskStatus{Task: "run-1/1", Attempt: 4, Phase: wire.TaskFetching}
			acknowledge := func(number uint64) {
				holder.Request(1, 1, false, now)
				holder.HandleReply(&Reply{Term: 7, Number: number, GrantMs: 2000}, now)
			}
			recordLeaderRequired := func(seq uint64, tasks ...wire.TaskStatus) {
				_, outcome := holder.HandleHeartbeat(heartbeat(seq, tasks...), body, now)
				record("%v", outcome == LeaderRequired)
			}
			recordLeaderRequired(1, exited)
			recordLeaderRequired(2, exited, active)
			recordLeaderRequired(3, exited, active) // the leader has not acknowledged the same tasks yet
			acknowledge(2)
			recordLeaderRequired(4, exited, active)
			active.Phase = wire.TaskRunning
			recordLeaderRequired(5, active)
			active.Attempt++
			recordLeaderRequired(6, active)
		}, "false; true; true; false; false; true"},
		{"no answer after the grant has ended, to a delayed heartbeat, with a term below the worker's token, or for a machine of another shard", func(holder *Holder, record func(string, ...any)) {
			recordOutcome := func(received *wire.Heartbeat, at time.Time) {
				_, outcome := holder.HandleHeartbeat(received, body, at)
				record("%d", outcome)
			}
			recordOutcome(heartbeat(5), now)
			recordOutcome(heartbeat(4), now)
			recordOutcome(heartbeat(6), now.Add(2*time.Second))
			last := heartbeat(7)
			last.Token = 8
			recordOutcome(last, now)
			last.Machine = "other"
			recordOutcome(last, now)
		}, "3; 1; 1; 1; 0"},
	}
}

// holderTermCases are the cases about dropped machines and about a new term.
func holderTermCases() []holderCase {
	now := time.Unix(1000, 0)
	body := []byte{1}
	heartbeat := func(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "m", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
	}
	return []holderCase{
		{"a dropped machine is removed after its last report; the first report of a machine that is added again has the encoded heartbeat", func(holder *Holder, record func(string, ...any)) {
			holder.HandleHeartbeat(heartbeat(1), body, now)
			holder.HandleReply(&Reply{Term: 7, Number: 2, GrantMs: 2000, Drop: []string{"m"}}, now)
			_, outcome := holder.HandleHeartbeat(heartbeat(2), body, now)
			request := holder.Request(1, 1, false, now)
			record("outcome %d, %d reports", outcome, len(request.Reports))
			holder.HandleReply(&Reply{Term: 7, Number: 3, GrantMs: 2000}, now)
			record("%d machines", len(holder.machines))
			holder.HandleReply(&Reply{Term: 7, Number: 4, GrantMs: 2000, Add: []string{"m"}}, now)
			holder.HandleHeartbeat(heartbeat(3), body, now)
			record("%d heartbeat bytes", len(holder.Request(1, 1, false, now).Reports[0].Heartbeat))
		}, "outcome 0, 1 reports; 0 machines; 1 heartbeat bytes"},
		{"the end of a term ends its grant, and the next request names the machines that were held", func(holder *Holder, record func(string, ...any)) {
			holder.HandleHeartbeat(heartbeat(1), body, now)
			holder.EndTerm()
			record("%v, %v", holder.GrantValid(7, now), holder.Request(1, 1, false, now).PreviousMachines)
			holder.HandleReply(&Reply{Term: 8, Number: 1, GrantMs: 2000, Add: []string{"m"}}, now)
			record("%v, %v", holder.GrantValid(7, now), holder.GrantValid(8, now))
		}, "false, [m]; false, true"},
	}
}
