//! Messages between hosts. Every message may be lost, late, repeated or out of order.

use std::sync;

use pier_core::{caller, ids, resources, task};
use serde::{Deserialize, Serialize};

use crate::{by_job, cluster, record};

/// A message as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ids::HostId,
    /// The sender's process.
    pub incarnation: ids::Incarnation,
    /// The secret that all hosts of the cell share.
    pub token: String,
    /// The message.
    pub message: Message,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Membership, the log and ownership of workers.
    Control(ControlMessage),
    /// Placement of tasks.
    Place(PlaceMessage),
    /// Limits of teams.
    Limit(LimitMessage),
    /// Jobs.
    Job(JobMessage),
    /// Idempotency keys.
    Dedupe(DedupeMessage),
}

/// What a host says of itself in a heartbeat and in its answer. The envelope names the host and its
/// process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vitals {
    /// The availability zone of the sender.
    pub availability_zone: ids::ZoneId,
    /// The address (`ip:port`) of the sender's peer interface.
    pub peer_address: sync::Arc<str>,
    /// The sender's epoch.
    pub epoch: ids::Epoch,
    /// The position after the last record that the sender has folded.
    pub fold_offset: ids::Offset,
    /// The age of the sender's freshness in milliseconds; none if it never was fresh.
    pub log_age_ms: Option<u64>,
    /// Whether the sender cannot reach the log.
    #[serde(default, skip_serializing_if = "is_false")]
    pub log_away: bool,
    /// Whether an own proposal or change of the sender is undecided.
    #[serde(default, skip_serializing_if = "is_false")]
    pub undecided: bool,
    /// The hosts that the sender has heard within `suspect_after`, in ascending order.
    pub heard: Vec<ids::HostId>,
    /// The workers that the sender holds by a handoff within its epoch, in ascending order, with
    /// the token it uses. The record of the epoch shows the others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub owned: Vec<(ids::WorkerId, task::FencingToken)>,
    /// Whether the sender is shutting down.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// What the sender's workers have free. Most heartbeats leave it out to save bandwidth, and the
    /// receiver keeps what it had.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub room: Option<cluster::Room>,
    /// What each team uses on the sender's workers. It is left out like `room`, and more often.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub teams: Option<Vec<cluster::TeamUsage>>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(value: &bool) -> bool {
    !*value
}

/// Messages about membership, the log and ownership of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlMessage {
    /// A sign of life.
    Heartbeat {
        /// The sender's time when it sent the heartbeat, in milliseconds since its start.
        sent_ms: u64,
        /// What the sender says of itself.
        vitals: Box<Vitals>,
    },
    /// The answer to a heartbeat.
    HeartbeatReply {
        /// The `sent_ms` of the heartbeat.
        echo_ms: u64,
        /// What the sender says of itself.
        vitals: Box<Vitals>,
    },
    /// Asks for the fold of a peer.
    FoldRequest,
    /// The fold of the sender.
    FoldReply {
        /// The position after the last record that the fold includes.
        fold_offset: ids::Offset,
        /// The fold.
        fold: Box<record::FoldState>,
    },
    /// Asks for records of the log.
    RecordsRequest {
        /// The position of the first record.
        from: ids::Offset,
    },
    /// Records of the log, which the sender has read there.
    RecordsReply {
        /// Records in ascending order without gaps: position and bytes as text.
        records: Vec<(ids::Offset, String)>,
    },
    /// Hands a worker to its new owner. It is sent until it is acknowledged.
    Handoff {
        /// The epoch of the sender.
        epoch: ids::Epoch,
        /// The worker.
        worker: ids::WorkerId,
        /// The token that the receiver uses.
        token: task::FencingToken,
        /// What the sender hands over.
        body: HandoffBody,
    },
    /// Acknowledges a handoff.
    HandoffAck {
        /// The epoch of the handoff.
        epoch: ids::Epoch,
        /// The worker.
        worker: ids::WorkerId,
        /// The token of the handoff.
        token: task::FencingToken,
    },
}

/// What the owner of a worker hands over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffBody {
    /// The tasks that hold room on the worker.
    pub tasks: Vec<HandedTask>,
    /// What the receiver may hold of each team's limit for these tasks. The sender has lowered its
    /// own holdings by as much.
    pub holdings: Vec<(ids::TeamId, resources::Resources)>,
}

