//! Identifier newtypes: one type per kind, so that a zone id can't be passed as a VM id.

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

quick_error! {
    /// Error returned when a string is not a valid identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The string is empty or longer than [`MAX_ID_BYTES`].
        Length(bytes: usize) {
            display("an id must have 1 to {} bytes, this one has {}", MAX_ID_BYTES, bytes)
        }
        /// The string contains a character outside the allowed set.
        Character(found: char) {
            display("an id can contain only a-z, 0-9, '-', '_' and '.', found {:?}", found)
        }
    }
}

fn validate(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(IdError::Length(text.len()));
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !is_allowed(*c)) {
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
            /// Returns the identifier as a string slice.
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
                validate(text)?;
                Ok($name(text.into()))
            }
        }
    };
}

id_type! {
    /// Identifies a VM of the fleet, which accepts requests from callers.
    VmId
}
id_type! {
    /// Identifies an availability zone.
    ZoneId
}
id_type! {
    /// Identifies a region, which is a group of availability zones near each other.
    RegionId
}
id_type! {
    /// Identifies a service, which is a set of interchangeable endpoints (replicas).
    ServiceId
}
id_type! {
    /// Identifies a customer: the unit of rate limits, bursts and fair shares.
    CustomerId
}
id_type! {
    /// Identifies an endpoint: one replica of a model engine or of a plain service.
    EndpointId
}
id_type! {
    /// Identifies a route: a model route, an application route or a route by host and path.
    RouteId
}
id_type! {
    /// Identifies one API key of a customer, for operators who grant and revoke keys.
    KeyId
}

/// Identifies all attempts of the same request: a hash of what its caller sent.
///
/// Printed as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Fingerprint)
    }
}

/// Defines an id that is only compared and forwarded, so that any string is valid.
macro_rules! opaque_id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok($name(text.into()))
            }
        }
    };
}

opaque_id_type! {
    /// Identifies a segment of a prompt, such as a system prompt or a document, that requests may
    /// share.
    SegmentId
}
opaque_id_type! {
    /// Identifies one request attempt of a caller.
    RequestId
}
opaque_id_type! {
    /// Version of the software that an endpoint runs.
    SoftwareVersion
}
