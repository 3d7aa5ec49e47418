//! Limits the number of cells that run at the same time.

use std::sync;

const MAX_CELLS: usize = 4;

static RUNNING_CELLS: sync::Mutex<usize> = sync::Mutex::new(0);
static CELL_ENDED: sync::Condvar = sync::Condvar::new();

/// A permit to run one cell. It is released on drop.
pub struct Permit;

impl Permit {
    /// Waits until fewer than the maximum number of cells run.
    pub fn acquire() -> Self {
        let guard = RUNNING_CELLS.lock().expect("no holder of the lock panics");
        let mut running = CELL_ENDED
            .wait_while(guard, |running| *running >= MAX_CELLS)
            .expect("no holder of the lock panics");
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING_CELLS.lock().expect("no holder of the lock panics") -= 1;
        CELL_ENDED.notify_one();
    }
}
