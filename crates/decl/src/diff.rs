//! Comparison of declarations.

use std::collections;

use serde_json::Value;

use crate::model;

/// Returns the differences between two declarations, one line each, in a deterministic order. Key
/// hashes are omitted.
pub fn diff(old: &model::Declaration, new: &model::Declaration) -> Vec<String> {
    let old = flatten(old);
    let new = flatten(new);
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    let mut lines = Vec::new();
    for path in paths {
        match (old.get(path), new.get(path)) {
            (Some(before), Some(after)) if before == after => {}
            (Some(before), Some(after)) if is_secret(path) => {
                debug_assert_ne!(before, after);
                lines.push(format!("{path}: changed"));
            }
            (Some(before), Some(after)) => lines.push(format!("{path}: {before} -> {after}")),
            (Some(_), None) if is_secret(path) => lines.push(format!("{path}: removed")),
            (None, Some(_)) if is_secret(path) => lines.push(format!("{path}: added")),
            (Some(before), None) => lines.push(format!("{path}: {before} removed")),
            (None, Some(after)) => lines.push(format!("{path}: {after} added")),
            (None, None) => {}
        }
    }
    lines
}

fn is_secret(path: &str) -> bool {
    path.ends_with(".sha256")
}

/// Maps the path of each scalar value of a declaration to the value. A list item is identified by
/// its name or id if it has one, so that reordering is not a difference.
fn flatten(declaration: &model::Declaration) -> collections::BTreeMap<String, String> {
    let mut values = collections::BTreeMap::new();
    // All maps in a declaration have string keys, so serialization to JSON cannot fail.
    let value = serde_json::to_value(declaration).expect("a declaration serializes to JSON");
    collect_scalars(String::new(), &value, &mut values);
    values
}

fn collect_scalars(
    path: String,
    value: &Value,
    values: &mut collections::BTreeMap<String, String>,
) {
    match value {
        Value::Null => {}
        Value::Object(entries) => {
            for (key, entry) in entries {
                collect_scalars(join_path(&path, key), entry, values);
            }
        }
        Value::Array(items) => {
            for item in items {
                collect_scalars(join_path(&path, &item_label(item)), item, values);
            }
        }
        scalar => {
            values.insert(path, scalar.to_string());
        }
    }
}

fn item_label(item: &Value) -> String {
    for key in ["name", "id"] {
        if let Some(label) = item.get(key).and_then(Value::as_str) {
            return label.to_owned();
        }
    }
    item.as_str().map_or_else(|| item.to_string(), str::to_owned)
}

fn join_path(path: &str, segment: &str) -> String {
    if path.is_empty() { segment.to_owned() } else { format!("{path}.{segment}") }
}
