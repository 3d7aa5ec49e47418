//! The declaration with which operators drive a cell.
//!
//! The crate parses, checks, compares and prints declarations. It does not apply them; that is
//! decided by the order of the log.

mod check;
mod diff;
pub mod errors;
mod locate;
pub mod model;

use pier_core::{ids, keys};

pub use diff::diff;
pub use errors::{Error, Problem, Result};
pub use model::Declaration;

/// The largest declaration that is read, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 << 20;

/// Reads and checks a declaration, written in JSON with comments.
///
/// # Errors
/// Every mistake that was found, each with its line and column. A text that is not JSON with
/// comments, or has a wrong key or type, yields one error: the first.
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

/// The team to which `key` belongs and the key's id; none if no team has the key.
///
/// Every hash is compared, each in constant time, so the time taken does not tell which team has
/// the key.
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
