//! Bodies of chat completions, read without a tree of their values: it would be many times the size of the body.

use kernel::prelude::*;
use serde::de::{IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Maximum depth of nested values.
const MAX_DEPTH: usize = 128;

/// What fennelfold reads of a chat completion request; the rest goes to the engine as it is.
#[derive(Deserialize)]
pub(crate) struct Chat<'a> {
    pub(crate) model: Name,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) max_tokens: Option<u64>,
}

/// What every message has to have.
#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow, rename = "role")]
    _role: Cow<'a, str>,
    #[serde(rename = "content")]
    _content: IgnoredAny,
}

impl<'a> Chat<'a> {
    /// Reads a JSON object with at least one message.
    ///
    /// # Errors
    /// [`Code::MalformedBody`] for anything else.
    pub(crate) fn read(body: &'a [u8]) -> Result<Self, Failure> {
        check_depth(body)?;
        let chat: Self = read_object(body)?;
        let are_messages = chat
            .messages
            .iter()
            .all(|text| read_object::<Message<'_>>(text.get().as_bytes()).is_ok());
        if chat.messages.is_empty() || !are_messages {
            let text = "messages: expected at least one, each with role and content";
            return Err(Failure::new(Code::MalformedBody, text));
        }
        Ok(chat)
    }
}

fn malformed(e: impl std::fmt::Display) -> Failure {
    Failure::new(Code::MalformedBody, e.to_string())
}

/// Reads a JSON object; the readers of structs alone would take an array as well.
fn read_object<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, Failure> {
    if text.iter().find(|byte| !byte.is_ascii_whitespace()) != Some(&b'{') {
        return Err(malformed("expected a JSON object"));
    }
    serde_json::from_slice(text).map_err(malformed)
}

/// Checks that values are not nested so deeply that the reader of an engine might fail.
fn check_depth(text: &[u8]) -> Result<(), Failure> {
    let (mut depth, mut in_string, mut is_escaped) = (0_usize, false, false);
    for byte in text {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(malformed(format!("values are nested more than {MAX_DEPTH} deep")));
        }
    }
    Ok(())
}

/// Replaces the model in a request, and sets the priority.
///
/// # Errors
/// [`Code::MalformedBody`] for anything but a JSON object.
pub(crate) fn engine_body(body: &[u8], model: &str, priority: u8) -> Result<Vec<u8>, Failure> {
    let Others(mut text) = read_object(body)?;
    let model = serde_json::to_string(model).map_err(malformed)?;
    text.extend_from_slice(format!("\"model\":{model},\"priority\":{priority}}}").as_bytes());
    Ok(text)
}

/// The beginning of a JSON object with all fields but those that are replaced.
struct Others(Vec<u8>);

impl<'de> Deserialize<'de> for Others {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Fields;

        impl<'de> Visitor<'de> for Fields {
            type Value = Others;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a JSON object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Others, A::Error> {
                use serde::de::Error;
                let mut text = b"{".to_vec();
                while let Some((name, value)) = fields.next_entry::<String, &RawValue>()? {
                    if name == "model" || name == "priority" {
                        continue;
                    }
                    serde_json::to_writer(&mut text, &name).map_err(A::Error::custom)?;
                    text.push(b':');
                    text.extend_from_slice(value.get().as_bytes());
                    text.push(b',');
                }
                Ok(Others(text))
            }
        }

        deserializer.deserialize_map(Fields)
    }
}
