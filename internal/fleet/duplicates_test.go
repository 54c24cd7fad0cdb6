package fleet

import "vetchstream/internal/wire"

// Cases of TestLedger about late copies of direct launches.

// ledgerTokenTests returns tests of point 11: the tokens of the messages that clear exits.
func ledgerTokenTests() []ledgerTest {
	exitedTask := map[uint64]wire.TaskPhase{1: wire.TaskExited}
	launch := func(f *ledgerFixture, reportSeq uint64) {
		f.observe(true, 1, 1, testToken, nil)
		f.assign(1)
		f.checkCommands(f.compose(reportSeq, true), "launch 1;")
	}
	exit := func(f *ledgerFixture) {
		for _, event := range f.observe(true, 1, 2, testToken, exitedTask).Events {
			event.Slot.Settled = true
		}
	}
	return []ledgerTest{
		{"11: a late copy of a direct launch is fenced off before the exit is cleared", func(f *ledgerFixture) {
			launch(f, 0)
			exit(f)
			f.checkToken(testToken)
			f.checkCommands(f.compose(2, true), "clear 1;")
			f.checkToken(testToken + 1)
			f.checkCommands(f.compose(2, true), "clear 1;") // the answer was lost
			f.checkToken(testToken + 1)
		}},
		{"11: a holder clears the exit of a direct launch with a higher token", func(f *ledgerFixture) {
			launch(f, 0)
			exit(f)
			f.checkCommands(f.machine.ClearCommands(f.now, 100), "clear 1;")
			f.checkToken(testToken + 1)
		}},
		{"11: the exit of a launch in an answer is cleared with the same token", func(f *ledgerFixture) {
			launch(f, 1)
			exit(f)
			f.checkCommands(f.compose(2, true), "clear 1;")
			f.checkToken(testToken)
		}},
		{"11: a clear that would fence off a direct command in flight waits, but not without end", func(f *ledgerFixture) {
			launch(f, 0)
			f.machine.CallInFlight = true
			exit(f)
			f.checkCommands(f.compose(2, true), "")
			f.now = f.now.Add(maxClearDelay)
			f.checkCommands(f.compose(2, true), "clear 1;")
		}},
		{"11: a machine with the last token of the term gets launches in answers only", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.checkCommands(f.compose(0, true), "")
			if f.machine.NeedsDirectCommand(f.now) {
				f.t.Error("NeedsDirectCommand is true although a direct command may not carry the launch")
			}
			f.checkCommands(f.compose(1, true), "launch 1;")
			f.observe(true, 1, 2, testTerm, nil)
			exit(f)
			f.checkToken(testTerm)
		}},
	}
}

// ledgerRestartTests returns tests of point 10: tasks that a newer message shows as running
// after they had ended.
func ledgerRestartTests() []ledgerTest {
	running, exited := map[uint64]wire.TaskPhase{1: wire.TaskRunning}, map[uint64]wire.TaskPhase{1: wire.TaskExited}
	observeBoth := func(f *ledgerFixture, seq uint64, phases ...wire.TaskPhase) {
		message := &wire.Heartbeat{Machine: "host-1", Session: 1, Seq: seq, Token: testToken}
		for _, phase := range phases {
			message.Tasks = append(message.Tasks, wire.TaskStatus{Task: "run-1/0", Attempt: 1, Phase: phase})
		}
		f.fleet.Observe(f.machine, message, true, f.now, find(f))
	}
	return []ledgerTest{
		{"10: a task that runs again after its exit counts, and its exit is settled anew", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, running)
			for _, event := range f.observe(true, 1, 2, testToken, exited).Events {
				event.Slot.Settled = true
			}
			f.checkLive(0, "after the exit")
			f.observe(true, 1, 3, testToken, running)
			f.checkLive(1, "after a newer report lists the task as running")
			f.checkCommands(f.compose(3, true), "")
			f.observe(true, 1, 4, testToken, exited)
			f.checkLive(0, "after the second exit")
			f.checkCommands(f.compose(4, true), "")
		}},
		{"10: a message that lists a task as exited and as running counts as running", func(f *ledgerFixture) {
			observeBoth(f, 1, wire.TaskExited, wire.TaskRunning)
			f.checkLive(1, "after a report with the exit first")
			observeBoth(f, 2, wire.TaskRunning, wire.TaskExited)
			f.checkLive(1, "after a report with the exit last")
			f.observe(true, 1, 3, testToken, exited)
			f.checkLive(0, "after a report with the exit alone")
		}},
		{"10: an attempt of this term that the ledger has removed is reported as restarted", func(f *ledgerFixture) {
			attempt := NewAttempt(testTerm, 1)
			f.observe(true, 1, 1, testToken, map[uint64]wire.TaskPhase{attempt: wire.TaskExited})
			f.observe(true, 1, 2, testToken, nil)
			events := f.observe(true, 1, 3, testToken, map[uint64]wire.TaskPhase{attempt: wire.TaskRunning}).Events
			if len(events) == 0 || events[0].Kind != Restarted {
				f.t.Errorf("events %v, want Restarted first", events)
			}
			f.checkLive(1, "after a report lists the removed attempt")
		}},
	}
}

// checkToken checks the token of the next message to the machine.
func (f *ledgerFixture) checkToken(want uint64) {
	f.t.Helper()
	if f.machine.Token != want {
		f.t.Errorf("the next message has token %d, want %d", f.machine.Token, want)
	}
}
