//! A small JSON reader and writer, so that the stand-ins need no library.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    pub fn integer(&self) -> Option<i64> {
        if let Self::Number(number) = self { Some(*number as i64) } else { None }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(items) = self { items } else { &[] }
    }
}

/// Returns text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(quoted, "\\u{:04x}", c as u32);
            }
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.take(b']').is_none() {
                    if !items.is_empty() {
                        self.take(b',')?;
                    }
                    items.push(self.value()?);
                }
                Some(Json::List(items))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.take(b'}').is_none() {
                    if !fields.is_empty() {
                        self.take(b',')?;
                    }
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                }
                Some(Json::Object(fields))
            }
            _ => {
                let rest = &self.bytes[self.at..];
                let is_part = |byte: &&u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                let len = rest.iter().take_while(is_part).count();
                self.at += len;
                std::str::from_utf8(&rest[..len]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let value = part.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte));
        let value = value << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= part.len() { digit } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut bytes = Vec::new();
    for part in digits.chunks(4) {
        let value =
            part.iter().fold(0, |value, digit| value << 6 | digit) << (6 * (4 - part.len()));
        bytes.extend(
            (0..part.len().saturating_sub(1)).map(|index| (value >> (16 - 8 * index)) as u8),
        );
    }
    bytes
}
