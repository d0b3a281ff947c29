//! Newtypes for names and ids, so that ids of different kinds can't be mixed.

use std::{fmt, str};

use serde::{Deserialize, Serialize, de};
use smol_str::SmolStr;

use crate::errors;

/// Maximum length of a name in bytes; it bounds the size of offers and of log records.
pub const MAX_NAME_BYTES: usize = 64;

fn is_name_char(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident, $type_name:literal) => {
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
                        $type_name,
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
    /// The name of a client account.
    AccountName,
    "account name"
);
name_type!(
    /// The name of a service, as used by callers.
    ServiceName,
    "service name"
);
name_type!(
    /// The name of a model.
    ModelName,
    "model name"
);
name_type!(
    /// The name of a priority tier.
    TierName,
    "tier name"
);
name_type!(
    /// The name of a team of operators, which owns a subtree of the settings.
    TeamName,
    "team name"
);
name_type!(
    /// The name of an operator in a team.
    OperatorName,
    "operator name"
);
name_type!(
    /// The name of an endpoint role.
    RoleName,
    "endpoint role name"
);
name_type!(
    /// The name of a process: an entry, an agent or a control host.
    ProcessName,
    "process name"
);
name_type!(
    /// The name of a data centre.
    DataCentre,
    "data centre name"
);
name_type!(
    /// The name of a region.
    RegionName,
    "region name"
);
name_type!(
    /// The name of a hardware class, that is, a generation of accelerators.
    HardwareClass,
    "hardware class name"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $type:ident, $inner:ty, $type_name:literal) => {
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
                    .map_err(|_| errors::ParseError::new($type_name, text, "a decimal number"))
            }
        }
    };
}

number_type!(
    /// Distinguishes the runs of a process across restarts. A later run has a higher number: its
    /// start time in milliseconds since the Unix epoch, adjusted to be unique.
    Incarnation,
    u64,
    "incarnation"
);
number_type!(
    /// A fencing token for engine orders. The placement controller (the part of a control host that
    /// issues the orders) gets a higher number each time it becomes active, and orders with a lower
    /// one are refused.
    FencingNumber,
    u64,
    "fencing number"
);
number_type!(
    /// The log index of the last settings change in force; it only increases.
    SettingsVersion,
    u64,
    "settings version"
);
number_type!(
    /// The id of a grant, unique within one incarnation of an agent.
    GrantId,
    u64,
    "grant id"
);
number_type!(
    /// The id of a replicated group of control hosts; group 0 holds the settings.
    GroupId,
    u32,
    "group id"
);
number_type!(
    /// The id of a voter or learner of a replicated group.
    MemberId,
    u64,
    "member id"
);
number_type!(
    /// The priority of a tier: rank 0 is the most urgent and is served first.
    TierRank,
    u8,
    "tier rank"
);

macro_rules! random_type {
    ($(#[$doc:meta])* $type:ident, $type_name:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(pub u128);

        impl $type {
            /// Generates a random id; with 128 bits the probability of a collision is negligible.
            #[must_use]
            pub fn random() -> Self {
                Self(rand::random())
            }

            /// Returns the id as the 16 big-endian bytes used in messages between processes.
            #[must_use]
            pub fn to_bytes(self) -> [u8; 16] {
                self.0.to_be_bytes()
            }

            /// Converts the bytes of a message to an id.
            ///
            /// # Errors
            /// Fails unless there are exactly 16 bytes.
            pub fn from_slice(bytes: &[u8]) -> Result<Self, errors::ParseError> {
                let array = bytes
                    .try_into()
                    .map_err(|_| errors::ParseError::new($type_name, "bytes", "exactly 16 bytes"))?;
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
                let error = || errors::ParseError::new($type_name, text, "32 hexadecimal digits");
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
    /// The id of a caller's request; it stays the same across offers, retries and handovers.
    RequestId,
    "request id"
);
random_type!(
    /// The id of a settings change, by which a repeated submission is detected.
    ChangeId,
    "change id"
);
random_type!(
    /// The id that a data folder gets when it is created, by which a wiped disk is detected.
    StoreId,
    "store id"
);
