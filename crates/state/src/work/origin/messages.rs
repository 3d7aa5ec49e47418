//! Handles messages from worker owners about attempts.

use std::collections;
use std::time;

use pier_core::{ids, task};

use super::{
    ACCEPTED_RETRY_INTERVAL, Origin, POLL_INTERVAL, Phase, TrackedAttempt, job_of,
    lost_attempt_timeout,
};
use crate::message;
use crate::work::placement::{AttemptEvent, AttemptId};
use crate::work::step;

impl Origin {
    /// Handles a message from an owner.
    pub(in crate::work) fn on_message(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        message: message::PlaceMessage,
    ) {
        match message {
            message::PlaceMessage::Accepted { task, attempt } => {
                let Some(tracked) = self.tracked_at(from, incarnation, &(task, attempt)) else {
                    return;
                };
                tracked.accepted = true;
                tracked.next_send = step.now + ACCEPTED_RETRY_INTERVAL;
            }
            message::PlaceMessage::Reserved { task, attempt } => {
                let id = (task, attempt);
                let Some(tracked) = self.tracked_at(from, incarnation, &id) else {
                    return;
                };
                if tracked.phase == Phase::Asked {
                    tracked.phase = Phase::Reserved;
                    self.push_event(id, None, AttemptEvent::Reserved);
                }
            }
            message::PlaceMessage::Refused { task, attempt, refusal } => {
                let id = (task, attempt);
                let Some(tracked) = self.tracked_at(from, incarnation, &id) else {
                    return;
                };
                // For a job task, `Started` means that a worker has confirmed the start. For a
                // request it only means that the start was sent to a worker.
                if tracked.phase != Phase::Started || !tracked.is_job {
                    self.tracked.remove(&id);
                    self.push_event(id, Some(from.clone()), AttemptEvent::NotRun { refusal });
                }
            }
            message::PlaceMessage::Started { task, attempt, worker } => {
                let id = (task, attempt);
                if self.tracked_at(from, incarnation, &id).is_some() {
                    self.started(step.now, id, worker);
                }
            }
            message::PlaceMessage::Lost { task, attempt } => {
                let id = (task, attempt);
                let Some(tracked) = self.tracked_at(from, incarnation, &id) else {
                    return;
                };
                if !tracked.answer_lost {
                    tracked.answer_lost = true;
                    tracked.phase = Phase::Started;
                    self.push_lost(id);
                }
            }
            _ => {}
        }
    }

    pub(super) fn tracked_at(
        &mut self,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        id: &AttemptId,
    ) -> Option<&mut TrackedAttempt> {
        let tracked = self.tracked.get_mut(id)?;
        let is_same_owner = tracked.owner == *from && tracked.owner_incarnation == incarnation;
        is_same_owner.then_some(tracked)
    }

    pub(super) fn started(&mut self, now: time::Duration, id: AttemptId, worker: ids::WorkerId) {
        let Some(tracked) = self.tracked.get_mut(&id) else {
            return;
        };
        let is_known = tracked.phase == Phase::Started && tracked.worker.as_ref() == Some(&worker);
        tracked.phase = Phase::Started;
        tracked.spec = None;
        if !is_known {
            tracked.next_send = now + POLL_INTERVAL;
        }
        tracked.worker = Some(worker.clone());
        if !is_known {
            self.push_event(id, None, AttemptEvent::Started { worker });
        }
    }

    /// Records the end of an attempt and acknowledges it.
    pub(in crate::work) fn on_ended(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        id: AttemptId,
        end: Option<task::TaskEnd>,
        worker: ids::WorkerId,
    ) {
        let is_tracked = self.tracked.remove(&id).is_some();
        let job = job_of(&id.0);
        if let Some(job) = job
            && !is_tracked
            && !step.cluster.is_home_of(job)
        {
            // The end must reach the new owner of the job, so it is not acknowledged here.
            return;
        }
        let (task, attempt) = id.clone();
        step.send_place(from, message::PlaceMessage::EndedAck { task, attempt });
        if is_tracked || job.is_some() {
            self.push_event(id, None, AttemptEvent::Ended { end, worker: Some(worker) });
        }
    }

    /// Updates the attempts from an owner's list of those it still holds.
    pub(in crate::work) fn on_held(
        &mut self,
        step: &step::Step<'_>,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        whole: bool,
        tasks: &[(ids::TaskId, ids::Attempt, ids::WorkerId)],
    ) {
        let mut listed = collections::BTreeSet::new();
        for (task, attempt, worker) in tasks {
            let id = (task.clone(), *attempt);
            listed.insert(id.clone());
            let Some(tracked) = self.tracked.get_mut(&id) else {
                continue;
            };
            tracked.owner = from.clone();
            tracked.owner_incarnation = incarnation;
            tracked.latest_end = None;
            if tracked.phase != Phase::Reserved {
                self.started(step.now, id, worker.clone());
            }
        }
        if !whole {
            return;
        }
        self.listed.insert(from.clone());
        // The worker of a missing attempt may have moved to another owner.
        let until = step.now + lost_attempt_timeout(&self.options, true);
        for (id, tracked) in &mut self.tracked {
            let is_at_sender =
                tracked.owner == *from && tracked.is_job && tracked.phase == Phase::Started;
            if is_at_sender && tracked.latest_end.is_none() && !listed.contains(id) {
                tracked.latest_end = Some(until);
            }
        }
    }
}
