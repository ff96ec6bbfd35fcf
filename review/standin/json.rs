//! A small JSON value, its parser and its writer.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                let _ = write!(out, "{}", *number as i64);
            }
            Json::Num(number) => {
                let _ = write!(out, "{number}");
            }
            Json::Str(text) => write_text(text, out),
            Json::Arr(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(map) => {
                out.push('{');
                for (index, (key, item)) in map.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    item.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            char if (char as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", char as u32);
            }
            char => out.push(char),
        }
    }
    out.push('"');
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn expect(bytes: &[u8], at: &mut usize, word: &str) -> Option<()> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| *at += word.len())
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'n' => expect(bytes, at, "null").map(|()| Json::Null),
        b't' => expect(bytes, at, "true").map(|()| Json::Bool(true)),
        b'f' => expect(bytes, at, "false").map(|()| Json::Bool(false)),
        b'"' => parse_text(bytes, at).map(Json::Str),
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::Arr(items))
        }
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip(bytes, at);
                        expect(bytes, at, ":")?;
                        map.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Obj(map))
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    expect(bytes, at, "\"")?;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let char = char::from_u32(code).unwrap_or('?');
                        out.extend(char.to_string().bytes());
                        *at += 4;
                    }
                    byte => out.push(byte),
                }
                *at += 1;
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
    *at += 1;
    String::from_utf8(out).ok()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// Returns a name as the platform spells it.
pub fn kebab(name: &str) -> String {
    name.replace('_', "-")
}
