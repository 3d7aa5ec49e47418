//! Runs the commands.

use std::fs;
use std::io::Read;
use std::path;
use std::time;

use persimmonpier::core::ids;
use persimmonpier::decl;
use persimmonpier::link::operator;
use persimmonpier::state::report;
use tokio::runtime;

use crate::arguments::{Command, Target};
use crate::errors::{Error, Result};
use crate::output::Output;

const MAX_TOKEN_FILE_BYTES: usize = 4_096;

/// Runs a command.
///
/// # Errors
/// The reason why the command failed. [`Error::exit_status`] says whether the cell may have
/// changed.
pub fn run(command: &Command) -> Result<Output> {
    match command {
        Command::Check { file, .. } => check(file),
        Command::Diff { target, file } => diff(target, file),
        Command::Apply { target, after_lost_history: true, author, file, .. } => {
            restart(target, author, file)
        }
        Command::Apply { target, base_version, author, file, .. } => {
            apply(target, *base_version, author, file)
        }
        Command::Show { target } => {
            let shown = call(target, async |client| client.show().await)?;
            Ok(Output::Declaration(shown))
        }
        Command::Status { target } => {
            let status = call(target, async |client| client.status().await)?;
            Ok(Output::Status(Box::new(status)))
        }
        Command::Audit { target } => {
            Ok(Output::Audit(call(target, async |client| client.audit().await)?))
        }
        Command::Explain { target, task } => Ok(Output::Explanation(explain(target, task)?)),
    }
}

fn check(file: &path::Path) -> Result<Output> {
    let (_, declaration) = read_declaration(file)?;
    Ok(Output::Checked {
        teams: declaration.teams.len(),
        queues: declaration.queues.len(),
        services: declaration.services.len(),
        jobs: declaration.jobs.len(),
    })
}

fn diff(target: &Target, file: &path::Path) -> Result<Output> {
    let (_, new) = read_declaration(file)?;
    let shown = call(target, async |client| client.show().await)?;
    let old = parse_in_force(&shown)?;
    Ok(Output::Diff { version: shown.version, changes: decl::diff(&old, &new) })
}

fn apply(
    target: &Target,
    base_version: Option<ids::Version>,
    author: &str,
    file: &path::Path,
) -> Result<Output> {
    let (text, _) = read_declaration(file)?;
    // A wrong token or an unreachable host is detected here, before anything is sent that could
    // change the cell.
    let shown = call(target, async |client| client.show().await)?;
    let base_version = base_version.unwrap_or(shown.version);
    let applied = call(target, async |client| client.apply(base_version, author, &text).await)
        .map_err(mark_mutating)?;
    Ok(Output::Applied(applied))
}

fn restart(target: &Target, author: &str, file: &path::Path) -> Result<Output> {
    let (text, _) = read_declaration(file)?;
    let applied =
        call(target, async |client| client.restart(author, &text).await).map_err(mark_mutating)?;
    Ok(Output::Applied(applied))
}

/// Asks the host, and then the host that its answer refers to. The answer of the first host is used
/// if the second one does not answer.
fn explain(target: &Target, task: &str) -> Result<report::Explanation> {
    let first = call(target, async |client| client.explain(task).await)?;
    let Some(host) = first.ask_address.as_ref().and_then(|address| address.parse().ok()) else {
        return Ok(first);
    };
    let second = Target { host, ..target.clone() };
    Ok(call(&second, async |client| client.explain(task).await).unwrap_or(first))
}

/// Parses the declaration in force. Version 0 is the empty declaration and has no text.
fn parse_in_force(shown: &operator::ShowResponse) -> Result<decl::Declaration> {
    if shown.version == 0 {
        return Ok(decl::Declaration::default());
    }
    decl::parse(&shown.text).map_err(|errors| {
        let first_error = errors.first().map_or_else(String::new, ToString::to_string);
        Error::BadDeclarationInForce { version: shown.version, first_error }
    })
}

fn read_declaration(file: &path::Path) -> Result<(String, decl::Declaration)> {
    let text = read_file(file, decl::MAX_TEXT_BYTES)?;
    match decl::parse(&text) {
        Ok(declaration) => Ok((text, declaration)),
        Err(errors) => Err(Error::BadDeclaration { file: file.to_owned(), errors }),
    }
}

fn read_token(file: &path::Path) -> Result<String> {
    let text = read_file(file, MAX_TOKEN_FILE_BYTES)?;
    let token = text.trim();
    if token.is_empty() || token.contains(char::is_whitespace) {
        return Err(Error::InvalidTokenFile { file: file.to_owned() });
    }
    Ok(token.to_owned())
}

fn read_file(file: &path::Path, limit_bytes: usize) -> Result<String> {
    let to_error = |source| Error::Unreadable { file: file.to_owned(), source };
    let opened = fs::File::open(file).map_err(to_error)?;
    let mut text = String::new();
    let limit = u64::try_from(limit_bytes).unwrap_or(u64::MAX);
    opened.take(limit.saturating_add(1)).read_to_string(&mut text).map_err(to_error)?;
    if text.len() > limit_bytes {
        return Err(Error::TooLarge { file: file.to_owned(), limit_bytes });
    }
    Ok(text)
}

fn to_call_error(source: persimmonpier::link::Error) -> Error {
    Error::Call { source, may_change_cell: false }
}

/// Marks a failed call as one that may have changed the cell.
fn mark_mutating(error: Error) -> Error {
    match error {
        Error::Call { source, .. } => Error::Call { source, may_change_cell: true },
        error => error,
    }
}

fn call<T>(
    target: &Target,
    request: impl AsyncFnOnce(&operator::OperatorClient) -> persimmonpier::link::Result<T>,
) -> Result<T> {
    let token = read_token(&target.token_file)?;
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)?;
    runtime.block_on(async {
        let timeout = time::Duration::from_millis(target.timeout_ms);
        let client = operator::OperatorClient::new(&target.host.to_string(), &token, timeout)
            .map_err(to_call_error)?;
        request(&client).await.map_err(to_call_error)
    })
}
