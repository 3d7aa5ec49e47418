//! Memory, CPU time and thread count of this process, read from `/proc/self`.

use std::fs;
use std::time;

use crate::errors::{Error, Result};

const STATUS_PATH: &str = "/proc/self/status";
const STAT_PATH: &str = "/proc/self/stat";
/// `USER_HZ`, the unit of the times in `/proc/self/stat`. Linux fixes it at 100 in user space on
/// all architectures in use.
const TICKS_PER_SECOND: u64 = 100;
const MILLIS_PER_TICK: u64 = 1_000 / TICKS_PER_SECOND;
const BYTES_PER_KIB: u64 = 1_024;
/// Index of the user time in `/proc/self/stat`, counted from the field after the program's name.
/// The system time follows it.
const USER_TICKS_FIELD: usize = 11;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// The number of threads.
    pub threads: u64,
    /// CPU time of all threads since the process started, with a resolution of 10 ms.
    pub cpu: time::Duration,
}

/// Reads the resource usage of this process.
///
/// # Errors
/// [`Error::Process`] if a file of `/proc/self` cannot be read or parsed.
pub fn usage() -> Result<Usage> {
    let status = read(STATUS_PATH)?;
    let memory_kib = status_field(&status, "VmRSS:")?;
    let threads = status_field(&status, "Threads:")?;
    let stat = read(STAT_PATH)?;
    Ok(Usage { memory_bytes: memory_kib * BYTES_PER_KIB, threads, cpu: cpu_time(&stat)? })
}

fn read(path: &'static str) -> Result<String> {
    fs::read_to_string(path).map_err(|_| Error::Process { path })
}

fn status_field(status: &str, name: &str) -> Result<u64> {
    for line in status.lines() {
        let Some(rest) = line.strip_prefix(name) else {
            continue;
        };
        if let Some(Ok(number)) = rest.split_whitespace().next().map(str::parse) {
            return Ok(number);
        }
    }
    Err(Error::Process { path: STATUS_PATH })
}

fn cpu_time(stat: &str) -> Result<time::Duration> {
    let parse_error = || Error::Process { path: STAT_PATH };
    // The program's name may contain spaces and parentheses; it ends at the last parenthesis.
    let (_, after_name) = stat.rsplit_once(')').ok_or_else(parse_error)?;
    let mut fields = after_name.split_whitespace().skip(USER_TICKS_FIELD);
    let mut ticks = 0;
    for _ in 0..2 {
        let number: u64 =
            fields.next().and_then(|text| text.parse().ok()).ok_or_else(parse_error)?;
        ticks += number;
    }
    Ok(time::Duration::from_millis(ticks * MILLIS_PER_TICK))
}
