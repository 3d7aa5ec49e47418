//! Runs a case of the review: `review-case NAME FOLDER`, from the root of the repository.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With `TROUBLE=0`
//! in the environment the case runs without its disruption.

mod cases;
mod cell;
mod client;
mod http;
mod json;
mod random;
mod record;
mod store;
mod workers;

use std::env;
use std::fs;
use std::panic;
use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// What a case has shown.
pub enum Verdict {
    Held,
    /// The rule was broken, and how.
    Broken(String),
}

/// The folder for settings and logs of the hosts, which is removed at the end.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // A folder that is left behind does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = env::temp_dir().join(format!("review-case-{}", std::process::id()));
    let temporary = TemporaryFolder(temporary);
    let record = PathBuf::from(folder).join("record.txt");
    let Ok(record) = Record::create(&record) else {
        eprintln!("cannot write {}", record.display());
        return ExitCode::from(2);
    };
    if fs::create_dir_all(&temporary.0).is_err() {
        return ExitCode::from(2);
    }
    record.write(&format!("case {name}, with its disruption: {has_trouble}"));
    // A panic of the case ends the hosts too, because it drops them.
    let verdict = panic::catch_unwind(|| cases::run(name, has_trouble, &temporary.0, &record));
    match verdict {
        Ok(Some(Verdict::Held)) => {
            record.write("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(Verdict::Broken(how))) => {
            record.write(&format!("the rule was broken: {how}"));
            ExitCode::from(1)
        }
        Ok(None) | Err(_) => {
            record.write("the case could not run");
            ExitCode::from(2)
        }
    }
}
