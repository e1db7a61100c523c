//! Identifiers, one newtype each, so that a zone can't be passed where a VM is meant.

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Longest accepted identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

quick_error! {
    /// Why a text is not an identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The text is empty or longer than [`MAX_ID_BYTES`].
        Length(bytes: usize) {
            display("an id has 1 to {} characters, this one has {}", MAX_ID_BYTES, bytes)
        }
        /// A character outside the allowed set.
        Character(found: char) {
            display("an id has only a-z, 0-9, '-', '_' and '.', not {:?}", found)
        }
    }
}

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(IdError::Length(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::Character(found)),
        None => Ok(()),
    }
}

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check(text)?;
                Ok($name(text.into()))
            }
        }
    };
}

id_type! {
    /// An entry VM.
    VmId
}
id_type! {
    /// An availability zone.
    ZoneId
}
id_type! {
    /// A region: availability zones that lie close to each other.
    RegionId
}
id_type! {
    /// A service: endpoints that are copies of each other.
    ServiceId
}
id_type! {
    /// A customer, whose rate, burst and fair share are counted together.
    CustomerId
}
id_type! {
    /// A back end: a model engine or a plain service.
    EndpointId
}
id_type! {
    /// A model route or an application route.
    RouteId
}
id_type! {
    /// The name under which operators grant and withdraw one key.
    KeyId
}

/// What names one try of a caller. Any text: it is only compared and passed on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(RequestId(text.into()))
    }
}
