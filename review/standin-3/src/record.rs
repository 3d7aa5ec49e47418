//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record's lock");
        // A record that cannot be written shows when it is read.
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
