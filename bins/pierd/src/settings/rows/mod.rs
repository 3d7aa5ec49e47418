//! The table of the settings that are numbers or truth values.

mod callers;
mod links;
mod process;
mod state;

use std::time;

use persimmonpier::core::clock;

use super::Settings;

/// Where a value is kept.
#[derive(Debug)]
pub enum FieldMut<'a> {
    /// A time, given in milliseconds.
    Millis(&'a mut time::Duration),
    /// A number of bytes, connections or the like.
    Usize(&'a mut usize),
    /// A small number.
    U32(&'a mut u32),
    /// A large number.
    U64(&'a mut u64),
    /// A truth value.
    Bool(&'a mut bool),
}

/// A setting that is a number or a truth value.
#[derive(Debug)]
pub struct Row {
    /// The key. A key of a section is written `section.key`.
    pub key: &'static str,
    /// The smallest value.
    pub min: u64,
    /// The largest value.
    pub max: u64,
    /// What the setting means.
    pub description: &'static str,
    /// Where the value is kept.
    pub field: fn(&mut Settings) -> FieldMut<'_>,
}

/// How one setting must stand to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// Less than the other.
    LessThan,
    /// At most the other.
    AtMost,
}

impl Relation {
    /// Whether the values stand as they must.
    pub fn holds(self, found: u64, other: u64) -> bool {
        match self {
            Self::LessThan => found < other,
            Self::AtMost => found <= other,
        }
    }

    /// The rule in words.
    pub fn as_text(self) -> &'static str {
        match self {
            Self::LessThan => "below",
            Self::AtMost => "at most",
        }
    }
}

/// Two settings that depend on each other.
#[derive(Debug)]
pub struct Constraint {
    /// The first key.
    pub key: &'static str,
    /// How it must stand to the other.
    pub relation: Relation,
    /// The other key.
    pub other_key: &'static str,
}

const fn constraint(key: &'static str, relation: Relation, other_key: &'static str) -> Constraint {
    Constraint { key, relation, other_key }
}

/// The settings that depend on each other.
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

/// The value of a numeric setting; none if there is no such setting.
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

/// The settings as a table in Markdown, with defaults and limits.
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

/// The settings that are numbers or truth values, in the order of the operators' page.
pub fn all() -> impl Iterator<Item = &'static Row> {
    let sections = [process::ROWS, callers::ROWS, state::ROWS, links::ROWS];
    sections.into_iter().flatten()
}
