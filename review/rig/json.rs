//! As much JSON as the stand-ins need.

#[derive(Clone, Debug)]
#[allow(dead_code)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(rows) => rows.iter().find(|(k, _)| k == key).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        if let Json::Num(n) = self { Some(*n as u64) } else { None }
    }

    pub fn str(&self) -> Option<&str> {
        if let Json::Str(s) = self { Some(s) } else { None }
    }
}

pub fn parse(text: &[u8]) -> Json {
    let mut at = 0;
    value(text, &mut at).unwrap_or(Json::Null)
}

fn space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    space(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                space(text, at);
                match *text.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(key) = value(text, at)? else { return None };
                        space(text, at);
                        *at += 1;
                        rows.push((key, value(text, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Map(rows))
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                space(text, at);
                match *text.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        b'"' => {
            *at += 1;
            let mut bytes = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => break,
                    b'\\' => {
                        *at += 1;
                        bytes.push(*text.get(*at)?);
                    }
                    byte => bytes.push(byte),
                }
                *at += 1;
            }
            *at += 1;
            Some(Json::Str(String::from_utf8_lossy(&bytes).into_owned()))
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

pub fn quote_unless_list(text: &str) -> String {
    if text.starts_with('[') { text.to_owned() } else { format!("\"{text}\"") }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let n = three.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= three.len() { digit } else { '=' });
        }
    }
    text
}
