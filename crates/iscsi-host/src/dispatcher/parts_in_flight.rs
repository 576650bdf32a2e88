//! What is in flight of a command, as far as its parts must not follow into a newer layer.

/// The parts of a command that may be sent at any moment, or are at nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartsInFlight {
    /// There are such parts.
    pub(super) any: bool,
    /// There are such parts that go to another layer.
    pub(super) in_other_layer: bool,
}
