//! Request rates and bucket levels as integers, so that sums of shares are exact.

use quick_error::quick_error;
use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

/// Micro-requests in a request.
const MICRO: f64 = 1e6;
/// Nano-tokens in a token; one request costs one token.
const NANO_PER_TOKEN: u64 = 1_000_000_000;
/// Highest rate and burst that a configuration may name, in requests (per second).
pub const MAX_REQUESTS: f64 = 1e6;

quick_error! {
    /// Why a number is not a rate or a burst.
    #[derive(Debug, Clone, PartialEq)]
    pub enum RateError {
        /// Zero, negative, not a number or above [`MAX_REQUESTS`].
        OutOfRange(value: String) {
            display("{} is not above 0 and at most {}; write a number such as 20", value, MAX_REQUESTS)
        }
    }
}

fn checked(value: f64) -> Result<f64, RateError> {
    match value {
        v if v > 0.0 && v <= MAX_REQUESTS && v * MICRO >= 1.0 => Ok(v),
        v => Err(RateError::OutOfRange(format!("{v:?}"))),
    }
}

/// A request rate, in micro-requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct RequestRate {
    micro_per_s: u64,
}

impl RequestRate {
    /// A rate of `micro_per_s` micro-requests per second.
    pub const fn from_micro_per_s(micro_per_s: u64) -> Self {
        RequestRate { micro_per_s }
    }

    /// Micro-requests per second.
    pub const fn micro_per_s(self) -> u64 {
        self.micro_per_s
    }

    /// What this rate mints in `elapsed_ms`: a micro-request per second is a nano-token per ms.
    pub fn minted(self, elapsed_ms: u64) -> NanoTokens {
        NanoTokens(self.micro_per_s.saturating_mul(elapsed_ms))
    }

    /// Milliseconds until this rate has minted `amount`, rounded up; `None` for a rate of zero.
    pub fn ms_to_mint(self, amount: NanoTokens) -> Option<u64> {
        match self.micro_per_s {
            0 => None,
            rate => Some(amount.0.div_ceil(rate)),
        }
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_s: f64) -> Result<Self, RateError> {
        Ok(RequestRate { micro_per_s: (checked(per_s)? * MICRO) as u64 })
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.micro_per_s as f64 / MICRO
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", f64::from(*self))
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let out_of_range = || RateError::OutOfRange(text.to_owned());
        let number = text.strip_suffix("/s").unwrap_or(text);
        number.parse::<f64>().map_err(|_| out_of_range())?.try_into()
    }
}

/// An amount of admission tokens, in nano-tokens: a bucket's level or capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct NanoTokens(pub u64);

impl NanoTokens {
    /// Nothing.
    pub const ZERO: NanoTokens = NanoTokens(0);
    /// What one request costs.
    pub const ONE_REQUEST: NanoTokens = NanoTokens(NANO_PER_TOKEN);

    /// The cost of `requests` requests.
    pub fn requests(requests: u64) -> Self {
        NanoTokens(NANO_PER_TOKEN.saturating_mul(requests))
    }

    /// The difference, or nothing where `other` is the larger.
    pub fn saturating_sub(self, other: NanoTokens) -> Self {
        NanoTokens(self.0.saturating_sub(other.0))
    }

    /// The amount in tokens, for display and statistics.
    pub fn as_tokens(self) -> f64 {
        self.0 as f64 / NANO_PER_TOKEN as f64
    }
}

impl TryFrom<f64> for NanoTokens {
    type Error = RateError;

    fn try_from(tokens: f64) -> Result<Self, RateError> {
        Ok(NanoTokens((checked(tokens)? * NANO_PER_TOKEN as f64) as u64))
    }
}

impl From<NanoTokens> for f64 {
    fn from(amount: NanoTokens) -> f64 {
        amount.as_tokens()
    }
}

impl FromStr for NanoTokens {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        text.parse::<f64>().map_err(|_| RateError::OutOfRange(text.to_owned()))?.try_into()
    }
}

impl fmt::Display for NanoTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_tokens())
    }
}

impl Add for NanoTokens {
    type Output = NanoTokens;

    fn add(self, other: NanoTokens) -> NanoTokens {
        NanoTokens(self.0 + other.0)
    }
}

impl AddAssign for NanoTokens {
    fn add_assign(&mut self, other: NanoTokens) {
        self.0 += other.0;
    }
}

impl Sub for NanoTokens {
    type Output = NanoTokens;

    fn sub(self, other: NanoTokens) -> NanoTokens {
        NanoTokens(self.0 - other.0)
    }
}

impl SubAssign for NanoTokens {
    fn sub_assign(&mut self, other: NanoTokens) {
        self.0 -= other.0;
    }
}
