//! The table of the numeric and boolean settings.

mod callers;
mod links;
mod process;
mod state;

use std::time;

use persimmonpier::core::clock;

use super::Settings;

/// A reference to the field that holds the value of a setting.
#[derive(Debug)]
pub enum FieldMut<'a> {
    /// A duration, in milliseconds in the file.
    Millis(&'a mut time::Duration),
    /// A number such as a size in bytes or a number of connections.
    Usize(&'a mut usize),
    /// A number of at most 32 bits.
    U32(&'a mut u32),
    /// A number of at most 64 bits.
    U64(&'a mut u64),
    /// A boolean.
    Bool(&'a mut bool),
}

/// A numeric or boolean setting.
#[derive(Debug)]
pub struct Row {
    /// The key. The key of a setting in a section has the form `section.key`.
    pub key: &'static str,
    /// The smallest allowed value.
    pub min: u64,
    /// The largest allowed value.
    pub max: u64,
    /// The meaning of the setting, as `docs/operators.md` shows it.
    pub description: &'static str,
    /// Returns the field that holds the value.
    pub field: fn(&mut Settings) -> FieldMut<'_>,
}

/// A relation that the values of two settings must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// The first value is less than the other one.
    LessThan,
    /// The first value is at most the other one.
    AtMost,
}

impl Relation {
    /// Whether the values have the relation.
    pub fn holds(self, found: u64, other: u64) -> bool {
        match self {
            Self::LessThan => found < other,
            Self::AtMost => found <= other,
        }
    }

    /// The relation as messages show it.
    pub fn as_text(self) -> &'static str {
        match self {
            Self::LessThan => "below",
            Self::AtMost => "at most",
        }
    }
}

/// A constraint between the values of two settings.
#[derive(Debug)]
pub struct Constraint {
    /// The key of the first setting.
    pub key: &'static str,
    /// The required relation of the first value to the other one.
    pub relation: Relation,
    /// The key of the other setting.
    pub other_key: &'static str,
}

const fn constraint(key: &'static str, relation: Relation, other_key: &'static str) -> Constraint {
    Constraint { key, relation, other_key }
}

/// The constraints between settings.
pub const CONSTRAINTS: &[Constraint] = &[
    constraint("callers.max_requests_per_key", Relation::AtMost, "callers.max_requests"),
    constraint("callers.max_connections_per_key", Relation::AtMost, "callers.max_connections"),
    constraint("callers.max_body_bytes", Relation::AtMost, "callers.max_bodies_per_key_bytes"),
    constraint("callers.max_bodies_per_key_bytes", Relation::AtMost, "callers.max_bodies_bytes"),
    constraint("callers.drain_grace_ms", Relation::LessThan, "state.drain_limit_ms"),
    constraint("state.heartbeat_interval_ms", Relation::LessThan, "state.suspect_after_ms"),
    constraint("state.heartbeat_interval_ms", Relation::LessThan, "state.authority_ttl_ms"),
    constraint("state.log_poll_interval_ms", Relation::LessThan, "state.authority_ttl_ms"),
    constraint("state.append_interval_ms", Relation::LessThan, "state.append_timeout_ms"),
    constraint("state.lease_margin_ms", Relation::LessThan, "state.task_lease_ms"),
    constraint("links.peer_backoff_min_ms", Relation::AtMost, "links.peer_backoff_max_ms"),
    constraint("links.host_list_poll_interval_ms", Relation::LessThan, "state.host_list_lag_ms"),
];

/// The value of a numeric setting, in milliseconds for a duration. None if the setting is boolean
/// or does not exist.
pub fn value(settings: &mut Settings, key: &str) -> Option<u64> {
    for row in all() {
        if row.key != key {
            continue;
        }
        return match (row.field)(settings) {
            FieldMut::Millis(field) => Some(clock::millis(*field)),
            FieldMut::Usize(field) => u64::try_from(*field).ok(),
            FieldMut::U32(field) => Some(u64::from(*field)),
            FieldMut::U64(field) => Some(*field),
            FieldMut::Bool(_) => None,
        };
    }
    None
}

/// The settings with their defaults and limits as a Markdown table.
pub fn to_markdown() -> String {
    let mut defaults = Settings::default();
    let mut text = String::from("| key | default | allowed | meaning |\n|---|---|---|---|\n");
    for row in all() {
        let (default, allowed) = match (row.field)(&mut defaults) {
            FieldMut::Bool(flag) => (flag.to_string(), "true, false".to_owned()),
            _ => {
                let default = value(&mut defaults, row.key).unwrap_or(0);
                (default.to_string(), format!("{} to {}", row.min, row.max))
            }
        };
        text.push_str(&format!(
            "| `{}` | {default} | {allowed} | {} |\n",
            row.key, row.description
        ));
    }
    text
}

/// The numeric and boolean settings, in the order of `docs/operators.md`.
pub fn all() -> impl Iterator<Item = &'static Row> {
    let sections = [process::ROWS, callers::ROWS, state::ROWS, links::ROWS];
    sections.into_iter().flatten()
}
