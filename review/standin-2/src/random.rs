//! Random numbers, from a seed that the record names.

use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// A generator that its clones share (xorshift).
#[derive(Clone)]
pub struct Random {
    pub seed: u64,
    state: Arc<Mutex<u64>>,
}

impl Random {
    /// Starts with the seed, or with the time of day.
    pub fn new(seed: Option<u64>) -> Self {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = seed.unwrap_or(u64::from(since_1970.subsec_nanos())).max(1);
        Self { seed, state: Arc::new(Mutex::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)) }
    }

    pub fn next(&self) -> u64 {
        let mut state = self.state.lock().expect("no thread panics");
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        *state
    }

    pub fn in_range(&self, range: Range<u64>) -> u64 {
        range.start + self.next() % (range.end - range.start)
    }
}
