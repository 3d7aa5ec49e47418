//! Messages between hosts. Any message can be lost, delayed, duplicated or reordered.

use std::sync;

use pier_core::{caller, ids, resources, task};
use serde::{Deserialize, Serialize};

use crate::{by_job, cluster, record};

/// A message with its sender and the cell's secret, as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: ids::HostId,
    /// The incarnation of the sending process.
    pub incarnation: ids::Incarnation,
    /// The secret that all hosts of the cell share.
    pub token: String,
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

/// The content of a heartbeat and of its reply. The envelope identifies the sending host and
/// process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBody {
    /// The availability zone of the sender.
    pub availability_zone: ids::ZoneId,
    /// The address (`ip:port`) of the sender's peer interface.
    pub peer_address: sync::Arc<str>,
    /// The sender's epoch.
    pub epoch: ids::Epoch,
    /// The offset after the last record that the sender has folded.
    pub fold_offset: ids::Offset,
    /// How long ago the sender's view of the log was last fresh; none if it never was.
    pub log_age_ms: Option<u64>,
    /// Whether the sender cannot reach the log.
    #[serde(default, rename = "log_away", skip_serializing_if = "is_false")]
    pub log_unreachable: bool,
    /// Whether the sender has an epoch proposal or a change in the log whose outcome is undecided.
    #[serde(default, skip_serializing_if = "is_false")]
    pub undecided: bool,
    /// The hosts from which messages reached the sender within `suspect_after`, in ascending order.
    pub heard: Vec<ids::HostId>,
    /// The workers that the sender owns by a handoff within its epoch, in ascending order, with
    /// the token it uses. The epoch record lists its other workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub owned: Vec<(ids::WorkerId, task::FencingToken)>,
    /// Whether the sender is shutting down.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// The load of the sender. Most heartbeats omit it to save bandwidth, and the receiver keeps
    /// the last value.
    #[serde(default, rename = "room", skip_serializing_if = "Option::is_none")]
    pub load: Option<cluster::HostLoad>,
    /// The usage of each team on the sender's workers. Omitted like `load`, and more often.
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
    /// A periodic message that shows that the sender is alive.
    Heartbeat {
        /// The sender's time when it sent the heartbeat, in milliseconds since its start.
        sent_ms: u64,
        #[serde(rename = "vitals")]
        body: Box<HeartbeatBody>,
    },
    /// The reply to a heartbeat.
    HeartbeatReply {
        /// The `sent_ms` of the heartbeat.
        echo_ms: u64,
        #[serde(rename = "vitals")]
        body: Box<HeartbeatBody>,
    },
    /// Requests the folded state of a peer.
    FoldRequest,
    /// The folded state of the sender.
    FoldReply {
        /// The offset after the last record that the state includes.
        fold_offset: ids::Offset,
        fold: Box<record::FoldState>,
    },
    /// Requests records of the log.
    RecordsRequest {
        /// The offset of the first record.
        from: ids::Offset,
    },
    /// Log records that the sender has read.
    RecordsReply {
        /// Offset and encoded bytes of each record, in ascending order without gaps.
        records: Vec<(ids::Offset, String)>,
    },
    /// Hands over a worker to its new owner. Sent repeatedly until it is acknowledged.
    Handoff {
        /// The epoch of the sender.
        epoch: ids::Epoch,
        worker: ids::WorkerId,
        /// The fencing token that the receiver must use.
        token: task::FencingToken,
        body: HandoffBody,
    },
    /// Acknowledges a handoff.
    HandoffAck {
        /// The epoch of the handoff.
        epoch: ids::Epoch,
        worker: ids::WorkerId,
        /// The token of the handoff.
        token: task::FencingToken,
    },
}

/// The tasks and quota that the owner of a worker hands over with it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffBody {
    /// The tasks that occupy capacity on the worker.
    pub tasks: Vec<HandoffTask>,
    /// The quota of each team that the receiver takes over for these tasks. The sender has lowered
    /// its own holdings by these amounts.
    pub holdings: Vec<(ids::TeamId, resources::Resources)>,
}

/// A task that occupies capacity on a worker that is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffTask {
    pub task: ids::TaskId,
    pub attempt: ids::Attempt,
    pub labels: task::TaskLabels,
    /// The resources that the task occupies.
    pub resources: resources::Resources,
    /// The host that waits for the end of the task.
    pub origin: ids::HostId,
    /// The upper bound of the milliseconds until the lease expires.
    pub lease_left_ms: u64,
}

