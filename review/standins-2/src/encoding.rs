//! Base64, percent decoding and the part of JSON that the programs send.

use std::collections::BTreeMap;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            match position <= chunk.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * position) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Decodes a percent-encoded text.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let hex = bytes.get(position + 1..position + 3);
        let value = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match (bytes[position], value) {
            (b'%', Some(value)) => {
                decoded.push(value);
                position += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is no JSON.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut parser = Parser { text, position: 0 };
        parser.value()
    }

    /// Returns a field of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a field of a table as a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns a field of a table as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the entries of a list in a table.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(entries)) => entries,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.position)?.is_ascii_whitespace() {
            self.position += 1;
        }
        self.text.get(self.position).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| self.position += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn word(&mut self) -> Option<Json> {
        let rest = &self.text[self.position..];
        let is_end = |byte: &u8| b",]} \n\r\t".contains(byte);
        let length = rest.iter().position(is_end).unwrap_or(rest.len());
        self.position += length;
        match std::str::from_utf8(&rest[..length]).ok()? {
            "null" => Some(Json::Null),
            "true" => Some(Json::Bool(true)),
            "false" => Some(Json::Bool(false)),
            number => number.parse().ok().map(Json::Number),
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.position)?;
                    self.position += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        while self.peek()? != b']' {
            entries.push(self.value()?);
            if self.peek()? == b',' {
                self.position += 1;
            }
        }
        self.take(b']')?;
        Some(Json::List(entries))
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != b'}' {
            self.peek()?;
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == b',' {
                self.position += 1;
            }
        }
        self.take(b'}')?;
        Some(Json::Table(fields))
    }
}
