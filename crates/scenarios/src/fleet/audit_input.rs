//! Parameters of a scenario for the audits.
use super::{FaultAction, IndexRange, Scenario};
use mallowseam_audit::fleet;
use mallowseam_audit::membership::{self, LinksSince, Pause};
use mallowseam_audit::trace::Micros;
use mallowseam_stand_ins::links::Links;

/// Protocol period, in microseconds, for scenarios whose hosts keep no membership table.
const NO_PERIOD: Micros = 1;

impl Scenario {
    /// Returns the parameters for the audit of the rules.
    pub fn audited_run(&self) -> fleet::Run {
        fleet::Run {
            hosts: self.hosts,
            max_operation_units: self.load.max_units,
            overload_window: self.node_model.overload_window,
        }
    }

    /// Returns the parameters for the audit of membership tables.
    pub fn membership_run(&self) -> membership::Run<Links> {
        membership::Run {
            hosts: self.hosts,
            duration: self.duration,
            period: self.membership.map_or(NO_PERIOD, |m| m.period),
            fault_times: self.faults.iter().map(|fault| fault.at).collect(),
            pauses: self.pauses(),
            links: self.link_history(),
        }
    }

    fn pauses(&self) -> Vec<Pause> {
        let mut pauses = Vec::new();
        for fault in &self.faults {
            match fault.action {
                FaultAction::PauseHosts(range) => {
                    pauses.extend(self.begin_pauses(range, fault.at));
                }
                FaultAction::ResumeHosts(range) => {
                    range
                        .below(self.hosts)
                        .for_each(|host| end_pause(&mut pauses, host, fault.at));
                }
                _ => {}
            }
        }
        pauses
    }

    fn begin_pauses(&self, range: IndexRange, from: Micros) -> impl Iterator<Item = Pause> {
        range.below(self.hosts).map(move |host| Pause {
            host,
            from,
            to: None,
        })
    }

    fn link_history(&self) -> Vec<LinksSince<Links>> {
        let mut links = Links::new(self.zones);
        let mut history = vec![LinksSince {
            from: 0,
            links: links.clone(),
        }];
        for scheduled in &self.faults {
            if let FaultAction::SetLink { from, to, fault } = scheduled.action {
                links.set(from, to, fault);
                history.push(LinksSince {
                    from: scheduled.at,
                    links: links.clone(),
                });
            }
        }
        history
    }
}

/// Ends the last pause of a host. A later resume moves that end, as it does in the schedule of a running host.
fn end_pause(pauses: &mut [Pause], host: u32, at: Micros) {
    if let Some(pause) = pauses.iter_mut().rev().find(|p| p.host == host) {
        pause.to = Some(at);
    }
}
