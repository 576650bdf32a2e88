//! Parts of a split write in flight. While any are, a further part must not go to a newer layer.

/// Whether parts of a command are at nodes, or are queued in the scheduler and may be sent at any moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartsInFlight {
    /// Whether any parts are in flight.
    pub(super) any: bool,
    /// Whether any parts in flight go to another layer.
    pub(super) in_other_layer: bool,
}
