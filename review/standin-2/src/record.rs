//! The record of a case: what was sent, answered and run.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
    is_brief: Arc<AtomicBool>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(fs::File::create(path)?));
        Ok(Self { started: Instant::now(), file, is_brief: Arc::default() })
    }

    /// Leaves out the details from now on: single jobs and tasks.
    pub fn be_brief(&self) {
        self.is_brief.store(true, Ordering::Relaxed);
    }

    /// Writes a line on a single job or task.
    pub fn write_detail(&self, line: &str) {
        if !self.is_brief.load(Ordering::Relaxed) {
            self.write(line);
        }
    }

    /// The time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn write(&self, line: &str) {
        let text = format!("{:8.3} s  {line}\n", self.now().as_secs_f64());
        print!("{text}");
        let mut file = self.file.lock().expect("no thread panics while it writes");
        file.write_all(text.as_bytes()).expect("the record is written");
    }
}
