//! Parsing of chat completion bodies. The visitors are hand-written for performance, since every
//! model request is parsed here: message texts are borrowed from the body and copied only once,
//! into the canonical prompt text from which token counts and prefix hashes are computed.

use std::{borrow::Cow, fmt};

use serde::de::{self, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use waxwing_core::{ids, prompts, units};

use crate::errors;

/// The fields of a chat completion body that the entry uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatCall {
    /// The requested model.
    pub model: ids::ModelName,
    /// Whether the response is requested as an event stream.
    pub stream: bool,
    /// The caller's limit of output tokens.
    pub max_tokens: Option<units::TokenCount>,
    /// The canonical prompt text.
    pub prompt: String,
}

/// Parses a chat completion body.
///
/// # Errors
/// Fails if the body isn't valid JSON, or lacks a model or messages.
pub fn parse(body: &[u8]) -> Result<ChatCall, errors::FormatError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let call = reader.deserialize_map(CallVisitor {
        prompt_bytes: body.len(),
    })?;
    reader.end()?;
    Ok(call)
}

/// A string, borrowed from the input if it contains no escapes.
struct TextValue<'de>(Cow<'de, str>);

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = TextValue<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a string")
    }

    fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(TextValue(Cow::Borrowed(text)))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(TextValue(Cow::Owned(text.to_owned())))
    }
}

impl<'de> de::Deserialize<'de> for TextValue<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TextVisitor)
    }
}

struct CallVisitor {
    prompt_bytes: usize,
}

impl<'de> Visitor<'de> for CallVisitor {
    type Value = ChatCall;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object with `model` and `messages`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut model = None;
        let mut stream = false;
        let mut max_tokens = None;
        let mut prompt = None;
        while let Some(TextValue(name)) = map.next_key()? {
            match name.as_ref() {
                "model" => model = Some(map.next_value::<ids::ModelName>()?),
                "stream" => stream = map.next_value::<Option<bool>>()?.unwrap_or_default(),
                "max_tokens" | "max_completion_tokens" => {
                    max_tokens = map.next_value::<Option<u64>>()?.or(max_tokens);
                }
                "messages" if prompt.is_some() => {
                    return Err(de::Error::duplicate_field("messages"));
                }
                "messages" => {
                    let text = String::with_capacity(self.prompt_bytes);
                    prompt = Some(map.next_value_seed(MessageList { text })?);
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(ChatCall {
            model: model.ok_or_else(|| de::Error::missing_field("model"))?,
            stream,
            max_tokens: max_tokens.map(units::TokenCount),
            prompt: prompt.ok_or_else(|| de::Error::missing_field("messages"))?,
        })
    }
}

/// Deserializes the list of messages into the canonical prompt text.
struct MessageList {
    text: String,
}

impl<'de> DeserializeSeed<'de> for MessageList {
    type Value = String;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<String, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for MessageList {
    type Value = String;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of messages with `role` and `content`")
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut list: A) -> Result<String, A::Error> {
        while let Some(()) = list.next_element_seed(MessageSeed(&mut self.text))? {}
        if self.text.is_empty() {
            return Err(de::Error::invalid_length(0, &self));
        }
        Ok(self.text)
    }
}

/// Appends one message to the canonical prompt text.
struct MessageSeed<'a>(&'a mut String);

impl<'de> DeserializeSeed<'de> for MessageSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for MessageSeed<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a message with `role` and `content`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut role: Option<Cow<'de, str>> = None;
        let mut content = ContentText(Cow::Borrowed(""));
        while let Some(TextValue(name)) = map.next_key()? {
            match name.as_ref() {
                "role" => role = Some(map.next_value::<TextValue<'de>>()?.0),
                "content" => content = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let role = role.ok_or_else(|| de::Error::missing_field("role"))?;
        prompts::push_message(self.0, &role, &content.0);
        Ok(())
    }
}

/// The text of a message: a string, null, or the concatenated text parts of a list.
struct ContentText<'de>(Cow<'de, str>);

impl<'de> de::Deserialize<'de> for ContentText<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = ContentText<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a string, null or a list of parts")
    }

    fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(ContentText(Cow::Borrowed(text)))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(ContentText(Cow::Owned(text.to_owned())))
    }

    fn visit_unit<E: de::Error>(self) -> Result<Self::Value, E> {
        Ok(ContentText(Cow::Borrowed("")))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Self::Value, A::Error> {
        let mut text = String::new();
        while let Some(PartText(part)) = parts.next_element()? {
            text.push_str(&part);
        }
        Ok(ContentText(Cow::Owned(text)))
    }
}

/// The text of one content part; empty for parts of other kinds.
struct PartText<'de>(Cow<'de, str>);

impl<'de> de::Deserialize<'de> for PartText<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(PartVisitor)
    }
}

struct PartVisitor;

impl<'de> Visitor<'de> for PartVisitor {
    type Value = PartText<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a content part")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut text = Cow::Borrowed("");
        while let Some(TextValue(name)) = map.next_key()? {
            if name == "text" {
                text = map.next_value::<TextValue<'de>>()?.0;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(PartText(text))
    }
}
