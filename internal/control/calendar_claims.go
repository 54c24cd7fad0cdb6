package control

import (
	"fmt"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/state"
)

// occurrence identifies an occurrence of a reservation by its start, in milliseconds of the
// time of day.
type occurrence struct {
	reservation string
	start       int64
}

// claimError says why a job's claim matches no occurrence, as its user is shown it.
type claimError string

// Error implements error.
func (e claimError) Error() string { return string(e) }

// Claims that match no occurrence, whatever the job's size.
const (
	errUnknownReservation claimError = "does not exist"
	errOtherTeam          claimError = "is another team's"
	errPartsTooSmall      claimError = "has smaller parts"
	errReservationEnded   claimError = "is over"
	errCapacityRevoked    claimError = "has lost its room to maintenance"
)

// checkClaim returns a claimError unless a reservation is for a job: it is of the job's
// team, and the job is no larger than its parts.
func checkClaim(b *calendar.Booking, j *job.Job) error {
	switch {
	case j.Team != b.Team:
		return errOtherTeam
	case j.Tasks > b.Parts:
		return claimError(fmt.Sprintf("has %d parts", b.Parts))
	case !b.PartSize().Fits(taskRequirements(j)):
		return errPartsTooSmall
	}
	return nil
}

// assignClaims determines which job claims which occurrence: the first that was submitted.
func (cs *calendarStore) assignClaims() {
	clear(cs.claims)
	for _, j := range cs.jobTable.all() {
		if j.Reservation == "" || j.Phase+j.Closing != "" || cs.jobTable.isUnidentified(j) {
			continue
		}
		o, err := cs.claimedOccurrence(j)
		if err != nil {
			if j.Notice == "" {
				j.Notice = "reservation " + j.Reservation + " " + err.Error() + ": the job runs without it"
				cs.log.Info("job cannot use the reservation that it claims", "job", j.ID, "reservation", j.Reservation, "reason", err.Error())
			}
			continue
		}
		if first := cs.claims[o]; first == nil || j.SubmittedMS < first.SubmittedMS || (j.SubmittedMS == first.SubmittedMS && j.ID < first.ID) {
			cs.claims[o] = j
		}
	}
}

// claimedOccurrence is the occurrence that a job claims. A claim that matches none is not
// an invalid job: it competes like any other, and its user is shown the claimError.
func (cs *calendarStore) claimedOccurrence(j *job.Job) (occurrence, error) {
	b := cs.bookings[j.Reservation]
	if b == nil {
		return occurrence{}, errUnknownReservation
	}
	if err := checkClaim(b.booking, j); err != nil {
		return occurrence{}, err
	}
	span, ok := b.booking.OccurrenceAt(j.SubmittedMS)
	switch {
	case !ok:
		return occurrence{}, errReservationEnded
	case b.booking.Revoked[span.From]:
		return occurrence{}, errCapacityRevoked
	}
	return occurrence{j.Reservation, span.From}, nil
}

// waitsForStart reports whether a job has to wait for the start of the occurrence that it
// claims.
func (cs *calendarStore) waitsForStart(j *job.Job, now time.Time) bool {
	if j.Reservation == "" || !cs.enabled() {
		return false
	}
	o, err := cs.claimedOccurrence(j)
	if err != nil || (cs.claims[o] != nil && cs.claims[o] != j) {
		return false
	}
	return cs.timeOfDay(now).UnixMilli() < o.start
}

// upcomingOccurrence is an occurrence that machines are held for.
type upcomingOccurrence struct {
	booking *calendar.Booking
	span    calendar.Span
	decided bool     // its outcome is stored
	claimer *job.Job // nil: none
}

// upcomingOccurrences lists the occurrences that machines are held for, by reservation.
// Lead is how long before its start that begins.
func (cs *calendarStore) upcomingOccurrences(now time.Time, lead func(*calendar.Booking) time.Duration) map[string]upcomingOccurrence {
	if cs.upcoming == nil || now.Sub(cs.upcomingAt) >= calendarInterval {
		cs.upcoming = map[string]upcomingOccurrence{}
		cs.upcomingAt = now
		timeOfDay := cs.timeOfDay(now)
		for name, b := range cs.bookings {
			if span, decided, ok := b.rec.ActiveOccurrence(b.booking, timeOfDay, lead(b.booking)); ok {
				cs.upcoming[name] = upcomingOccurrence{booking: b.booking, span: span, decided: decided}
			}
		}
	}
	for name, o := range cs.upcoming {
		o.claimer = cs.claims[occurrence{name, o.span.From}]
		cs.upcoming[name] = o
	}
	return cs.upcoming
}

// decideOutcome stores the outcome of a reservation's next occurrence once it is clear.
func (cs *calendarStore) decideOutcome(b *storedBooking, timeOfDay time.Time) {
	if b.storing || cs.storing || b.rec.NextStart > timeOfDay.UnixMilli() {
		return
	}
	f := &cs.controller.Settings.Facts
	tolerance := calendar.Tolerance(f.Workers.ReportS, f.SkewMs)
	next, changed := calendar.DecideOutcome(b.rec, b.booking, cs.observeNext(b, timeOfDay), tolerance)
	if !changed {
		return
	}
	name := b.rec.Spec.Name
	key := bookingPrefix + name
	put, err := state.Put(key, next)
	if err != nil {
		cs.log.Error("reservation cannot be encoded", "reservation", name, "error", err)
		return
	}
	b.storing = true
	unchanged := []state.Condition{{Key: key, Version: b.version}}
	cs.commitInBackground(key, b.version, unchanged, []state.Write{put}, func(version uint64, err error) {
		b.storing = false
		if err != nil {
			cs.log.Error("outcome of a reservation cannot be stored", "reservation", name, "error", err)
			return
		}
		o := next.Outcomes[len(next.Outcomes)-1]
		cs.controller.Meter.Add(metrics.ReservationSlots, string(o.Kind), 1)
		cs.log.Info("reservation outcome recorded", "reservation", name, "start", time.UnixMilli(o.Start).UTC(), "outcome", o.Kind, "job", o.Job, "late_s", o.LateS)
		b.rec = next
		b.version = version
		cs.upcoming = nil
		cs.requestPlan()
	})
}

// observeNext is what is observed of the next occurrence of a reservation.
func (cs *calendarStore) observeNext(b *storedBooking, timeOfDay time.Time) calendar.Observation {
	observed := calendar.Observation{Now: timeOfDay}
	next := occurrence{b.rec.Spec.Name, b.rec.NextStart}
	if j := cs.claims[next]; j != nil {
		observed.Claimer = j.ID
		observed.RunAt = cs.reservationHolds.startTime(next)
	} else {
		observed.Claimer, observed.RunAt = cs.reservationHolds.startedJob(next)
	}
	return observed
}
