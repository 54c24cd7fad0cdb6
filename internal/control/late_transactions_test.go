package control

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// TestLateResults checks that results are kept when an earlier write of results is not
// answered and is applied after a newer one. The next leader must read all of them as
// well.
func TestLateResults(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []commitOutcome // of the first writes of results
	}{
		{"first write applied after a newer one", []commitOutcome{appliedAfterNewer}},
		{"second write applied after a newer one", []commitOutcome{applied, appliedAfterNewer}},
		{"second and third write applied after newer ones", []commitOutcome{applied, appliedAfterNewer, appliedAfterNewer}},
		{"second write applied but not answered", []commitOutcome{applied, appliedUnanswered}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newFakeStateService(t)
				service.put(job.ActivePrefix+"run-4", &job.Record{Spec: job.Spec{ID: "run-4", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 5, CPUs: 1}})
				leader := startLeader(t, service, 7)
				service.setOutcomes(job.DonePrefix[:1], tt.outcomes...)
				for i := range 4 {
					leader.reportTasks("host-1", uint64(1+i), wire.TaskStatus{Task: fmt.Sprintf("run-4/%d", i), Attempt: 1, Phase: wire.TaskExited, Cause: wire.CauseDone})
					time.Sleep(2 * time.Second)
				}
				time.Sleep(20 * time.Second)
				if _, left := service.outcomeCounts(); left > 0 {
					t.Errorf("%d outcomes unused: too few writes of results", left)
				}
				leader.stop()
				nextLeader := startLeader(t, service, 8)
				var got wire.JobStatus
				if response := nextLeader.request(rpc.KindStatus, "run-4", nil); wire.Unmarshal(response.Body, &got) != nil || got.Done != 4 {
					t.Errorf("done tasks at the next leader: got %d, want 4", got.Done)
				}
			})
		})
	}
}

// TestLateRecords checks operations on roll-outs and the calendar whose transactions are
// not answered, and are applied at once or after newer ones. The state last reported to
// the operator must stay in effect, even at the next leader.
func TestLateRecords(t *testing.T) {
	for _, record := range lateRecordCases {
		for name, outcomes := range map[string][]commitOutcome{"first transaction applied but not answered": {appliedUnanswered}, "first transaction applied late": {appliedLate},
			"first transaction applied after newer ones": {appliedAfterNewer}, "first two transactions applied after newer ones": {appliedAfterNewer, appliedAfterNewer},
			"second transaction applied but not answered": {applied, appliedUnanswered}, "second transaction applied after newer ones": {applied, appliedAfterNewer}} {
			t.Run(record.name+", "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkLateRecord(t, record, outcomes) })
			})
		}
	}
}

// lateOp is an operation of TestLateRecords. spec, if set, is encoded as the spec of the
// operation.
type lateOp struct {
	rpc.Operation
	spec map[string]any
}

// simulatedTime returns the given hour of a day of the test's simulated time as text; day
// 0 is 2000-01-01.
func simulatedTime(day, hour int) string {
	return time.Date(2000, 1, 1+day, hour, 0, 0, 0, time.UTC).Format(time.RFC3339)
}

// namedOp returns an operation on x, which is a service with a roll-out, a reservation
// or, if window is set, a maintenance window.
func namedOp(verb rpc.Verb, window bool) lateOp {
	return lateOp{rpc.Operation{Verb: verb, Name: "x", Window: window}, nil}
}

// lateRecordCase is a case of TestLateRecords.
type lateRecordCase struct {
	name   string
	kind   rpc.RequestKind
	prefix string
	ops    []lateOp
	want   string // part of the status after the last operation; empty if the entry must not exist
}

// lateRecordCases are the cases of TestLateRecords.
var lateRecordCases = []lateRecordCase{
	{"start of a roll-out", rpc.KindRollout, "r", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"service": "x", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "n"}}}}, "run-2"},
	{"start and pause of a roll-out", rpc.KindRollout, "r", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"service": "x", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "n"}}},
		namedOp(rpc.VerbPause, false)}, "paused"},
	{"start of a reservation", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"name": "x", "team": "red", "parts": 1, "cpus": 1.0, "mem_gb": 1.0, "start": simulatedTime(2, 1), "end": simulatedTime(2, 2)}}}, "booked"},
	{"start and cancellation of a reservation", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"name": "x", "team": "red", "parts": 1, "cpus": 1.0, "mem_gb": 1.0, "start": simulatedTime(2, 1), "end": simulatedTime(2, 2)}},
		namedOp(rpc.VerbCancel, false)}, ""},
	{"start of a maintenance window", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart, Window: true}, map[string]any{"name": "x", "yard": "a", "start": simulatedTime(3, 1), "end": simulatedTime(3, 2), "force": true}}}, "2000-01-04"},
	{"start and cancellation of a maintenance window", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart, Window: true}, map[string]any{"name": "x", "yard": "a", "start": simulatedTime(3, 1), "end": simulatedTime(3, 2), "force": true}},
		namedOp(rpc.VerbCancel, true)}, ""},
}

// checkLateRecord executes the operations of record while its transactions have the given
// outcomes, and checks the status that this leader and the next one report.
func checkLateRecord(t *testing.T, record lateRecordCase, outcomes []commitOutcome) {
	service := newFakeStateService(t)
	service.put(job.ActivePrefix+"run-1", &job.Record{Spec: job.Spec{ID: "run-1", Team: "red", ShapeName: "daemon", PriorityName: "idle", Tasks: 1, CPUs: 1, Image: "o"}})
	enable := func(tuning *config.Tuning) { tuning.Rollouts.Enabled, tuning.Calendar.Enabled = true, true }
	leader := startLeaderWith(t, service, 7, enable)
	service.setOutcomes(record.prefix, outcomes...)
	for _, op := range record.ops {
		if response := requestUntilAnswered(t, leader, record.kind, op); response.Status/100 != 2 {
			t.Fatalf("operation %s: got status %d %q, want success", op.Verb, response.Status, response.Body)
		}
	}
	if _, left := service.outcomeCounts(); left == len(outcomes) {
		t.Error("no outcome was used: no transaction wrote the record")
	}
	statusOp := namedOp(rpc.VerbStatus, strings.Contains(record.name, "window"))
	checkStatus := func(leader *testLeader, who string) {
		response := requestUntilAnswered(t, leader, record.kind, statusOp)
		if (record.want == "") != (response.Status == http.StatusNotFound) || !strings.Contains(string(response.Body), record.want) {
			t.Errorf("status at %s: got %d %q, want %q", who, response.Status, response.Body, record.want)
		}
	}
	checkStatus(leader, "the leader")
	time.Sleep(20 * time.Second)
	checkStatus(leader, "the leader 20 s later")
	leader.stop()
	checkStatus(startLeaderWith(t, service, 8, enable), "the next leader")
}

// requestUntilAnswered sends an operation, and repeats it while the reply is a server
// error, at most 30 times at intervals of one second.
func requestUntilAnswered(t *testing.T, leader *testLeader, kind rpc.RequestKind, op lateOp) *rpc.Reply {
	if op.spec != nil {
		body, err := wire.Marshal(op.spec)
		if err != nil {
			t.Fatal(err)
		}
		op.Spec = body
	}
	body, err := wire.Marshal(op.Operation)
	if err != nil {
		t.Fatal(err)
	}
	response := leader.request(kind, "", body)
	for range 30 {
		if response.Status < 500 {
			break
		}
		time.Sleep(time.Second)
		response = leader.request(kind, "", body)
	}
	return response
}
