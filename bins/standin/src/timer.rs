//! A thread that runs actions at set times.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

type Action = Box<dyn FnOnce() + Send>;

struct Entry {
    at: time::Instant,
    seq: u64,
    action: Action,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earliest entry is the greatest, since the heap is a max-heap.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

#[derive(Default)]
struct Queue {
    entries: collections::BinaryHeap<Entry>,
    next_seq: u64,
    stopped: bool,
}

/// Actions that are scheduled for a time.
#[derive(Default)]
pub(crate) struct Timer {
    queue: sync::Mutex<Queue>,
    changed: sync::Condvar,
}

impl Timer {
    /// Runs `action` at `at` on the timer's thread. Actions must not block.
    pub fn run_at(&self, at: time::Instant, action: impl FnOnce() + Send + 'static) {
        let mut queue = self.queue.lock().expect("no holder of the lock panics");
        let seq = queue.next_seq;
        queue.next_seq += 1;
        queue.entries.push(Entry { at, seq, action: Box::new(action) });
        drop(queue);
        self.changed.notify_one();
    }

    /// Ends [`Timer::run`]. Pending actions are dropped.
    pub fn stop(&self) {
        let mut queue = self.queue.lock().expect("no holder of the lock panics");
        queue.stopped = true;
        queue.entries.clear();
        drop(queue);
        self.changed.notify_one();
    }

    /// Runs actions until the timer is stopped.
    pub fn run(&self) {
        let mut queue = self.queue.lock().expect("no holder of the lock panics");
        while !queue.stopped {
            let now = time::Instant::now();
            let Some(next_at) = queue.entries.peek().map(|entry| entry.at) else {
                queue = self.changed.wait(queue).expect("no holder of the lock panics");
                continue;
            };
            if next_at > now {
                let wait = self.changed.wait_timeout(queue, next_at - now);
                queue = wait.expect("no holder of the lock panics").0;
                continue;
            }
            let due = queue.entries.pop();
            drop(queue);
            if let Some(entry) = due {
                (entry.action)();
            }
            queue = self.queue.lock().expect("no holder of the lock panics");
        }
    }
}
