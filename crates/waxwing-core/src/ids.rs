//! Newtypes for every name and number that identifies something, so that two kinds can't be mixed.

use std::{fmt, str};

use serde::{Deserialize, Serialize, de};
use smol_str::SmolStr;

use crate::errors;

/// The longest name in bytes; it bounds the size of offers and of log records.
pub const MAX_NAME_BYTES: usize = 64;

fn is_name_char(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident, $words:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $type(SmolStr);

        impl $type {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl str::FromStr for $type {
            type Err = errors::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
                if fits && text.chars().all(is_name_char) {
                    Ok(Self(SmolStr::new(text)))
                } else {
                    Err(errors::ParseError::new(
                        $words,
                        text,
                        "1 to 64 ASCII letters, digits, `-`, `_` or `.`",
                    ))
                }
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

name_type!(
    /// An `AccountName` names a client account.
    AccountName,
    "account name"
);
name_type!(
    /// A `ServiceName` names a service that callers address.
    ServiceName,
    "service name"
);
name_type!(
    /// A `ModelName` names a model that engines load.
    ModelName,
    "model name"
);
name_type!(
    /// A `TierName` names a tier of urgency.
    TierName,
    "tier name"
);
name_type!(
    /// A `TeamName` names a team of operators that owns a subtree of the settings.
    TeamName,
    "team name"
);
name_type!(
    /// An `OperatorName` names one operator of a team.
    OperatorName,
    "operator name"
);
name_type!(
    /// A `RoleName` names an endpoint role.
    RoleName,
    "endpoint role name"
);
name_type!(
    /// A `ProcessName` names one process of the system: an entry, an agent or a control host.
    ProcessName,
    "process name"
);
name_type!(
    /// A `DataCentre` names a data centre.
    DataCentre,
    "data centre name"
);
name_type!(
    /// A `RegionName` names a region.
    RegionName,
    "region name"
);
name_type!(
    /// A `HardwareClass` names a generation of accelerators.
    HardwareClass,
    "hardware class name"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $type:ident, $inner:ty, $words:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub $inner);

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl str::FromStr for $type {
            type Err = errors::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse()
                    .map(Self)
                    .map_err(|_| errors::ParseError::new($words, text, "a decimal number"))
            }
        }
    };
}

number_type!(
    /// An `Incarnation` tells two lives of a process with one name apart; a later start has a
    /// higher number (milliseconds since 1970 at the start, then made unique).
    Incarnation,
    u64,
    "incarnation"
);
number_type!(
    /// A `FencingNumber` orders the deciders that may give engine orders; it only grows.
    FencingNumber,
    u64,
    "fencing number"
);
number_type!(
    /// A `SettingsVersion` is the log position of the last settings change in force; it only
    /// grows.
    SettingsVersion,
    u64,
    "settings version"
);
number_type!(
    /// A `GrantId` names one grant inside one incarnation of an agent.
    GrantId,
    u64,
    "grant id"
);
number_type!(
    /// A `GroupId` names a replicated group of control hosts; group 0 holds the settings.
    GroupId,
    u32,
    "group id"
);
number_type!(
    /// A `MemberId` names a voter or learner of a replicated group.
    MemberId,
    u64,
    "member id"
);
number_type!(
    /// A `TierRank` orders tiers: rank 0 is the most urgent and is served first.
    TierRank,
    u8,
    "tier rank"
);

macro_rules! random_type {
    ($(#[$doc:meta])* $type:ident, $words:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(pub u128);

        impl $type {
            /// Draws a new id at random; 128 bits make a collision negligible.
            #[must_use]
            pub fn random() -> Self {
                Self(rand::random())
            }

            /// Returns the sixteen bytes that messages between processes carry.
            #[must_use]
            pub fn to_bytes(self) -> [u8; 16] {
                self.0.to_be_bytes()
            }

            /// Reads the id from the bytes of a message.
            ///
            /// # Errors
            /// Fails unless there are exactly sixteen bytes.
            pub fn from_slice(bytes: &[u8]) -> Result<Self, errors::ParseError> {
                let array = bytes
                    .try_into()
                    .map_err(|_| errors::ParseError::new($words, "bytes", "exactly 16 bytes"))?;
                Ok(Self(u128::from_be_bytes(array)))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, formatter)
            }
        }

        impl str::FromStr for $type {
            type Err = errors::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let error = || errors::ParseError::new($words, text, "32 hexadecimal digits");
                if text.len() != 32 {
                    return Err(error());
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| error())
            }
        }

        impl Serialize for $type {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

random_type!(
    /// A `RequestId` names one request of a caller for its whole life.
    RequestId,
    "request id"
);
random_type!(
    /// A `ChangeId` names one settings change, so that a resend is recognised.
    ChangeId,
    "change id"
);
random_type!(
    /// A `StoreId` names one life of a data folder, so that a wiped disk is recognised.
    StoreId,
    "store id"
);
