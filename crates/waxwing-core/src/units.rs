//! Types for sizes and rates, so that units can't be mixed.

use std::{fmt, ops, str, time};

use serde::{Deserialize, Serialize};

use crate::errors;

macro_rules! size_type {
    ($(#[$doc:meta])* $type:ident, $type_name:literal, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl $type {
            /// The value zero.
            pub const ZERO: Self = Self(0);

            /// Subtracts `other`; the result is zero if `other` is larger.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ops::Add for $type {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl ops::AddAssign for $type {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!("{} ", $unit), self.0)
            }
        }

        impl str::FromStr for $type {
            type Err = errors::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text).trim();
                digits
                    .parse()
                    .map(Self)
                    .map_err(|_| errors::ParseError::new($type_name, text, "a whole number"))
            }
        }
    };
}

size_type!(
    /// A number of model tokens; addition saturates.
    TokenCount,
    "token count",
    "tokens"
);
size_type!(
    /// A number of bytes; addition saturates.
    ByteCount,
    "byte count",
    "bytes"
);

macro_rules! rate_type {
    ($(#[$doc:meta])* $type:ident, $type_name:literal, $unit:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(pub f64);

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!("{:.1} ", $unit), self.0)
            }
        }

        impl str::FromStr for $type {
            type Err = errors::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text).trim();
                match digits.parse::<f64>() {
                    Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self(rate)),
                    _ => Err(errors::ParseError::new(
                        $type_name,
                        text,
                        "a number not below zero",
                    )),
                }
            }
        }
    };
}

rate_type!(
    /// A rate in tokens per second, finite and not negative.
    TokenRate,
    "token rate",
    "tokens/s"
);
rate_type!(
    /// A rate in requests per second, finite and not negative.
    RequestRate,
    "request rate",
    "requests/s"
);

/// How long work takes on a host at the moment, relative to the usual time: 1 is usual, and work
/// takes two and a half times as long at 2.5. Written in percent.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct HostPace(f64);

impl HostPace {
    /// Smallest pace in percent. Zero or less would mean that work takes no time.
    const MIN_PERCENT: f64 = 1.0;

    /// Largest pace in percent. A host a hundred times slower than usual serves nobody in time, so
    /// a larger figure is an error of its sender.
    const MAX_PERCENT: f64 = 10_000.0;

    /// Builds a pace from percent; `None` if it is not a number from 1 to 10,000.
    #[must_use]
    pub fn from_percent(percent: f64) -> Option<Self> {
        let allowed = Self::MIN_PERCENT..=Self::MAX_PERCENT;
        allowed.contains(&percent).then_some(Self(percent / 100.0))
    }

    /// Returns the pace relative to the usual time.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.0
    }

    /// Returns the pace in whole percent, as messages carry it.
    #[must_use]
    pub fn percent(self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is from 1 to 10,000"
        )]
        let percent = (self.0 * 100.0).round() as u32;
        percent
    }
}

impl fmt::Display for HostPace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} %", self.percent())
    }
}

impl str::FromStr for HostPace {
    type Err = errors::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.trim().trim_end_matches('%').trim_end();
        let pace = digits.parse().ok().and_then(Self::from_percent);
        pace.ok_or_else(|| {
            errors::ParseError::new("host pace", text, "a number of percent from 1 to 10000")
        })
    }
}

/// A share of a latency objective: 0.3 of an objective of 500 ms is 150 ms.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Deserialize)]
#[serde(try_from = "f64")]
pub struct ObjectiveShare(f64);

impl ObjectiveShare {
    /// Largest share; callers give up before ten objectives are over.
    const MAX: f64 = 10.0;

    /// Returns this share of an objective.
    #[must_use]
    pub fn of(self, objective: time::Duration) -> time::Duration {
        objective.mul_f64(self.0)
    }

    /// Returns the part `part` of this share, from 0 to 1.
    #[must_use]
    pub fn part(self, part: f64) -> Self {
        Self(self.0 * part.clamp(0.0, 1.0))
    }

    /// Tells whether it is no time at all.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self.0 <= 0.0
    }
}

impl TryFrom<f64> for ObjectiveShare {
    type Error = errors::ParseError;

    fn try_from(share: f64) -> Result<Self, Self::Error> {
        match (0.0..=Self::MAX).contains(&share) {
            true => Ok(Self(share)),
            false => Err(errors::ParseError::new(
                "share of an objective",
                &share.to_string(),
                "a number from 0 to 10",
            )),
        }
    }
}

impl fmt::Display for ObjectiveShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} objectives", self.0)
    }
}

impl str::FromStr for ObjectiveShare {
    type Err = errors::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("objectives").unwrap_or(text).trim();
        let share = digits.parse().unwrap_or(f64::NAN);
        Self::try_from(share)
            .map_err(|error| errors::ParseError::new(error.expected, text, error.allowed))
    }
}
