//! Entry point of `pier`, with the commands `call`, `submit`, `job`, `cancel`, `load` and
//! `compare`.

#![forbid(unsafe_code)]

use std::fs;
use std::io;
use std::io::{Read, Write};
use std::path;
use std::process;
use std::time;

use eyre::WrapErr;
use persimmonpier::core::caller;
use pier::arguments::Command;
use pier::{Error, Result, arguments, call, client, exit, job, load};

fn main() -> eyre::Result<process::ExitCode> {
    let (json, result) = match arguments::parser().run() {
        Command::Call {
            target,
            json,
            body,
            deadline_ms,
            idempotency_key,
            not_repeatable,
            queue,
        } => {
            let repeatable = !not_repeatable;
            let body = body.map(String::into_bytes).map_or_else(|| read_input("-"), Ok);
            let result = body.and_then(|body| {
                let call = call::Call { queue, body, deadline_ms, idempotency_key, repeatable };
                call::send(&target, &call)
            });
            (json, result.map(|response| print_response(json, &response)))
        }
        Command::Submit { target, json, idempotency_key, wait_ms, file } => {
            let result = submit(&target, &file, idempotency_key.as_deref(), wait_ms);
            (json, result.map(|status| print_status(json, &status)))
        }
        Command::Job { target, json, wait_ms, job } => {
            let result = match wait_ms {
                Some(limit_ms) => job::wait(&target, &job, time::Duration::from_millis(limit_ms)),
                None => job::query(&target, &job),
            };
            (json, result.map(|status| print_status(json, &status)))
        }
        Command::Cancel { target, json, job } => {
            let result = job::cancel(&target, &job).map(|status| {
                // The cancellation itself succeeded, so the job's phase does not set the exit code.
                print_status(json, &status).map(|_| exit::OK)
            });
            (json, result)
        }
        Command::Load { json, report, profile } => {
            let result = run_load(&profile, report.as_deref());
            (json, result.map(|summary| print_summary(json, &summary)))
        }
        Command::Compare { summaries } => {
            (false, compare(&summaries).map(|text| print_text(&text)))
        }
    };
    let code = match result {
        Ok(printed) => printed.wrap_err("cannot write the output")?,
        Err(error) => {
            if let (true, Some(refusal)) = (json, error.to_refusal()) {
                println!("{}", serde_json::to_string(&refusal)?);
            }
            eprintln!("pier: {error}");
            error.exit_code()
        }
    };
    Ok(process::ExitCode::from(code))
}

fn read_input(path: &str) -> Result<Vec<u8>> {
    let file_error =
        |error: io::Error| Error::File { path: path.to_owned(), detail: error.to_string() };
    if path != "-" {
        return fs::read(path).map_err(file_error);
    }
    let mut bytes = Vec::new();
    io::stdin().lock().read_to_end(&mut bytes).map_err(file_error)?;
    Ok(bytes)
}

fn read_text(path: &str) -> Result<String> {
    String::from_utf8(read_input(path)?)
        .map_err(|error| Error::InvalidFile { path: path.to_owned(), detail: error.to_string() })
}

fn submit(
    target: &client::Target,
    file: &str,
    idempotency_key: Option<&str>,
    wait_ms: Option<u64>,
) -> Result<caller::JobStatus> {
    let request = job::parse_request(file, &read_text(file)?)?;
    let status = job::submit(target, &request, idempotency_key)?;
    match wait_ms {
        Some(limit_ms) => job::wait(target, &status.job, time::Duration::from_millis(limit_ms)),
        None => Ok(status),
    }
}

fn run_load(profile: &path::Path, report: Option<&path::Path>) -> Result<load::Summary> {
    let path = profile.display().to_string();
    let profile = load::Profile::parse(&path, &read_text(&path)?)?;
    let result = load::run(&profile)?;
    if let Some(report) = report {
        let page = load::html::page(&profile, &result)?;
        fs::write(report, page).map_err(|error| Error::File {
            path: report.display().to_string(),
            detail: error.to_string(),
        })?;
    }
    Ok(result.summary)
}

fn compare(paths: &[path::PathBuf]) -> Result<String> {
    let mut columns = Vec::new();
    for path in paths {
        let path_text = path.display().to_string();
        let summary = serde_json::from_str(&read_text(&path_text)?).map_err(|error| {
            Error::InvalidFile { path: path_text.clone(), detail: error.to_string() }
        })?;
        let name = path.file_stem().map_or(path_text, |stem| stem.to_string_lossy().into_owned());
        columns.push((name, summary));
    }
    Ok(load::compare::table(&columns))
}

fn print_text(text: &str) -> io::Result<u8> {
    io::stdout().lock().write_all(text.as_bytes())?;
    Ok(exit::OK)
}

fn print_response(json: bool, response: &client::Response) -> io::Result<u8> {
    let mut out = io::stdout().lock();
    if json {
        writeln!(out, "{}", serde_json::to_string(&call::to_output(response))?)?;
    } else {
        out.write_all(&response.body)?;
    }
    out.flush()?;
    Ok(exit::OK)
}

fn print_status(json: bool, status: &caller::JobStatus) -> io::Result<u8> {
    let mut out = io::stdout().lock();
    if json {
        writeln!(out, "{}", serde_json::to_string(status)?)?;
    } else {
        writeln!(out, "{}", job::describe(status))?;
    }
    Ok(job::exit_code(status))
}

fn print_summary(json: bool, summary: &load::Summary) -> io::Result<u8> {
    let mut out = io::stdout().lock();
    if json {
        writeln!(out, "{}", serde_json::to_string_pretty(summary)?)?;
    } else {
        write!(out, "{}", summary.to_text())?;
    }
    Ok(if summary.passes_checks() { exit::OK } else { exit::CHECK_FAILED })
}
