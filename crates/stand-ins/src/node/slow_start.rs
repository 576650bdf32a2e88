//! Load of a stand-in node in slow start, and overload by it.
use super::Lifecycle;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Micros;
use std::collections::VecDeque;

/// Load that a node received in its slow start, and whether it was overloaded.
#[derive(Default)]
pub(super) struct SlowStart {
    /// Times and units of the commands received within the overload window.
    received: VecDeque<(Micros, f64)>,
    overloaded: bool,
}

impl SlowStart {
    /// Counts units that a node receives. Returns whether they overload it.
    pub(super) fn receive(
        &mut self,
        units: f64,
        now: Micros,
        lifecycle: Lifecycle,
        model: &ServiceModel,
    ) -> bool {
        let age = now - lifecycle.started_at;
        if lifecycle.is_first_process() || age > model.warm_up {
            return false;
        }
        self.received.push_back((now, units));
        let expired = |(at, _): &(Micros, f64)| at + model.overload_window < now;
        while self.received.front().is_some_and(expired) {
            self.received.pop_front();
        }
        let sum: f64 = self.received.iter().map(|(_, units)| units).sum();
        if sum > model.overload_units(age) {
            self.overloaded = true;
            return true;
        }
        false
    }

    /// Returns whether the node crashed from overload. Such a node stays down.
    pub(super) fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Clears the load: a new process has received nothing.
    pub(super) fn on_restart(&mut self) {
        self.received.clear();
    }
}
