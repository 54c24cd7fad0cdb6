package control

import (
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/state"
)

// How the home region's leader stores updates of the configuration.

// storeRetryDelay is the wait after an update that the key-value store rejects.
const storeRetryDelay = time.Second

// maxBatchRecords is how many team records fit a transaction besides the head and a history
// entry.
func (hq *homeQuotas) maxBatchRecords() int {
	return max(1, hq.controller.Settings.Facts.State.TxnOps-2)
}

// storeUpdate stores an update, in as many transactions as it takes, with further writes in
// the last one, and applies it. Then it calls done in the actor, or failed if the store has
// rejected a transaction. One update is stored at a time.
func (hq *homeQuotas) storeUpdate(u dynconfig.Update, lastWrites []state.Write, failed, done func()) {
	hq.storing = true
	head := hq.headVersion
	maxBatch := hq.maxBatchRecords()
	go func() {
		version, err := hq.storeRecords(u, lastWrites, head, maxBatch)
		hq.enqueueForUser(func() {
			hq.storing = false
			hq.headVersion = version
			if err != nil {
				hq.log.Error("configuration cannot be stored", "error", err)
				hq.retryAt = time.Now().Add(storeRetryDelay)
				failed()
			} else {
				hq.home.Apply(u)
				done()
			}
			hq.step(time.Now())
		})
	}()
}

// storeRecords stores an update in batches, and returns the version of headKey after the last
// one that was stored.
func (hq *homeQuotas) storeRecords(u dynconfig.Update, lastWrites []state.Write, version uint64, maxBatch int) (uint64, error) {
	for rest := u.Records; len(rest) > 0; {
		batch := rest[:min(maxBatch, len(rest))]
		rest = rest[len(batch):]
		var further []state.Write
		if len(rest) == 0 {
			further = lastWrites
		}
		var err error
		if version, err = hq.storeBatch(u.Head, batch, further, version); err != nil {
			return version, err
		}
	}
	return version, nil
}

// storeBatch stores some records with the head, and further writes, in one transaction. It
// returns the new version of headKey, or the one before if nothing was stored.
func (hq *homeQuotas) storeBatch(head dynconfig.Head, records []*dynconfig.TeamRecord, further []state.Write, headVersion uint64) (version uint64, err error) {
	put, err := state.Put(headKey, head)
	if err != nil {
		return headVersion, err
	}
	writes := append([]state.Write{put}, further...)
	for _, r := range records {
		if put, err = state.Put(teamRecordPrefix+r.Name, r); err != nil {
			return headVersion, err
		}
		writes = append(writes, put)
	}
	conds := []state.Condition{{Key: headKey, Version: headVersion}}
	version, err = hq.commitUntilSettled(headKey, headVersion, conds, writes)
	if err != nil {
		return headVersion, err
	}
	return version, nil
}
