//! Lookup of the line and column of a value by its path.

use std::fmt;

use serde::de;

use crate::errors;

/// A segment of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Segment {
    /// The value of an object key.
    Key(&'static str),
    /// The item at a list index.
    Index(usize),
}

/// The path from the root of a declaration to a value.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Path(Vec<Segment>);

impl Path {
    /// Returns the path of the declaration itself.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path of the value of `key` in this value.
    pub fn key(&self, key: &'static str) -> Self {
        self.join(Segment::Key(key))
    }

    /// Returns the path of the item at `index` in this value.
    pub fn index(&self, index: usize) -> Self {
        self.join(Segment::Index(index))
    }

    fn join(&self, segment: Segment) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment);
        Self(segments)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (depth, segment) in self.0.iter().enumerate() {
            match segment {
                Segment::Key(key) if depth == 0 => f.write_str(key)?,
                Segment::Key(key) => write!(f, ".{key}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Returns the position of the value at `path`. If the value is not in the text, for example
/// because it has its default, returns the position of the innermost enclosing value that is.
/// Returns `None` if `text` cannot be parsed.
pub(crate) fn locate(text: &str, path: &Path) -> Option<errors::Position> {
    let mut segments = path.0.as_slice();
    loop {
        if let Some(position) = find_position(text, segments) {
            return Some(position);
        }
        segments = segments.split_last()?.1;
    }
}

fn find_position(text: &str, segments: &[Segment]) -> Option<errors::Position> {
    let mut deserializer = json5::Deserializer::from_str(text);
    // The seed fails at the value, and the deserializer adds the position of the value to the
    // error.
    match de::DeserializeSeed::deserialize(ValueLocator { segments }, &mut deserializer) {
        Ok(()) => None,
        Err(error) => error.position().map(errors::Position::from),
    }
}

/// A deserialization seed that fails at the value to be located and skips everything else.
#[derive(Clone, Copy)]
struct ValueLocator<'a> {
    segments: &'a [Segment],
}

impl ValueLocator<'_> {
    fn visit_scalar<E: de::Error>(self) -> Result<(), E> {
        if self.segments.is_empty() {
            return Err(found_error());
        }
        Ok(())
    }
}

fn found_error<E: de::Error>() -> E {
    E::custom("found")
}

impl<'de> de::DeserializeSeed<'de> for ValueLocator<'_> {
    type Value = ();

    fn deserialize<D: de::Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> de::Visitor<'de> for ValueLocator<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E: de::Error>(self, _: bool) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_i64<E: de::Error>(self, _: i64) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_i128<E: de::Error>(self, _: i128) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_u64<E: de::Error>(self, _: u64) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_u128<E: de::Error>(self, _: u128) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_str<E: de::Error>(self, _: &str) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_unit<E: de::Error>(self) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_none<E: de::Error>(self) -> Result<(), E> {
        self.visit_scalar()
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        let Some((segment, rest)) = self.segments.split_first() else {
            return Err(found_error());
        };
        let mut index = 0;
        loop {
            let more = if *segment == Segment::Index(index) {
                items.next_element_seed(ValueLocator { segments: rest })?.is_some()
            } else {
                items.next_element::<de::IgnoredAny>()?.is_some()
            };
            if !more {
                return Ok(());
            }
            index += 1;
        }
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        let Some((segment, rest)) = self.segments.split_first() else {
            return Err(found_error());
        };
        while let Some(key) = entries.next_key::<String>()? {
            if matches!(segment, Segment::Key(expected) if *expected == key) {
                entries.next_value_seed(ValueLocator { segments: rest })?;
                continue;
            }
            entries.next_value::<de::IgnoredAny>()?;
        }
        Ok(())
    }
}
