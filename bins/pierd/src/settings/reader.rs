//! Takes the values out of a settings file and collects the faults.

use std::time;

use serde_json::{Map, Value};

use super::rows::{FieldMut, Row};
use crate::errors::SettingError;

/// The longest value that a message repeats.
const MAX_SHOWN_CHARS: usize = 60;

/// A settings file of which values are taken out by key.
pub(super) struct Reader {
    root: Map<String, Value>,
    known: Vec<String>,
    errors: Vec<SettingError>,
}

impl Reader {
    pub(super) fn new(text: &str) -> Result<Self, Vec<SettingError>> {
        let malformed = |reason: String| vec![SettingError::Malformed { reason }];
        let value: Value = json5::from_str(text).map_err(|error| malformed(error.to_string()))?;
        let Value::Object(root) = value else {
            return Err(malformed("the file is not one object".to_owned()));
        };
        Ok(Self { root, known: Vec::new(), errors: Vec::new() })
    }

    pub(super) fn needed<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.take(key) else {
            self.miss(key, allowed);
            return None;
        };
        self.text(key, allowed, &value, convert)
    }

    pub(super) fn optional<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(key)?;
        self.text(key, allowed, &value, convert)
    }

    /// A needed text that messages do not repeat.
    pub(super) fn secret<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.take(key) else {
            self.miss(key, allowed);
            return None;
        };
        let converted = value.as_str().and_then(convert);
        if converted.is_none() {
            let found = match value.as_str() {
                Some(text) => format!("a text of {} bytes", text.len()),
                None => kind(&value).to_owned(),
            };
            self.reject(key, found, allowed);
        }
        converted
    }

    pub(super) fn list<T>(
        &mut self,
        key: &str,
        allowed: &str,
        convert: impl Fn(Vec<String>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.take(key) else {
            self.miss(key, allowed);
            return None;
        };
        let converted = to_texts(&value).and_then(convert);
        if converted.is_none() {
            self.reject(key, show(&value), allowed);
        }
        converted
    }

    pub(super) fn number(&mut self, row: &Row, slot: FieldMut<'_>) {
        let Some(value) = self.take(row.key) else {
            return;
        };
        if let FieldMut::Bool(flag) = slot {
            match value.as_bool() {
                Some(found) => *flag = found,
                None => self.reject(row.key, show(&value), "true or false"),
            }
            return;
        }
        let in_range = to_whole(&value).filter(|found| (row.min..=row.max).contains(found));
        let placed = in_range.and_then(|found| place(found, slot));
        if placed.is_none() {
            let allowed = format!("a whole number from {} to {}", row.min, row.max);
            self.reject(row.key, show(&value), &allowed);
        }
    }

    /// Records a fault for each key that was not taken.
    pub(super) fn reject_unknown(&mut self) {
        let rest = std::mem::take(&mut self.root);
        for (key, value) in rest {
            let prefix = format!("{key}.");
            let is_section = self.known.iter().any(|known| known.starts_with(&prefix));
            match value {
                Value::Object(section) if is_section => {
                    for inner in section.keys() {
                        self.reject_key(format!("{key}.{inner}"), &prefix);
                    }
                }
                _ if is_section => self.reject(&key, show(&value), "an object"),
                _ => self.reject_key(key, ""),
            }
        }
    }

    pub(super) fn into_errors(self) -> Vec<SettingError> {
        self.errors
    }

    /// Takes a value out. A key of a section is written `section.key`.
    fn take(&mut self, key: &str) -> Option<Value> {
        self.known.push(key.to_owned());
        let Some((section, inner)) = key.split_once('.') else {
            return self.root.remove(key);
        };
        self.root.get_mut(section)?.as_object_mut()?.remove(inner)
    }

    fn text<T>(
        &mut self,
        key: &str,
        allowed: &str,
        value: &Value,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let converted = value.as_str().and_then(convert);
        if converted.is_none() {
            self.reject(key, show(value), allowed);
        }
        converted
    }

    fn miss(&mut self, key: &str, allowed: &str) {
        let (key, allowed) = (key.to_owned(), allowed.to_owned());
        self.errors.push(SettingError::Missing { key, allowed });
    }

    fn reject(&mut self, key: &str, found: String, allowed: &str) {
        let (key, allowed) = (key.to_owned(), allowed.to_owned());
        self.errors.push(SettingError::Invalid { key, found, allowed });
    }

    fn reject_key(&mut self, key: String, prefix: &str) {
        let mut siblings = Vec::new();
        for known in &self.known {
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

fn place(found: u64, slot: FieldMut<'_>) -> Option<()> {
    match slot {
        FieldMut::Millis(field) => *field = time::Duration::from_millis(found),
        FieldMut::Usize(field) => *field = usize::try_from(found).ok()?,
        FieldMut::U32(field) => *field = u32::try_from(found).ok()?,
        FieldMut::U64(field) => *field = found,
        FieldMut::Bool(_) => return None,
    }
    Some(())
}

/// A whole number. The parser yields a floating-point number for texts such as `1e3`.
fn to_whole(value: &Value) -> Option<u64> {
    value.as_u64()
}

fn to_texts(value: &Value) -> Option<Vec<String>> {
    let mut texts = Vec::new();
    for entry in value.as_array()? {
        texts.push(entry.as_str()?.to_owned());
    }
    Some(texts)
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a truth value",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

fn show(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    let mut short: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    short.push_str("...");
    short
}
