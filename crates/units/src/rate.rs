//! Request rates and token bucket levels, as integers so that sums of shares are exact.

use quick_error::quick_error;
use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

/// Micro-requests in one request.
const MICRO_PER_REQUEST: f64 = 1e6;
/// Nano-tokens in one admission token. One request costs one token.
const NANO_PER_TOKEN: u64 = 1_000_000_000;
/// Maximum rate (in requests per second) and maximum burst (in requests) of a configuration.
pub const MAX_RATE_OR_BURST: f64 = 1e6;

quick_error! {
    /// Error returned when a number is not a valid rate or burst.
    #[derive(Debug, Clone, PartialEq)]
    pub enum RateError {
        /// The value is zero, negative, not a number, above [`MAX_RATE_OR_BURST`], or smaller than
        /// the resolution of one micro-request.
        OutOfRange(value: String) {
            display(
                "{} is out of range; use a number above 0 and up to {}, such as 20",
                value, MAX_RATE_OR_BURST
            )
        }
    }
}

fn check_range(value: f64) -> Result<f64, RateError> {
    match value {
        v if v > 0.0 && v <= MAX_RATE_OR_BURST && v * MICRO_PER_REQUEST >= 1.0 => Ok(v),
        v => Err(RateError::OutOfRange(format!("{v:?}"))),
    }
}

/// A request rate, stored in micro-requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct RequestRate {
    micro_per_s: u64,
}

impl RequestRate {
    /// Creates a rate of `micro_per_s` micro-requests per second.
    pub const fn from_micro_per_s(micro_per_s: u64) -> Self {
        RequestRate { micro_per_s }
    }

    /// Returns the rate in micro-requests per second.
    pub const fn micro_per_s(self) -> u64 {
        self.micro_per_s
    }

    /// Returns the tokens that a bucket with this refill rate gains in `elapsed_ms` milliseconds.
    ///
    /// One micro-request per second equals one nano-token per millisecond.
    pub fn tokens_accrued(self, elapsed_ms: u64) -> NanoTokens {
        NanoTokens(self.micro_per_s.saturating_mul(elapsed_ms))
    }

    /// Returns the milliseconds that a bucket with this refill rate takes to gain `amount`, rounded
    /// up, or `None` if the rate is zero.
    pub fn ms_to_accrue(self, amount: NanoTokens) -> Option<u64> {
        match self.micro_per_s {
            0 => None,
            rate => Some(amount.0.div_ceil(rate)),
        }
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_s: f64) -> Result<Self, RateError> {
        Ok(RequestRate { micro_per_s: (check_range(per_s)? * MICRO_PER_REQUEST) as u64 })
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.micro_per_s as f64 / MICRO_PER_REQUEST
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

/// A number of admission tokens, such as the level or the capacity of a token bucket, stored in
/// nano-tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct NanoTokens(pub u64);

impl NanoTokens {
    /// Zero tokens.
    pub const ZERO: NanoTokens = NanoTokens(0);
    /// Cost of one request.
    pub const ONE_REQUEST: NanoTokens = NanoTokens(NANO_PER_TOKEN);

    /// Returns the cost of `requests` requests.
    pub fn for_requests(requests: u64) -> Self {
        NanoTokens(NANO_PER_TOKEN.saturating_mul(requests))
    }

    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: NanoTokens) -> Self {
        NanoTokens(self.0.saturating_sub(other.0))
    }

    /// Returns the amount in whole and fractional tokens, for display and statistics.
    pub fn as_tokens(self) -> f64 {
        self.0 as f64 / NANO_PER_TOKEN as f64
    }
}

impl TryFrom<f64> for NanoTokens {
    type Error = RateError;

    fn try_from(tokens: f64) -> Result<Self, RateError> {
        Ok(NanoTokens((check_range(tokens)? * NANO_PER_TOKEN as f64) as u64))
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
