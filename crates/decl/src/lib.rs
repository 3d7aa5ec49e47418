//! The declaration: the desired configuration of a cell, written by operators.
//!
//! This crate parses, validates and compares declarations. It does not apply them; the order of the
//! log determines which declaration is applied.

mod check;
mod diff;
pub mod errors;
mod locate;
pub mod model;

use pier_core::{ids, keys};

pub use diff::diff;
pub use errors::{Error, Problem, Result};
pub use model::Declaration;

/// The maximum size of the text of a declaration, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 << 20;

/// Parses and validates a declaration, written in JSON5.
///
/// # Errors
/// Returns every error that validation finds, each with its line and column. If the text is not
/// valid JSON5, or contains an unknown key or a value of the wrong type, returns only the first
/// error.
pub fn parse(text: &str) -> std::result::Result<Declaration, Vec<Error>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![Error::TooLarge { size_bytes: text.len(), limit_bytes: MAX_TEXT_BYTES }]);
    }
    let declaration: Declaration = json5::from_str(text).map_err(|error| vec![error.into()])?;
    let findings = check::check(&declaration);
    if findings.is_empty() {
        return Ok(declaration);
    }
    let mut errors = Vec::with_capacity(findings.len());
    for finding in findings {
        let position = locate::locate(text, &finding.path);
        errors.push(Error::Invalid { position, path: finding.path, problem: finding.problem });
    }
    Err(errors)
}

/// Returns the team to which an API key belongs and the id of the key; `None` if no team has the
/// key.
///
/// Every hash is compared, each in constant time, so that the time taken does not reveal which team
/// has the key.
pub fn team_of_key<'a>(
    declaration: &'a Declaration,
    key: &str,
) -> Option<(&'a ids::TeamId, &'a ids::KeyId)> {
    let hash = keys::KeyHash::of(key);
    let mut found = None;
    for team in &declaration.teams {
        for candidate in &team.keys {
            if candidate.sha256.constant_time_eq(&hash) {
                found = Some((&team.name, &candidate.id));
            }
        }
    }
    found
}