/// Messages about the placement of tasks, between the host that requests a placement (the origin)
/// and the owner of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceMessage {
    /// Requests that the owner place an attempt of a task. The owner places the same attempt at
    /// most once.
    Place {
        spec: Box<task::TaskSpec>,
        attempt: ids::Attempt,
        /// How long the task may wait at the owner, in milliseconds.
        wait_ms: u64,
        /// The time to the task's deadline in milliseconds; none for no deadline.
        deadline_ms: Option<u64>,
        /// Whether the owner only reserves capacity and waits for [`PlaceMessage::Commit`].
        reserve: bool,
        /// The incarnation of the owner to which the message is addressed. Another process of the
        /// same host ignores it, because it cannot know what the first one did with the attempt.
        to_incarnation: ids::Incarnation,
    },
    /// The owner has the attempt, which waits or was sent to a worker. This is the reply to a
    /// repeated [`PlaceMessage::Place`].
    Accepted { task: ids::TaskId, attempt: ids::Attempt },
    /// The attempt was sent to a worker and the worker's answer was lost. [`PlaceMessage::Ended`]
    /// follows when its end is certain.
    Lost { task: ids::TaskId, attempt: ids::Attempt },
    /// The owner has reserved capacity.
    Reserved { task: ids::TaskId, attempt: ids::Attempt },
    /// The origin requests the start of a reserved attempt.
    Commit { task: ids::TaskId, attempt: ids::Attempt },
    /// The owner has not started the attempt and never will.
    Refused { task: ids::TaskId, attempt: ids::Attempt, refusal: caller::Refusal },
    /// The worker has started the attempt.
    Started { task: ids::TaskId, attempt: ids::Attempt, worker: ids::WorkerId },
    /// The attempt has certainly ended. Sent repeatedly until it is acknowledged.
    Ended {
        task: ids::TaskId,
        attempt: ids::Attempt,
        /// How the attempt ended; none if that is not known.
        end: Option<task::TaskEnd>,
        worker: ids::WorkerId,
    },
    /// The origin acknowledges [`PlaceMessage::Ended`].
    EndedAck { task: ids::TaskId, attempt: ids::Attempt },
    /// The origin cancels the attempt: the owner removes it from the queue, or stops it if it runs.
    Cancel { task: ids::TaskId, attempt: ids::Attempt },
    /// The attempts that the origin still wants. The owner renews no other leases of the origin's
    /// attempts.
    Keep {
        #[serde(with = "by_job")]
        tasks: Vec<(ids::TaskId, ids::Attempt)>,
        /// Whether the owner must send its list of attempts even if it is the same.
        #[serde(default, skip_serializing_if = "is_false")]
        list: bool,
    },
    /// The attempts of one job or of all jobs of the receiver that the owner still tracks. Sent
    /// after a takeover, and as the reply to a [`PlaceMessage::Keep`] that requests the list or
    /// contains other attempts.
    Held {
        /// The epoch of the sender.
        epoch: ids::Epoch,
        /// Whether the sender has finished the takeovers of the epoch, so that the list is complete.
        settled: bool,
        /// The attempts and the worker of each of them.
        tasks: Vec<(ids::TaskId, ids::Attempt, ids::WorkerId)>,
    },
}

