//! Parameters of a plan on the command line: `NAME=NUMBER`.
use mallowseam_plans::state::Plan;

/// Number of thousandths in one; plans store their parameters in thousandths.
const THOUSANDTHS: f64 = 1000.0;
/// Weight and priority factor of a new plan, in thousandths.
const DEFAULT_FACTOR: u64 = 1_000;
/// Largest number that the command line accepts; its thousandths are still exact as a float.
const MAX_PARAMETER: f64 = 1e9;

/// Error in a parameter on the command line.
#[derive(Debug, thiserror::Error)]
pub(super) enum ParameterError {
    #[error(
        "invalid parameter `{0}`: expected usual, reserve, limit, burst, weight or price, followed by `=` and a number"
    )]
    Malformed(String),
    #[error("invalid parameter `{0}`: expected a number from 0 to 1000000000")]
    OutOfRange(String),
}

/// Returns the initial parameters of a new plan: no reserve, no limit, weight and priority factor 1.
pub(super) fn new_plan() -> Plan {
    Plan {
        weight: DEFAULT_FACTOR,
        priority_factor: DEFAULT_FACTOR,
        ..Plan::default()
    }
}

/// Sets parameters of a plan, each given as `NAME=NUMBER`.
///
/// # Errors
/// All invalid parameters.
pub(super) fn set_parameters(plan: &mut Plan, texts: &[String]) -> Result<(), Vec<ParameterError>> {
    let errors: Vec<ParameterError> = texts
        .iter()
        .filter_map(|text| set_parameter(plan, text).err())
        .collect();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn set_parameter(plan: &mut Plan, text: &str) -> Result<(), ParameterError> {
    let malformed = || ParameterError::Malformed(text.to_owned());
    let (name, number) = text.split_once('=').ok_or_else(malformed)?;
    let number: f64 = number.parse().map_err(|_| malformed())?;
    if !(0.0..=MAX_PARAMETER).contains(&number) {
        return Err(ParameterError::OutOfRange(text.to_owned()));
    }
    let parameter = match name {
        "usual" => &mut plan.usual_rate,
        "reserve" => &mut plan.reserved_rate,
        "limit" => &mut plan.rate_limit,
        "burst" => &mut plan.burst_units,
        "weight" => &mut plan.weight,
        "price" => &mut plan.priority_factor,
        _ => return Err(malformed()),
    };
    *parameter = (number * THOUSANDTHS).round() as u64;
    Ok(())
}
