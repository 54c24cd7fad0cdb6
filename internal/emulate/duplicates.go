package emulate

import (
	"bytes"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"vetchstream/internal/wire"
)

// Duplication selects messages of which the network delivers a copy after the originals have been
// received and answered. Nobody waits for the answer to a copy. The zero value selects none.
type Duplication struct {
	// Share is the share of the messages that are delivered once more, from 0 to 1.
	Share float64
	// MaxDelay bounds the delay of a copy. Delays are spread evenly over the orders of magnitude
	// from minDuplicateDelay to MaxDelay.
	MaxDelay time.Duration
	// Random is the source of the draws. Only the world may use it.
	Random *rand.Rand
}

// minDuplicateDelay is the shortest delay of a copy.
const minDuplicateDelay = 200 * time.Millisecond

// duplicator has the current duplications. The world's lock guards it.
type duplicator struct {
	commands, heartbeats Duplication
	// executed counts the copies of direct commands that a worker has executed.
	executed int
}

// DuplicateCommands sets which direct commands, of those that workers execute from now on, are
// delivered once more. Copies that are already on their way still arrive.
func (w *World) DuplicateCommands(duplication Duplication) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duplicator.commands = duplication
}

// DuplicateHeartbeats sets which heartbeats, of those that workers send from now on, are delivered
// once more. Copies that are already on their way still arrive.
func (w *World) DuplicateHeartbeats(duplication Duplication) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duplicator.heartbeats = duplication
}

// DuplicatesExecuted returns the number of copies of direct commands that workers have executed,
// including those without an effect.
func (w *World) DuplicatesExecuted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.duplicator.executed
}

// draw returns the delay of a message's copy, and false if the message is not delivered again.
func (d *Duplication) draw() (time.Duration, bool) {
	if d.Share == 0 || d.Random.Float64() >= d.Share {
		return 0, false
	}
	ratio := float64(max(d.MaxDelay, minDuplicateDelay)) / float64(minDuplicateDelay)
	return time.Duration(float64(minDuplicateDelay) * math.Pow(ratio, d.Random.Float64())), true
}

// duplicateCommands may deliver an executed direct command once more; the caller holds the lock.
func (worker *Worker) duplicateCommands(request wire.DirectCommands) {
	w := worker.world
	restarts := worker.restarts
	if delay, ok := w.duplicator.commands.draw(); ok {
		w.wg.Go(func() {
			if w.sleep(delay) {
				worker.receiveDuplicate(request, restarts)
			}
		})
	}
}

// receiveDuplicate executes the copy of a direct command under the same conditions as the original.
// restarts is the number of the worker's restarts at the time of the original: a restart resets the
// connections to the worker, so that no copy of an earlier command arrives.
func (worker *Worker) receiveDuplicate(request wire.DirectCommands, restarts int) {
	worker.lockWhenResponsive()
	defer worker.world.mu.Unlock()
	if worker.removed || worker.restarts != restarts {
		return
	}
	worker.step(time.Now())
	if !worker.accepts(request) {
		return
	}
	worker.world.duplicator.executed++
	worker.checkDuplicate(request.Commands)
	worker.raiseToken(request.Token)
	worker.execute(request.Commands)
}

// checkDuplicate checks that no launch in the copy of a command starts its attempt again, which it
// does once the exit of the attempt has been cleared. The caller holds the lock.
func (worker *Worker) checkDuplicate(commands []wire.Command) {
	for _, command := range commands {
		if command.Verb == wire.CommandLaunch && worker.tasks[taskKey(command.Task, command.Attempt)] == nil {
			worker.world.addViolation("restarted: a copy of an executed launch starts attempt %d of task %s on %s again", command.Attempt, command.Task, worker.name)
		}
	}
}

// duplicateHeartbeat may deliver a heartbeat once more, to the controller that the worker uses when
// the copy arrives; the caller holds the lock.
func (worker *Worker) duplicateHeartbeat(client *http.Client, encoded []byte) {
	w := worker.world
	delay, ok := w.duplicator.heartbeats.draw()
	if !ok {
		return
	}
	w.wg.Go(func() {
		if !w.sleep(delay) {
			return
		}
		w.mu.Lock()
		controller := w.cfg.Controllers[worker.controllerIndex]
		w.mu.Unlock()
		response, err := client.Post("http://"+controller.Addr+"/checkin", wire.ContentType, bytes.NewReader(encoded))
		if err == nil {
			_ = response.Body.Close()
		}
	})
}