/// Messages about the resource limits of teams. The home of a team lends parts of its limit (quota)
/// to the hosts that run the team's tasks (holders).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitMessage {
    /// A holder reports its holding to the home of a team.
    Sync {
        /// The sender's epoch.
        epoch: ids::Epoch,
        /// The sender's version of the declaration.
        version: ids::Version,
        team: ids::TeamId,
        /// The quota that the sender holds, plus `uncertain_usage`.
        #[serde(with = "resources::positional")]
        held: resources::Resources,
        /// The quota that the sender wants to hold, plus `uncertain_usage`.
        #[serde(with = "resources::positional")]
        want: resources::Resources,
        /// The upper bound of what tasks of the team use on workers whose takeover is held up.
        #[serde(default, rename = "doubt", skip_serializing_if = "resources::Resources::is_zero")]
        uncertain_usage: resources::Resources,
        /// The resources that one task needs. The home lends whole multiples of it, because a
        /// holder cannot use less.
        #[serde(with = "resources::positional")]
        unit: resources::Resources,
        /// The sequence number of the last grant that the sender has applied in this epoch.
        seq_seen: u64,
        /// Whether the sender has finished the takeovers of the epoch, except for those that
        /// `uncertain_usage` covers.
        settled: bool,
        /// The sequence number of the report in the sender's process. The home ignores older
        /// reports, because a holding grows without a grant when a worker is taken over.
        number: u64,
    },
    /// The home lends more quota to a holder, or confirms its holding.
    Grant {
        /// The sender's epoch.
        epoch: ids::Epoch,
        /// The version of the declaration for which the home has checked the holding.
        version: ids::Version,
        team: ids::TeamId,
        /// The amount to add to the holding; zero for a confirmation.
        #[serde(with = "resources::positional")]
        amount: resources::Resources,
        /// The sequence number of the grant, which starts from one in each epoch.
        seq: u64,
        /// The part of the reported amount that exceeds what the holder may hold and that it must
        /// return.
        #[serde(with = "resources::positional")]
        give_back: resources::Resources,
        /// The sequence number of the report that the grant answers.
        number: u64,
        /// Whether the home has less than the holders want, so that it waits for returned quota and
        /// needs the acknowledgement of this grant before the next one.
        #[serde(default, skip_serializing_if = "is_false")]
        scarce: bool,
    },
}

/// Messages about jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobMessage {
    /// Requests that a peer hold a copy of a job while the log is unreachable.
    Hold { record: record::JobRecord },
    /// The sender holds a copy of the job.
    HoldAck { job: ids::JobId },
    /// Asks the owner of a job for its status or its end, on behalf of a caller.
    Query {
        /// Matches the reply to the query.
        ticket: ids::Ticket,
        job: ids::JobId,
    },
    /// The reply to a query.
    Status {
        /// The ticket of the query.
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
        /// Matches the answer to the check.
        ticket: ids::Ticket,
        key: DedupeKey,
        /// The task that would run.
        task: ids::TaskId,
    },
    /// The answer of the home to a check.
    Answer {
        /// The ticket of the check.
        ticket: ids::Ticket,
        verdict: DedupeVerdict,
    },
    /// The host that received the request reports its end to the home.
    Ended {
        key: DedupeKey,
        /// The task that ran.
        task: ids::TaskId,
        /// The end; none if the request did not run, so that the key can be used again.
        end: Option<task::TaskEnd>,
    },
    /// The home replicates an entry to its backup, or hands it over to a new home.
    Copy {
        key: DedupeKey,
        /// The task that has the key.
        task: ids::TaskId,
        /// The end, if the request has ended.
        end: Option<task::TaskEnd>,
        /// How many more milliseconds the entry must be kept.
        keep_ms: u64,
    },
    /// Acknowledges a copy.
    CopyAck {
        key: DedupeKey,
        /// The task that has the key.
        task: ids::TaskId,
        /// Whether the copy contained an end.
        ended: bool,
    },
    /// The home acknowledges the report of an end, which is repeated until then.
    EndedAck {
        key: DedupeKey,
        /// The task whose end was reported.
        task: ids::TaskId,
    },
    /// Asks a member whether it has handed over all entries that the sender must hold.
    Ask {
        /// The sender's epoch.
        epoch: ids::Epoch,
    },
    /// The sender has handed over all entries that the receiver must hold.
    Handed {
        /// The sender's epoch.
        epoch: ids::Epoch,
        /// Whether the sender has no entries from earlier epochs because it was not a member.
        new: bool,
        /// The groups of holders that were lost.
        lost: Vec<LostHolders>,
    },
}

/// Members that were lost together. The state of keys whose holders are all among them is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostHolders {
    /// The members that held keys, in ascending order, with their availability zones.
    pub members: Vec<(ids::HostId, ids::ZoneId)>,
    /// The members that were lost.
    pub lost: Vec<ids::HostId>,
    /// How many more milliseconds the loss must be remembered.
    pub keep_ms: u64,
}

/// An idempotency key of a team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DedupeKey {
    pub team: ids::TeamId,
    /// The key as the caller sent it.
    pub key: std::sync::Arc<str>,
}

/// The decision of the home of an idempotency key on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupeVerdict {
    /// The request is the first with its key and may run.
    Run,
    /// A request with the key has ended; its answer is returned.
    Ended { end: task::TaskEnd },
    /// A request with the key is running, or its end is unknown.
    Running,
    /// The home cannot decide, because earlier holders of the key were lost.
    Unknown,
}
