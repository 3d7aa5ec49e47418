//! Reads typed values from a settings file and collects the errors.

use std::time;

use serde_json::{Map, Value};

use super::rows::{FieldMut, Row};
use crate::errors::SettingError;

/// Longer values are truncated in messages.
const MAX_QUOTED_CHARS: usize = 60;

/// A parsed settings file from which values are removed by key. Keys that remain are unknown.
pub(super) struct Reader {
    root: Map<String, Value>,
    known_keys: Vec<String>,
    errors: Vec<SettingError>,
}

impl Reader {
    pub(super) fn new(text: &str) -> Result<Self, Vec<SettingError>> {
        let malformed = |reason: String| vec![SettingError::Malformed { reason }];
        let value: Value = json5::from_str(text).map_err(|error| malformed(error.to_string()))?;
        let Value::Object(root) = value else {
            return Err(malformed("the top level is not an object".to_owned()));
        };
        Ok(Self { root, known_keys: Vec::new(), errors: Vec::new() })
    }

    pub(super) fn required<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.remove(key) else {
            self.report_missing(key, allowed);
            return None;
        };
        self.convert_string(key, allowed, &value, convert)
    }

    pub(super) fn optional<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.remove(key)?;
        self.convert_string(key, allowed, &value, convert)
    }

    /// A required string that messages do not quote.
    pub(super) fn secret<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.remove(key) else {
            self.report_missing(key, allowed);
            return None;
        };
        let converted = value.as_str().and_then(convert);
        if converted.is_none() {
            let found = match value.as_str() {
                Some(text) => format!("a text of {} bytes", text.len()),
                None => type_name(&value).to_owned(),
            };
            self.report_invalid(key, found, allowed);
        }
        converted
    }

    pub(super) fn list<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(Vec<String>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.remove(key) else {
            self.report_missing(key, allowed);
            return None;
        };
        let converted = to_strings(&value).and_then(convert);
        if converted.is_none() {
            self.report_invalid(key, quote(&value), allowed);
        }
        converted
    }

    pub(super) fn number_or_flag(&mut self, row: &Row, field: FieldMut<'_>) {
        let Some(value) = self.remove(row.key) else {
            return;
        };
        if let FieldMut::Bool(flag) = field {
            match value.as_bool() {
                Some(found) => *flag = found,
                None => self.report_invalid(row.key, quote(&value), "true or false"),
            }
            return;
        }
        let in_range = as_whole_number(&value).filter(|found| (row.min..=row.max).contains(found));
        let stored = in_range.and_then(|found| store(found, field));
        if stored.is_none() {
            let allowed = format!("a whole number from {} to {}", row.min, row.max);
            self.report_invalid(row.key, quote(&value), &allowed);
        }
    }

    /// Reports each key that was not read.
    pub(super) fn reject_unknown_keys(&mut self) {
        let remaining = std::mem::take(&mut self.root);
        for (key, value) in remaining {
            let prefix = format!("{key}.");
            let is_section = self.known_keys.iter().any(|known| known.starts_with(&prefix));
            match value {
                Value::Object(section) if is_section => {
                    for inner in section.keys() {
                        self.report_unknown_key(format!("{key}.{inner}"), &prefix);
                    }
                }
                _ if is_section => self.report_invalid(&key, quote(&value), "an object"),
                _ => self.report_unknown_key(key, ""),
            }
        }
    }

    pub(super) fn into_errors(self) -> Vec<SettingError> {
        self.errors
    }

    /// Removes a value. The key of a value in a section has the form `section.key`.
    fn remove(&mut self, key: &str) -> Option<Value> {
        self.known_keys.push(key.to_owned());
        let Some((section, inner)) = key.split_once('.') else {
            return self.root.remove(key);
        };
        self.root.get_mut(section)?.as_object_mut()?.remove(inner)
    }

    fn convert_string<T>(
        &mut self,
        key: &str,
        allowed: &str,
        value: &Value,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let converted = value.as_str().and_then(convert);
        if converted.is_none() {
            self.report_invalid(key, quote(value), allowed);
        }
        converted
    }

    fn report_missing(&mut self, key: &str, allowed: &str) {
        let (key, allowed) = (key.to_owned(), allowed.to_owned());
        self.errors.push(SettingError::Missing { key, allowed });
    }

    fn report_invalid(&mut self, key: &str, found: String, allowed: &str) {
        let (key, allowed) = (key.to_owned(), allowed.to_owned());
        self.errors.push(SettingError::Invalid { key, found, allowed });
    }

    fn report_unknown_key(&mut self, key: String, prefix: &str) {
        let mut siblings = Vec::new();
        for known in &self.known_keys {
            let Some(rest) = known.strip_prefix(prefix) else {
                continue;
            };
            let name = rest.split('.').next().unwrap_or(rest);
            if !siblings.contains(&name) {
                siblings.push(name);
            }
        }
        self.errors.push(SettingError::UnknownKey { key, allowed: siblings.join(", ") });
    }
}

fn store(found: u64, field: FieldMut<'_>) -> Option<()> {
    match field {
        FieldMut::Millis(field) => *field = time::Duration::from_millis(found),
        FieldMut::Usize(field) => *field = usize::try_from(found).ok()?,
        FieldMut::U32(field) => *field = u32::try_from(found).ok()?,
        FieldMut::U64(field) => *field = found,
        FieldMut::Bool(_) => return None,
    }
    Some(())
}

/// A whole number. Numbers such as `1e3` are rejected, because the parser yields a floating-point
/// number for them.
fn as_whole_number(value: &Value) -> Option<u64> {
    value.as_u64()
}

fn to_strings(value: &Value) -> Option<Vec<String>> {
    let mut strings = Vec::new();
    for entry in value.as_array()? {
        strings.push(entry.as_str()?.to_owned());
    }
    Some(strings)
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

fn quote(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return text;
    }
    let mut truncated: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    truncated.push_str("...");
    truncated
}
