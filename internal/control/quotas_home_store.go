package control

import (
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/state"
)

// The leader of the home region stores updates of the configuration in batches.

// storeRetryDelay is the pause after an update that the key-value store has rejected.
const storeRetryDelay = time.Second

// maxBatchRecords returns how many team records fit into a transaction besides the head record
// and a history entry.
func (hq *homeQuotas) maxBatchRecords() int {
	return max(1, hq.controller.Settings.Facts.State.TxnOps-2)
}

// storeUpdate stores an update in one or more transactions, adds lastWrites to the last one,
// and then applies the update. It calls done in the actor afterwards, or failed if the store
// has rejected a transaction. Only one update is stored at a time.
func (hq *homeQuotas) storeUpdate(update dynconfig.Update, lastWrites []state.Write, failed, done func()) {
	hq.storing = true
	head := hq.headVersion
	maxBatch := hq.maxBatchRecords()
	go func() {
		version, err := hq.storeRecords(update, lastWrites, head, maxBatch)
		hq.enqueueForUser(func() {
			hq.storing = false
			hq.headVersion = version
			if err != nil {
				hq.log.Error("configuration cannot be stored", "error", err)
				hq.retryAt = time.Now().Add(storeRetryDelay)
				failed()
			} else {
				hq.home.Apply(update)
				done()
			}
			hq.step(time.Now())
		})
	}()
}

// storeRecords stores an update in batches. It returns the version of headKey after the last
// batch that was stored.
func (hq *homeQuotas) storeRecords(update dynconfig.Update, lastWrites []state.Write, version uint64, maxBatch int) (uint64, error) {
	for remaining := update.Records; len(remaining) > 0; {
		batch := remaining[:min(maxBatch, len(remaining))]
		remaining = remaining[len(batch):]
		var further []state.Write
		if len(remaining) == 0 {
			further = lastWrites
		}
		var err error
		if version, err = hq.storeBatch(update.Head, batch, further, version); err != nil {
			return version, err
		}
	}
	return version, nil
}

// storeBatch stores the head record, team records and further writes in one transaction. It
// returns the new version of headKey, or the previous one if nothing was stored.
func (hq *homeQuotas) storeBatch(head dynconfig.Head, records []*dynconfig.TeamRecord, further []state.Write, headVersion uint64) (version uint64, err error) {
	write, err := state.Put(headKey, head)
	if err != nil {
		return headVersion, err
	}
	writes := append([]state.Write{write}, further...)
	for _, record := range records {
		if write, err = state.Put(teamRecordPrefix+record.Name, record); err != nil {
			return headVersion, err
		}
		writes = append(writes, write)
	}
	conditions := []state.Condition{{Key: headKey, Version: headVersion}}
	version, err = hq.commitUntilSettled(headKey, headVersion, conditions, writes)
	if err != nil {
		return headVersion, err
	}
	return version, nil
}
