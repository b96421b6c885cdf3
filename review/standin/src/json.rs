//! A minimal JSON value with a parser and a writer, so that the stand-ins need no library.

use std::fmt::{self, Display, Formatter, Write};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; returns nothing if it isn't valid JSON.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == text.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns a field as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(value) => Some(*value as u64),
            _ => None,
        }
    }

    /// Returns a field as a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(value) => Some(value),
            _ => None,
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<u64> for Json {
    fn from(value: u64) -> Self {
        Self::Number(value as f64)
    }
}

/// Creates an object.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.map(|(key, value)| (key.to_owned(), value)).into())
}

impl Display for Json {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(value) if value.fract() == 0.0 => write!(f, "{}", *value as i64),
            Self::Number(value) => write!(f, "{value}"),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                f.write_char('[')?;
                for (index, item) in items.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write!(f, "{item}")?;
                }
                f.write_char(']')
            }
            Self::Object(fields) => {
                f.write_char('{')?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn write_text(f: &mut Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for symbol in text.chars() {
        match symbol {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            symbol if u32::from(symbol) < 0x20 => write!(f, "\\u{:04x}", u32::from(symbol))?,
            symbol => f.write_char(symbol)?,
        }
    }
    f.write_char('"')
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while matches!(self.text.get(self.at), Some(b' ' | b'\n' | b'\r' | b'\t')) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        let rest = self.text.get(self.at..)?;
        if !rest.starts_with(word.as_bytes()) {
            return None;
        }
        self.at += word.len();
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.text.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            self.skip_space();
            match self.text.get(self.at)? {
                b'}' => break,
                b',' => self.at += 1,
                _ => {
                    let key = self.string()?;
                    self.skip_space();
                    self.take(":")?;
                    fields.push((key, self.value()?));
                }
            }
        }
        self.at += 1;
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.skip_space();
            match self.text.get(self.at)? {
                b']' => break,
                b',' => self.at += 1,
                _ => items.push(self.value()?),
            }
        }
        self.at += 1;
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            self.at += 4;
                            let symbol = char::from_u32(code).unwrap_or('?');
                            bytes.extend(symbol.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while matches!(
            self.text.get(self.at),
            Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
        ) {
            self.at += 1;
        }
        let digits = std::str::from_utf8(&self.text[begin..self.at]).ok()?;
        digits.parse().ok().map(Json::Number)
    }
}
