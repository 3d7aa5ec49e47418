//! Plays one case of the review: `review-standin-3 SCENARIO FOLDER`.
//!
//! It starts the project's hosts as separate processes on loopback addresses, and stand-ins for the
//! platform, the workers and the callers in this one. `TROUBLE=0` leaves the disruption out. The
//! exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod callers;
mod hosts;
mod http;
mod json;
mod platform;
mod record;
mod scenarios;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        eprintln!("cannot write the record");
        return ExitCode::from(2);
    };
    let work = env::temp_dir().join(format!("review-standin-3-{}", std::process::id()));
    if std::fs::create_dir_all(&work).is_err() {
        eprintln!("cannot create a temporary folder");
        return ExitCode::from(2);
    }
    let record = Arc::new(record);
    record.line(&format!("scenario {scenario}, disruption: {has_trouble}"));
    let verdict = scenarios::play(scenario, &work, &record, has_trouble);
    if env::var("KEEP_LOGS").is_err() {
        // A leftover folder does no harm.
        let _ = std::fs::remove_dir_all(&work);
    } else {
        eprintln!("logs are in {}", work.display());
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{scenario}: {text}");
    ExitCode::from(code)
}
