//! Parsers of numbers with units, without rounding.

/// Suffix of a unit, and its size in the smallest unit.
type Unit = (&'static str, u64);

/// Units of durations, in microseconds.
const DURATION_UNITS: [Unit; 5] = [
    ("us", 1),
    ("ms", 1000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];
/// Maximum duration: a day, in microseconds.
const MAX_DURATION: u64 = 86_400_000_000;
/// Units of sizes, in bytes.
const SIZE_UNITS: [Unit; 5] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
];
/// Maximum size, in bytes.
const MAX_SIZE: u64 = 1 << 60;
/// Maximum number of digits after a decimal point.
const MAX_DECIMALS: usize = 9;
/// Maximum rate, in units per second.
const MAX_RATE: f64 = 1e12;

/// Parses a duration such as `200ms`, in microseconds.
pub(crate) fn parse_duration(text: &str) -> Option<u64> {
    parse_with_unit(text, &DURATION_UNITS).filter(|n| *n <= MAX_DURATION)
}

/// Parses a size such as `4KiB`, in bytes.
pub(crate) fn parse_size(text: &str) -> Option<u64> {
    parse_with_unit(text, &SIZE_UNITS).filter(|n| *n <= MAX_SIZE)
}

/// Parses a rate such as `20/s`, in units per second.
pub(crate) fn parse_rate(text: &str) -> Option<f64> {
    let number: f64 = text.strip_suffix("/s")?.parse().ok()?;
    (number.is_finite() && (0.0..=MAX_RATE).contains(&number)).then_some(number)
}

/// Parses a rate such as `0.125/s`, in thousandths of a unit per second.
pub(crate) fn parse_exact_rate(text: &str) -> Option<u64> {
    let number = text.strip_suffix("/s")?;
    let (whole, decimals) = number.split_once('.').unwrap_or((number, ""));
    let is_digits = |text: &str| text.chars().all(|c| c.is_ascii_digit());
    if whole.is_empty() || decimals.len() > 3 || !is_digits(whole) || !is_digits(decimals) {
        return None;
    }
    let thousandths: u64 = format!("{decimals:0<3}").parse().ok()?;
    whole
        .parse::<u64>()
        .ok()?
        .checked_mul(1000)?
        .checked_add(thousandths)
}

/// Parses a percentage such as `35%`, as a ratio from 0 to 1.
pub(crate) fn parse_percent(text: &str) -> Option<f64> {
    let number: f64 = text.strip_suffix('%')?.parse().ok()?;
    (number.is_finite() && (0.0..=100.0).contains(&number)).then_some(number / 100.0)
}

/// Parses a whole or decimal number with a unit, and returns it in the smallest unit. A number that is not a whole
/// multiple of the smallest unit is rejected, since it is probably a mistake.
fn parse_with_unit(text: &str, units: &[Unit]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, suffix) = text.split_at(split);
    let scale = u128::from(units.iter().find(|u| u.0 == suffix)?.1);
    let (whole, decimals) = number.split_once('.').unwrap_or((number, ""));
    if whole.is_empty() || decimals.len() > MAX_DECIMALS || number.ends_with('.') {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let fraction: u64 = if decimals.is_empty() {
        0
    } else {
        decimals.parse().ok()?
    };
    let denominator = 10u128.pow(decimals.len() as u32);
    let scaled_fraction = u128::from(fraction) * scale;
    if scaled_fraction % denominator != 0 {
        return None;
    }
    u64::try_from(u128::from(whole) * scale + scaled_fraction / denominator).ok()
}
