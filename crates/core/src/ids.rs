//! Aliases of the identifier types that hosts, callers and the platform exchange.

use std::sync;

/// The id of an entry host in the platform's host list.
pub type HostId = sync::Arc<str>;
/// The id of a worker in the platform's host list.
pub type WorkerId = sync::Arc<str>;
/// The name of an availability zone.
pub type ZoneId = sync::Arc<str>;
/// The name of a rack.
pub type RackId = sync::Arc<str>;
/// The name of a team.
pub type TeamId = sync::Arc<str>;
/// The name of a queue.
pub type QueueId = sync::Arc<str>;
/// The public id of a team's API key. It is not secret.
pub type KeyId = sync::Arc<str>;
/// The id of a job, unique in the cell.
pub type JobId = sync::Arc<str>;
/// The id of a task, unique in the cell. The id of a job's task is `{job}/{index}`.
pub type TaskId = sync::Arc<str>;

/// The number of an epoch of the cell's membership. Zero means that no epoch exists yet.
pub type Epoch = u64;
/// The version of the declaration. Version zero is the empty declaration.
pub type Version = u64;
/// The position of a record in a stream of the log.
pub type Offset = u64;
/// The incarnation number that the process of an entry host draws when it starts.
pub type Incarnation = u64;
/// The number of an attempt to run a task, starting at one.
pub type Attempt = u32;
/// The correlation id that matches an effect with the event that reports its result. A ticket is
/// issued once, see [`TicketSequence`]: a call that is given up and made again gets another one.
pub type Ticket = u64;

/// Issues the tickets of a process. Other hosts answer requests by ticket, and an answer may arrive
/// when the process that asked has ended and its host has started again. Each process numbers its
/// tickets from its random incarnation on, so that such an answer matches none of them.
#[derive(Debug)]
pub struct TicketSequence {
    last: Ticket,
}

impl TicketSequence {
    /// Creates the sequence of a process.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { last: incarnation }
    }

    /// Returns the next ticket.
    pub fn issue(&mut self) -> Ticket {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}