/// A task that holds room on a handed worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedTask {
    /// The task's id.
    pub task: ids::TaskId,
    /// The number of the attempt.
    pub attempt: ids::Attempt,
    /// The labels of the task.
    pub labels: task::TaskLabels,
    /// What the task holds.
    pub resources: resources::Resources,
    /// The host that waits for the end of the task.
    pub origin: ids::HostId,
    /// The milliseconds until the lease lapses, at most.
    pub lease_left_ms: u64,
}

/// Messages about the placement of tasks, between the host that wants a task placed (the origin)
/// and the owner of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceMessage {
    /// Asks the owner to place a task. The same task and attempt is placed once at most.
    Place {
        /// The task.
        spec: Box<task::TaskSpec>,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// How long the task may wait at the owner, in milliseconds.
        wait_ms: u64,
        /// The time to the task's deadline in milliseconds; none for no deadline.
        deadline_ms: Option<u64>,
        /// Whether the owner only reserves room and waits for [`PlaceMessage::Commit`].
        reserve: bool,
        /// The process of the owner for which the message is meant. Another process of the same
        /// host ignores it: it cannot know what the first one has done with the attempt.
        to_incarnation: ids::Incarnation,
    },
    /// The owner has the attempt, which waits or was handed to a worker. It answers a repeated
    /// [`PlaceMessage::Place`].
    Accepted {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// The attempt was handed to a worker and its answer is lost. [`PlaceMessage::Ended`] follows
    /// when its end is certain.
    Lost {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// The owner has reserved room.
    Reserved {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// The origin asks the owner to start a reserved task.
    Commit {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// The owner has not started the task and never will.
    Refused {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// Why.
        refusal: caller::Refusal,
    },
    /// The worker has started the task.
    Started {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The worker.
        worker: ids::WorkerId,
    },
    /// The attempt has certainly ended. It is sent until it is acknowledged.
    Ended {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The end; none if it certainly ended but nobody knows how.
        end: Option<task::TaskEnd>,
        /// The worker.
        worker: ids::WorkerId,
    },
    /// The origin has the end.
    EndedAck {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// The origin wants the task gone: taken off the queue, or stopped if it runs.
    Cancel {
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// The origin still wants these attempts. The owner renews no other lease.
    Keep {
        /// The attempts.
        #[serde(with = "by_job")]
        tasks: Vec<(ids::TaskId, ids::Attempt)>,
        /// Whether the origin needs the list of what the owner counts even if it is the same.
        #[serde(default, skip_serializing_if = "is_false")]
        list: bool,
    },
    /// The owner lists the attempts of one job or all jobs of the receiver that it still counts,
    /// after a takeover and in answer to a [`PlaceMessage::Keep`] that asks for the list or has
    /// other attempts.
    Held {
        /// The epoch of the sender.
        epoch: ids::Epoch,
        /// Whether the sender has finished the takeovers of the epoch, so that the list is whole.
        settled: bool,
        /// The attempts and the worker of each.
        tasks: Vec<(ids::TaskId, ids::Attempt, ids::WorkerId)>,
    },
}

/// Messages about the limits of teams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitMessage {
    /// A holder tells a team's home what it holds.
    Sync {
        /// The sender's epoch.
        epoch: ids::Epoch,
        /// The sender's version of the declaration.
        version: ids::Version,
        /// The team.
        team: ids::TeamId,
        /// What the sender holds, and `doubt`.
        #[serde(with = "resources::positional")]
        held: resources::Resources,
        /// What the sender would like to hold, and `doubt`.
        #[serde(with = "resources::positional")]
        want: resources::Resources,
        /// What tasks of the team use at the most on workers whose takeover is held up.
        #[serde(default, skip_serializing_if = "resources::Resources::is_zero")]
        doubt: resources::Resources,
        /// What one task needs. The home lends whole multiples, because a holder cannot use less.
        #[serde(with = "resources::positional")]
        unit: resources::Resources,
        /// The number of the last grant that the sender has applied in this epoch.
        seq_seen: u64,
        /// Whether the sender has finished the takeovers of the epoch, but for those in `doubt`.
        settled: bool,
        /// The number of the report in the sender's process. The home ignores older ones, because
        /// a holding grows without a grant when a worker is taken over.
        number: u64,
    },
    /// The home lends more to a holder, or confirms what it holds.
    Grant {
        /// The sender's epoch.
        epoch: ids::Epoch,
        /// The version of the declaration for which the home has checked the holder's amount.
        version: ids::Version,
        /// The team.
        team: ids::TeamId,
        /// What is added to the holding; zero for a confirmation.
        #[serde(with = "resources::positional")]
        amount: resources::Resources,
        /// The number of the grant, from one in each epoch.
        seq: u64,
        /// By how much the reported amount is over what the holder may hold and has to give back.
        #[serde(with = "resources::positional")]
        give_back: resources::Resources,
        /// The number of the report that the grant answers.
        number: u64,
        /// Whether the home has less than the holders want, so that it waits for what they give
        /// back and needs the receipt of this grant before the next one.
        #[serde(default, skip_serializing_if = "is_false")]
        scarce: bool,
    },
}

/// Messages about jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobMessage {
    /// Asks a peer to keep a job while the log is away.
    Hold {
        /// The job.
        record: record::JobRecord,
    },
    /// The peer keeps the job.
    HoldAck {
        /// The job.
        job: ids::JobId,
    },
    /// Asks the owner of a job for its status or its end, on behalf of a caller.
    Query {
        /// The number that pairs the answer with the question.
        ticket: ids::Ticket,
        /// The job.
        job: ids::JobId,
    },
    /// The answer to a query.
    Status {
        /// The number of the query.
        ticket: ids::Ticket,
        /// The status; none if the owner does not know the job.
        status: Option<caller::JobStatus>,
    },
}

/// Messages about idempotency keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupeMessage {
    /// Asks the home of a key whether the request may run.
    Check {
        /// The number that pairs the answer with the question.
        ticket: ids::Ticket,
        /// The team and the key.
        key: DedupeKey,
        /// The task that would run.
        task: ids::TaskId,
    },
    /// The home's answer.
    Answer {
        /// The number of the question.
        ticket: ids::Ticket,
        /// What the asker may do.
        verdict: DedupeVerdict,
    },
    /// The asker reports the end of the request.
    Ended {
        /// The team and the key.
        key: DedupeKey,
        /// The task that ran.
        task: ids::TaskId,
        /// The end; none if the request was not run, so that the key is free again.
        end: Option<task::TaskEnd>,
    },
    /// The home copies an entry to its backup, or hands it over when the home changes.
    Copy {
        /// The team and the key.
        key: DedupeKey,
        /// The task that has the key.
        task: ids::TaskId,
        /// The end, if there is one yet.
        end: Option<task::TaskEnd>,
        /// The milliseconds for which the entry is still to be kept.
        keep_ms: u64,
    },
    /// The receiver of a copy has it.
    CopyAck {
        /// The team and the key.
        key: DedupeKey,
        /// The task that has the key.
        task: ids::TaskId,
        /// Whether the copy had an end.
        ended: bool,
    },
    /// The home has the report of an end. The asker repeats the report until then.
    EndedAck {
        /// The team and the key.
        key: DedupeKey,
        /// The task of the report.
        task: ids::TaskId,
    },
    /// Asks a member whether it has handed over all entries that the sender has to keep.
    Ask {
        /// The sender's epoch.
        epoch: ids::Epoch,
    },
    /// The sender has handed over all such entries.
    Handed {
        /// The sender's epoch.
        epoch: ids::Epoch,
        /// Whether the sender has no entries of earlier epochs, because it was no member.
        new: bool,
        /// The holders that were lost.
        lost: Vec<LostHolders>,
    },
}

/// Members that were lost together. Keys whose holders are all among them are not known any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostHolders {
    /// The members that held keys, in ascending order, with their availability zones.
    pub members: Vec<(ids::HostId, ids::ZoneId)>,
    /// The members that were lost.
    pub lost: Vec<ids::HostId>,
    /// The milliseconds for which that matters.
    pub keep_ms: u64,
}

/// An idempotency key of a team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DedupeKey {
    /// The team.
    pub team: ids::TeamId,
    /// The key as the caller sent it.
    pub key: std::sync::Arc<str>,
}

/// What the home of an idempotency key says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupeVerdict {
    /// The request is the first with its key and may run.
    Run,
    /// A request with the key has ended; this is its answer.
    Ended {
        /// The end.
        end: task::TaskEnd,
    },
    /// A request with the key is running, or its end is unknown.
    Running,
    /// The home cannot know, because earlier holders of the key were lost.
    Unknown,
}
