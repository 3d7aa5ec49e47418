//! What owners of workers tell of attempts.

use std::collections;
use std::time;

use pier_core::{ids, task};

use super::{ACCEPTED_REPEAT, POLL, Phase, Placing, Wanted, job_of, lost_after};
use crate::message;
use crate::work::placement::{AttemptEvent, AttemptId};
use crate::work::step;

impl Placing {
    /// Takes a message of an owner.
    pub(in crate::work) fn on_message(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        message: message::PlaceMessage,
    ) {
        match message {
            message::PlaceMessage::Accepted { task, attempt } => {
                let Some(wanted) = self.wanted_of(from, incarnation, &(task, attempt)) else {
                    return;
                };
                wanted.accepted = true;
                wanted.next_send = step.now + ACCEPTED_REPEAT;
            }
            message::PlaceMessage::Reserved { task, attempt } => {
                let id = (task, attempt);
                let Some(wanted) = self.wanted_of(from, incarnation, &id) else {
                    return;
                };
                if wanted.phase == Phase::Asked {
                    wanted.phase = Phase::Reserved;
                    self.tell(id, None, AttemptEvent::Reserved);
                }
            }
            message::PlaceMessage::Refused { task, attempt, refusal } => {
                let id = (task, attempt);
                let Some(wanted) = self.wanted_of(from, incarnation, &id) else {
                    return;
                };
                // A worker has confirmed the start of a job task; that of a request is only handed
                // to a worker.
                if wanted.phase != Phase::Started || !wanted.job {
                    self.wanted.remove(&id);
                    self.tell(id, Some(from.clone()), AttemptEvent::NotRun { refusal });
                }
            }
            message::PlaceMessage::Started { task, attempt, worker } => {
                let id = (task, attempt);
                if self.wanted_of(from, incarnation, &id).is_some() {
                    self.started(step.now, id, worker);
                }
            }
            message::PlaceMessage::Lost { task, attempt } => {
                let id = (task, attempt);
                let Some(wanted) = self.wanted_of(from, incarnation, &id) else {
                    return;
                };
                if !wanted.lost {
                    wanted.lost = true;
                    wanted.phase = Phase::Started;
                    self.tell_lost(id);
                }
            }
            _ => {}
        }
    }

    pub(super) fn wanted_of(
        &mut self,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        id: &AttemptId,
    ) -> Option<&mut Wanted> {
        let wanted = self.wanted.get_mut(id)?;
        let same = wanted.owner == *from && wanted.owner_incarnation == incarnation;
        same.then_some(wanted)
    }

    pub(super) fn started(&mut self, now: time::Duration, id: AttemptId, worker: ids::WorkerId) {
        let Some(wanted) = self.wanted.get_mut(&id) else {
            return;
        };
        let known = wanted.phase == Phase::Started && wanted.worker.as_ref() == Some(&worker);
        wanted.phase = Phase::Started;
        wanted.spec = None;
        if !known {
            wanted.next_send = now + POLL;
        }
        wanted.worker = Some(worker.clone());
        if !known {
            self.tell(id, None, AttemptEvent::Started { worker });
        }
    }

    /// Takes the end of an attempt and acknowledges it.
    pub(in crate::work) fn on_ended(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        id: AttemptId,
        end: Option<task::TaskEnd>,
        worker: ids::WorkerId,
    ) {
        let known = self.wanted.remove(&id).is_some();
        let job = job_of(&id.0);
        if let Some(job) = job
            && !known
            && !step.cluster.is_home_of(job)
        {
            // The new owner of the job must learn of the end.
            return;
        }
        let (task, attempt) = id.clone();
        step.send_place(from, message::PlaceMessage::EndedAck { task, attempt });
        if known || job.is_some() {
            self.tell(id, None, AttemptEvent::Ended { end, worker: Some(worker) });
        }
    }

    /// Takes the list of attempts that an owner still counts.
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
            let Some(wanted) = self.wanted.get_mut(&id) else {
                continue;
            };
            wanted.owner = from.clone();
            wanted.owner_incarnation = incarnation;
            wanted.lost_until = None;
            if wanted.phase != Phase::Reserved {
                self.started(step.now, id, worker.clone());
            }
        }
        if !whole {
            return;
        }
        self.listed.insert(from.clone());
        // The worker of an attempt that is missing may have moved to another owner.
        let until = step.now + lost_after(&self.options, true);
        for (id, wanted) in &mut self.wanted {
            let here = wanted.owner == *from && wanted.job && wanted.phase == Phase::Started;
            if here && wanted.lost_until.is_none() && !listed.contains(id) {
                wanted.lost_until = Some(until);
            }
        }
    }
}
