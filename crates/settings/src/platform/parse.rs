//! Parses addresses and hexadecimal numbers, which the JSON of the hosting platform holds as strings.
use std::str::FromStr;

use crate::error::ReadError;

pub(super) fn parse_address<A: FromStr>(address: &str) -> Result<A, ReadError> {
    address.parse().map_err(|_| ReadError::InvalidAddress { text: address.to_owned() })
}

pub(super) fn parse_hexadecimal(number: &str) -> Result<u64, ReadError> {
    u64::from_str_radix(number, 16).map_err(|_| ReadError::NotHexadecimal { text: number.to_owned() })
}
