package control

import (
	"fmt"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/state"
)

// occurrence identifies an occurrence of a reservation by its start, in milliseconds since
// the Unix epoch.
type occurrence struct {
	reservation string
	start       int64
}

// claimError is the reason why a job's claim matches no occurrence. It is part of the
// notice in the job's status.
type claimError string

// Error implements error.
func (e claimError) Error() string { return string(e) }

// Reasons with a fixed text.
const (
	errUnknownReservation claimError = "does not exist"
	errOtherTeam          claimError = "is another team's"
	errPartsTooSmall      claimError = "has smaller parts"
	errReservationEnded   claimError = "is over"
	errCapacityRevoked    claimError = "has lost its room to maintenance"
)

// checkClaim returns a claimError unless the job may use the reservation: both belong to
// the same team, and the job's tasks fit into the reservation's parts.
func checkClaim(booking *calendar.Booking, j *job.Job) error {
	switch {
	case j.Team != booking.Team:
		return errOtherTeam
	case j.Tasks > booking.Parts:
		return claimError(fmt.Sprintf("has %d parts", booking.Parts))
	case !booking.PartSize().Fits(taskRequirements(j)):
		return errPartsTooSmall
	}
	return nil
}

// assignClaims assigns each occurrence to the job that was submitted first among those that
// claim it.
func (cs *calendarStore) assignClaims() {
	clear(cs.claims)
	for _, j := range cs.jobTable.all() {
		if j.Reservation == "" || j.Phase+j.EndingPhase != "" || cs.jobTable.isUnidentified(j) {
			continue
		}
		claimed, err := cs.claimedOccurrence(j)
		if err != nil {
			if j.Notice == "" {
				j.Notice = "reservation " + j.Reservation + " " + err.Error() + ": the job runs without it"
				cs.log.Info("job cannot use the claimed reservation", "job", j.ID, "reservation", j.Reservation, "reason", err.Error())
			}
			continue
		}
		if first := cs.claims[claimed]; first == nil || j.SubmittedMS < first.SubmittedMS || (j.SubmittedMS == first.SubmittedMS && j.ID < first.ID) {
			cs.claims[claimed] = j
		}
	}
}

// claimedOccurrence returns the occurrence that a job claims. A job whose claim matches no
// occurrence remains valid: it is scheduled like a job without a reservation, and its status
// shows the claimError.
func (cs *calendarStore) claimedOccurrence(j *job.Job) (occurrence, error) {
	stored := cs.bookings[j.Reservation]
	if stored == nil {
		return occurrence{}, errUnknownReservation
	}
	if err := checkClaim(stored.booking, j); err != nil {
		return occurrence{}, err
	}
	span, ok := stored.booking.OccurrenceAt(j.SubmittedMS)
	switch {
	case !ok:
		return occurrence{}, errReservationEnded
	case stored.booking.Revoked[span.From]:
		return occurrence{}, errCapacityRevoked
	}
	return occurrence{j.Reservation, span.From}, nil
}

// waitsForStart reports whether a job must not be placed yet because the occurrence that it
// claims has not started.
func (cs *calendarStore) waitsForStart(j *job.Job, now time.Time) bool {
	if j.Reservation == "" || !cs.enabled() {
		return false
	}
	claimed, err := cs.claimedOccurrence(j)
	if err != nil || (cs.claims[claimed] != nil && cs.claims[claimed] != j) {
		return false
	}
	return cs.wallTime(now).UnixMilli() < claimed.start
}

// upcomingOccurrence is an occurrence for which machines are held.
type upcomingOccurrence struct {
	booking *calendar.Booking
	span    calendar.Span
	decided bool     // the outcome is stored
	claimer *job.Job // nil if no job claims the occurrence
}

// upcomingOccurrences returns, by reservation, the occurrences for which machines are held.
// Lead returns how long before the start of an occurrence its hold begins.
func (cs *calendarStore) upcomingOccurrences(now time.Time, lead func(*calendar.Booking) time.Duration) map[string]upcomingOccurrence {
	if cs.upcoming == nil || now.Sub(cs.upcomingAt) >= calendarInterval {
		cs.upcoming = map[string]upcomingOccurrence{}
		cs.upcomingAt = now
		wallTime := cs.wallTime(now)
		for name, stored := range cs.bookings {
			if span, decided, ok := stored.rec.ActiveOccurrence(stored.booking, wallTime, lead(stored.booking)); ok {
				cs.upcoming[name] = upcomingOccurrence{booking: stored.booking, span: span, decided: decided}
			}
		}
	}
	for name, upcoming := range cs.upcoming {
		upcoming.claimer = cs.claims[occurrence{name, upcoming.span.From}]
		cs.upcoming[name] = upcoming
	}
	return cs.upcoming
}

// decideOutcome stores the outcome of a reservation's next occurrence as soon as it can be
// determined.
func (cs *calendarStore) decideOutcome(stored *storedBooking, wallTime time.Time) {
	if stored.storing || cs.storing || stored.rec.NextStart > wallTime.UnixMilli() {
		return
	}
	facts := &cs.controller.Settings.Facts
	tolerance := calendar.StartTolerance(facts.Workers.ReportS, facts.SkewMs)
	next, changed := calendar.DecideOutcome(stored.rec, stored.booking, cs.observeNext(stored, wallTime), tolerance)
	if !changed {
		return
	}
	name := stored.rec.Spec.Name
	key := bookingPrefix + name
	put, err := state.Put(key, next)
	if err != nil {
		cs.log.Error("cannot encode reservation record", "reservation", name, "error", err)
		return
	}
	stored.storing = true
	unchanged := []state.Condition{{Key: key, Version: stored.version}}
	cs.commitInBackground(key, stored.version, unchanged, []state.Write{put}, func(version uint64, err error) {
		stored.storing = false
		if err != nil {
			cs.log.Error("cannot store reservation outcome", "reservation", name, "error", err)
			return
		}
		outcome := next.Outcomes[len(next.Outcomes)-1]
		cs.controller.Meter.Add(metrics.ReservationSlots, string(outcome.Kind), 1)
		cs.log.Info("reservation outcome recorded", "reservation", name, "start", time.UnixMilli(outcome.Start).UTC(), "outcome", outcome.Kind, "job", outcome.Job, "late_s", outcome.LateS)
		stored.rec = next
		stored.version = version
		cs.upcoming = nil
		cs.requestPlan()
	})
}

// observeNext returns the current observation of a reservation's next occurrence: the job
// that claims it and when that job started.
func (cs *calendarStore) observeNext(stored *storedBooking, wallTime time.Time) calendar.Observation {
	observed := calendar.Observation{Now: wallTime}
	next := occurrence{stored.rec.Spec.Name, stored.rec.NextStart}
	if j := cs.claims[next]; j != nil {
		observed.Claimer = j.ID
		observed.RunningSince = cs.reservationHolds.startTime(next)
	} else {
		observed.Claimer, observed.RunningSince = cs.reservationHolds.startedJob(next)
	}
	return observed
}
