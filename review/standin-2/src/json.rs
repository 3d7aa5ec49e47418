//! A small JSON value with a parser and a writer.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value. Numbers are kept as integers: the stand-ins use no fractions.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(i64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Parses a document. None if it is malformed.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Self::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Self::Number(number) => u64::try_from(*number).ok(),
            _ => None,
        }
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(i64::try_from(number).expect("a small number"))
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<Vec<Value>> for Value {
    fn from(items: Vec<Value>) -> Self {
        Self::List(items)
    }
}

/// Creates an object from its fields.
pub fn object<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Object(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => write!(f, "null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                write!(f, "[")?;
                for (index, item) in items.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "," };
                    write!(f, "{separator}{item}")?;
                }
                write!(f, "]")
            }
            Self::Object(fields) => {
                write!(f, "{{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "," };
                    write!(f, "{separator}")?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for character in text.chars() {
        match character {
            '"' | '\\' => write!(f, "\\{character}")?,
            character if u32::from(character) < 0x20 => {
                write!(f, "\\u{:04x}", u32::from(character))?;
            }
            character => write!(f, "{character}")?,
        }
    }
    write!(f, "\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next_is(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.text().map(Value::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let rest = &self.bytes[self.at..];
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = rest.iter().position(|byte| !is_part(byte)).unwrap_or(rest.len());
        self.at += length;
        let text = std::str::from_utf8(&rest[..length]).ok()?;
        if let Ok(number) = text.parse() {
            return Some(Value::Number(number));
        }
        #[allow(clippy::cast_possible_truncation, reason = "fractions are not used")]
        let number = text.parse::<f64>().ok()? as i64;
        Some(Value::Number(number))
    }

    fn text(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            text.extend(char::from_u32(code)?.to_string().into_bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut items = Vec::new();
        if self.next_is(b']') {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.next_is(b']') {
                return Some(Value::List(items));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        if self.next_is(b'}') {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.text()?;
            if !self.next_is(b':') {
                return None;
            }
            fields.insert(key, self.value()?);
            if self.next_is(b'}') {
                return Some(Value::Object(fields));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }
}
