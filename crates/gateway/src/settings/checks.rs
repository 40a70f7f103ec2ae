//! Checks of the values in a settings file.

/// A value outside its valid range.
#[derive(Debug)]
pub(super) struct InvalidValue {
    /// Its key, qualified with the table.
    pub(super) key: &'static str,
    /// The value found.
    pub(super) value: String,
    /// The valid range, as advice to the operator.
    pub(super) fix: &'static str,
}

pub(super) fn not_empty(key: &'static str, value: &str) -> Result<(), InvalidValue> {
    let found = || format!("'{value}'");
    bounded(!value.is_empty(), key, found, "must not be empty")
}

pub(super) fn one_or_more(key: &'static str, value: u64) -> Result<(), InvalidValue> {
    bounded(value >= 1, key, || value.to_string(), "use 1 or more")
}

/// Requires a number of 0.0 or more; NaN is refused.
pub(super) fn not_negative(key: &'static str, value: f64) -> Result<(), InvalidValue> {
    let fix = "use a number of 0.0 or more";
    bounded(value >= 0.0, key, || value.to_string(), fix)
}

/// Requires a number greater than 0.0; NaN is refused.
pub(super) fn over_zero(key: &'static str, value: f64) -> Result<(), InvalidValue> {
    let fix = "use a number over 0.0";
    bounded(value > 0.0, key, || value.to_string(), fix)
}

/// Requires a share of a whole, from 0.0 to 1.0.
pub(super) fn share(key: &'static str, value: f64) -> Result<(), InvalidValue> {
    let is_share = (0.0..=1.0).contains(&value);
    bounded(is_share, key, || value.to_string(), "use 0.0 to 1.0")
}

fn bounded(
    is_bounded: bool,
    key: &'static str,
    value: impl Fn() -> String,
    fix: &'static str,
) -> Result<(), InvalidValue> {
    if is_bounded {
        return Ok(());
    }
    let value = value();
    Err(InvalidValue { key, value, fix })
}
