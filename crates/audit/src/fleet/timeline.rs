//! Measurements beyond the rules: the time until hosts had a list, and the counts of each second.
use super::{Audit, SecondSummary, Verdict};
use crate::fleet::record::{Event, Observation};
use crate::trace::Micros;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

impl Audit<'_> {
    /// Measures the time from each start of a host to the first response that it got from the discovery service.
    pub(super) fn measure_list_delays(&self, verdict: &mut Verdict) {
        let mut waiting: BTreeMap<u32, Micros> = BTreeMap::new();
        for Observation { at, event } in self.observations {
            match *event {
                Event::HostStarted { host } => {
                    verdict.host_starts += 1;
                    waiting.insert(host, *at);
                }
                Event::PollServed { host, .. } => {
                    verdict
                        .list_delays
                        .extend(waiting.remove(&host).map(|started_at| at - started_at));
                }
                // The start of a process that was stopped before it had a list is not counted.
                Event::HostStopped { host, .. } => {
                    verdict.host_starts -= u64::from(waiting.remove(&host).is_some());
                }
                _ => {}
            }
        }
    }

    /// Returns the counts of each second.
    pub(super) fn timeline(&self) -> Vec<SecondSummary> {
        let last = self.observations.last().map_or(0, |o| o.at / SECOND) as usize;
        let mut seconds = vec![SecondSummary::default(); last + 1];
        for Observation { at, event } in self.observations {
            let second = &mut seconds[(at / SECOND) as usize];
            match *event {
                Event::NoHostAvailable { .. } => second.no_host += 1,
                Event::PollReceived { queued, .. } => {
                    second.polls += 1;
                    second.queued = second.queued.max(queued);
                }
                Event::NodeConnectionOpened { .. } => second.opened += 1,
                _ => {}
            }
        }
        for operation in self.trace.operations.values() {
            let second = &mut seconds[(operation.sent_at / SECOND) as usize];
            second.requests += 1;
            match operation.responses.first() {
                Some(response) if response.status == 200 => {
                    second.served += 1;
                    let latency = response.at - operation.sent_at;
                    second.within_objective += u32::from(latency <= operation.objective());
                }
                Some(response) if matches!(response.status, 429 | 503) => second.refused += 1,
                _ => {}
            }
        }
        seconds
    }
}
