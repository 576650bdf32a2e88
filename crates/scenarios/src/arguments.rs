//! Arguments that directives of both kinds of scripts share.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_settings::Arguments;

/// Expected value in the diagnostic for an invalid duration.
pub(crate) const DURATION: &str = "a duration such as 3s";

/// Reads one option of `nodes` with its value. Returns whether the next word is such an option.
pub(crate) fn node_option(model: &mut ServiceModel, args: &mut Arguments) -> bool {
    if args.accept("cores") {
        model.cores = args.integer("1 to 64", 1, 64).unwrap_or(1) as usize;
    } else if args.accept("work") {
        model.unit_work = args.duration("a duration: work of a unit").unwrap_or(0) as f64;
    } else if args.accept("queue") {
        model.queue = args.integer("1 to 4096", 1, 4096).unwrap_or(1) as usize;
    } else {
        return false;
    }
    true
}

/// Reads the arguments of `cold`: the slow start of a node, and the load that overloads it meanwhile.
pub(crate) fn cold_start(model: &mut ServiceModel, args: &mut Arguments) {
    model.initial_speed = args
        .percent("a percentage: initial speed")
        .unwrap_or(1.0)
        .max(0.01);
    model.warm_up = args.duration(DURATION).unwrap_or(0);
    model.overload_factor = args.number("a multiple from 1 up", 1.0, 1e6).unwrap_or(1.0);
    model.overload_window = args.duration(DURATION).unwrap_or(0);
    model.tolerated_units = args.number("units", 0.0, 1e9).unwrap_or(0.0);
}
