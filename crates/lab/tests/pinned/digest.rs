//! Digests of texts, and texts of values that are pinned in several places.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_test_support::Digest;

/// The digest of bytes alone.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let mut digest = Digest::default();
    digest.add_bytes(bytes);
    digest.value()
}

pub(crate) fn pinned(name: &str, text: &str, expected: u64) {
    let found = hash(text.as_bytes());
    assert_eq!(
        found,
        expected,
        "{name}: {found:#018x}, text begins\n{}",
        &text[..text.len().min(600)]
    );
}

pub(crate) fn model_text(model: &ServiceModel) -> String {
    format!(
        "{} {} {} {} {} {} {} {} {}",
        model.cores,
        model.unit_work,
        model.unit_bytes,
        model.queue,
        model.initial_speed,
        model.warm_up,
        model.overload_factor,
        model.overload_window,
        model.tolerated_units
    )
}

/// A model with slow start.
pub(crate) fn service_model() -> ServiceModel {
    ServiceModel {
        cores: 1,
        unit_work: 100_000.0,
        unit_bytes: 4096,
        queue: 8,
        initial_speed: 0.25,
        warm_up: 4_000_000,
        overload_factor: 2.0,
        overload_window: 1_000_000,
        tolerated_units: 2.0,
    }
}
