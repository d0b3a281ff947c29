//! Digests of bearer tokens. Settings contain only digests, so that a leaked tree grants no access.
//! Tokens are 256 random bits, so an unsalted SHA-256 is safe against guessing.

use std::{fmt, str};

use serde::{Deserialize, Serialize, de};
use sha2::{Digest as _, Sha256};
use waxwing_core::errors;

/// The SHA-256 digest of a bearer token, displayed as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Computes the digest of a bearer token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl str::FromStr for TokenDigest {
    type Err = errors::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || errors::ParseError::new("token digest", "", "64 hexadecimal digits");
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for TokenDigest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TokenDigest {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = smol_str::SmolStr::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
