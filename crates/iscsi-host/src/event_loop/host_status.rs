//! Collects the status report of the host for operators.
use super::EventLoop;
use crate::metrics::{ClassMetrics, NodeMetrics};
use crate::status::{ClassStatus, NodeStatus, PlanStatus, Status, VolumeStatus};
use mallowseam_scheduler::interface::NodeId;
use mallowseam_settings::config;
use mallowseam_sockets::clock::ticks_to_millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
const MICROS_PER_MILLI: f64 = 1000.0;
const TICKS_PER_MILLI: f64 = 10.0;

impl EventLoop {
    /// Returns the state and counters of the host.
    pub(super) fn status(&self) -> Status {
        let config = &self.config;
        let dispatcher = &self.dispatcher;
        let admission = &dispatcher.clients().admission;
        let metrics = dispatcher.metrics();
        let list = self.endpoint_list.version();
        let classes = config.io_classes.iter().zip(metrics.classes());
        let nodes = metrics.nodes().iter().enumerate();
        Status {
            host: config.host.name.clone(),
            up_seconds: ticks_to_millis(dispatcher.now()) as f64 / MILLIS_PER_SECOND,
            draining: admission.is_draining(),
            connections: admission.connection_count(),
            in_flight: dispatcher.in_flight(),
            buffer_bytes: dispatcher.clients().buffered_bytes(),
            list_epoch: list.epoch,
            list_version: list.version,
            commands: metrics.commands(),
            classes: classes
                .map(|(class, metrics)| class_status(class, metrics))
                .collect(),
            nodes: nodes
                .map(|(index, metrics)| self.node_status(index, metrics))
                .collect(),
            plans: config.plans.iter().map(plan_status).collect(),
            volumes: (0..config.volumes.len())
                .map(|index| self.volume_status(index))
                .collect(),
        }
    }

    fn node_status(&self, index: usize, metrics: &NodeMetrics) -> NodeStatus {
        let dispatcher = &self.dispatcher;
        let status = self
            .scheduler
            .node_status(dispatcher.now(), NodeId(index as u32))
            .unwrap_or_default();
        NodeStatus {
            name: dispatcher.nodes().name(index).to_owned(),
            connected: dispatcher.nodes().is_connected(index),
            open: status.active,
            warming_up: status.warming_up,
            in_flight: status.in_flight,
            queued: status.queued,
            window: status.concurrency_window,
            mean_latency_ms: status.mean_latency / TICKS_PER_MILLI,
            failures: status.consecutive_failures,
            attempts: metrics.attempts,
            completed: metrics.completed,
            busy: metrics.busy,
            errors: metrics.errors,
            timed_out: metrics.timed_out,
            not_connected: metrics.not_connected,
            reset: metrics.reset,
            cancelled: metrics.cancelled,
        }
    }

    fn volume_status(&self, index: usize) -> VolumeStatus {
        let metrics = &self.dispatcher.metrics().volumes()[index];
        VolumeStatus {
            name: self.config.volumes[index].name.clone(),
            requested_units: metrics.requested,
            completed_units: metrics.completed,
            quota: self.plans.quota(index),
        }
    }
}

fn class_status(class: &config::IoClass, metrics: &ClassMetrics) -> ClassStatus {
    let quantile_ms = |q: f64| metrics.latencies.value_at_quantile(q) as f64 / MICROS_PER_MILLI;
    ClassStatus {
        name: class.name.clone(),
        admitted: metrics.counts.admitted,
        completed: metrics.counts.completed,
        shed: metrics.counts.shed,
        failed: metrics.counts.failed,
        late: metrics.late,
        median_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
    }
}

fn plan_status(plan: &config::Plan) -> PlanStatus {
    PlanStatus {
        name: plan.name.clone(),
        reserve: plan.reserved_rate,
        limit: plan.rate_limit,
        weight: plan.weight,
    }
}
