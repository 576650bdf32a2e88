//! A host that follows the control service: which version it acts on, and its parts of limits.
use crate::lend::{LOAN, MARGIN, Share};
use crate::state::State;
use crate::trail::{BEGINNING, Trail};
use crate::words::{ToControl, ToMember};
use crate::{Millis, Units};

/// How long to wait before the service is tried again, at most; each try in vain doubles the wait. A hundred
/// hosts that lose it at one stroke do not come back at one stroke: each waits a part of it by chance.
pub const TRY_MOST: Millis = 5_000;
const TRY_LEAST: Millis = 100;

/// What a word asks of the program around.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Nothing,
    /// Another state is to be taken up; `acts_on` or `against` follows.
    State,
    Say(ToControl),
    /// What was said does not fit: the connection is given up, and the next one asks for everything.
    Lost(String),
}

/// One of the host's own volumes, with its part of a limit where its plan has one.
struct Volume {
    name: String,
    hosts: u32,
    share: Option<Share>,
}

pub struct Member {
    host: String,
    trail: Trail,
    /// A newer state that the host has not said yes or no to.
    next: Option<Trail>,
    /// In the host's own order, by which it names them here.
    volumes: Vec<Volume>,
    /// Until then, what was lent before this start may still be used by others.
    unsure_until: Millis,
    tries: u32,
    connect_at: Millis,
}

impl Member {
    /// Starts with what was kept on disk, if anything. `volumes`: the host's own, with the number of hosts of each.
    pub fn new(host: &str, volumes: Vec<(String, u32)>, kept: Option<Trail>, now: Millis) -> Member {
        let mut member = Member {
            host: host.to_owned(),
            trail: kept.unwrap_or_default(),
            next: None,
            volumes: volumes.into_iter().map(|(name, hosts)| Volume { name, hosts, share: None }).collect(),
            unsure_until: now + LOAN + MARGIN,
            tries: 0,
            connect_at: 0,
        };
        member.share_out(now);
        member
    }

    pub fn state(&self) -> &State {
        &self.trail.state
    }

    /// What is to be kept on disk: the state and the hash of its line.
    pub fn trail(&self) -> &Trail {
        &self.trail
    }

    /// The state that is to be taken up.
    pub fn next(&self) -> Option<&State> {
        self.next.as_ref().map(|n| &n.state)
    }

    pub fn hello(&self) -> ToControl {
        let newest = self.next.as_ref().unwrap_or(&self.trail);
        let (version, last) = (newest.state.version, newest.last().to_owned());
        ToControl::Hello { host: self.host.clone(), version, last }
    }

    /// Takes a word. `wanted`, looked at for a question only: units a second that clients ask of each of the
    /// host's volumes, served or not, as the host has counted them.
    pub fn heard(&mut self, word: ToMember, wanted: &[Units], now: Millis) -> Heard {
        self.tries = 0;
        match word {
            ToMember::Whole { state, last } => {
                if state.version == 0 && last != BEGINNING {
                    return Heard::Lost("a state without changes behind a line".into());
                }
                self.next = Some(Trail::from_base(*state, last));
                Heard::State
            }
            ToMember::Line { text } => {
                let mut newest = self.next.take().unwrap_or_else(|| self.trail.clone());
                match newest.follow(&text) {
                    Ok(_) => {
                        self.next = Some(newest);
                        Heard::State
                    }
                    Err(broken) => {
                        // Asked for again, whole: the hash of nothing fits no line.
                        self.trail = Trail::from_base(self.trail.state.clone(), String::new());
                        Heard::Lost(broken.to_string())
                    }
                }
            }
            ToMember::Ask { asked } => {
                let mut volumes = Vec::new();
                for (at, v) in self.volumes.iter_mut().enumerate() {
                    let Some(share) = &mut v.share else { continue };
                    let wants = wanted.get(at).copied().unwrap_or(0);
                    let lent = share.lend(share.spare(wants), now);
                    volumes.push((v.name.clone(), lent, wants.saturating_sub(share.even())));
                }
                let version = self.trail.state.version;
                Heard::Say(ToControl::Report { asked, sent: now, version, volumes })
            }
            ToMember::Granted { sent, span, volumes } => {
                for (name, amount) in volumes {
                    let own = self.volumes.iter_mut().find(|v| v.name == name);
                    if let Some(share) = own.and_then(|v| v.share.as_mut()) {
                        share.granted(amount, sent, span, now);
                    }
                }
                Heard::Nothing
            }
        }
    }

    /// The host acts on the next state from now on.
    pub fn acts_on(&mut self, now: Millis) -> Option<ToControl> {
        self.trail = self.next.take()?;
        self.share_out(now);
        Some(ToControl::ActsOn { version: self.trail.state.version })
    }

    /// The host cannot act on the next state. It stays in hand: a line behind it may mend it.
    pub fn against(&mut self, why: String) -> Option<ToControl> {
        let version = self.next.as_ref()?.state.version;
        Some(ToControl::Against { version, why })
    }

    fn share_out(&mut self, now: Millis) {
        let unsure = self.unsure_until;
        for v in &mut self.volumes {
            let plan = self.trail.state.plan_of(&v.name).filter(|p| p.limit > 0);
            match (plan, &mut v.share) {
                (Some(plan), Some(share)) => share.limit(plan.limit, v.hosts),
                (Some(plan), none) => {
                    let mut share = Share::new(plan.limit, v.hosts);
                    if now < unsure {
                        share.started(unsure, now);
                    }
                    *none = Some(share);
                }
                (None, share) => *share = None,
            }
        }
    }

    /// For each of the host's volumes the part of its limit that the host may use now; none: it has no limit.
    pub fn parts(&self, now: Millis) -> impl Iterator<Item = Option<Units>> {
        self.volumes.iter().map(move |v| v.share.as_ref().map(|share| share.part(now)))
    }

    /// Whether the service is to be tried now; `chance` between 0 and 1000 spreads hosts.
    pub fn connects(&mut self, now: Millis, chance: u64) -> bool {
        if now < self.connect_at {
            return false;
        }
        let wait = (TRY_LEAST << self.tries.min(10)).min(TRY_MOST);
        self.tries = (self.tries + 1).min(10);
        self.connect_at = now + wait / 2 + wait / 2 * chance.min(1_000) / 1_000;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::{Change, Plan};

    /// Long enough after the start that nothing lent before can be in use.
    const T: Millis = LOAN + MARGIN;

    fn service() -> Trail {
        let mut trail = Trail::default();
        let figures = Plan { limit: 900, burst: 10, ..Plan::default() };
        for change in [
            Change::Plan { name: "basic".into(), figures },
            Change::Volume { name: "water".into(), plan: "basic".into() },
        ] {
            let version = trail.state.version;
            let line = trail.propose(version, "a", "b", 0, change).expect("fits");
            trail.follow(&line).expect("follows");
        }
        trail
    }

    fn member() -> (Trail, Member) {
        let trail = service();
        let mut member = Member::new("h", vec![("water".to_owned(), 3)], None, 0);
        let whole = ToMember::Whole { state: Box::new(trail.state.clone()), last: trail.last().to_owned() };
        assert_eq!(member.heard(whole, &[], T), Heard::State);
        assert_eq!(member.acts_on(T), Some(ToControl::ActsOn { version: 2 }));
        (trail, member)
    }

    fn lower(trail: &mut Trail, limit: Units) -> ToMember {
        let change =
            Change::Plan { name: "basic".into(), figures: Plan { limit, burst: 10, ..Plan::default() } };
        let text = trail.propose(trail.state.version, "a", "b", 0, change).expect("fits");
        trail.follow(&text).expect("follows");
        ToMember::Line { text }
    }

    fn parts(member: &Member, now: Millis) -> Vec<Units> {
        member.parts(now).flatten().collect()
    }

    #[test]
    fn a_version_counts_once_the_host_has_taken_it_up() {
        let (mut trail, mut member) = member();
        assert_eq!(parts(&member, T), [300]);
        assert_eq!(member.heard(lower(&mut trail, 600), &[], T), Heard::State);
        assert_eq!(parts(&member, T), [300]);
        member.acts_on(T);
        assert_eq!((parts(&member, T), member.state()), (vec![200], &trail.state));
    }

    #[test]
    fn a_version_that_is_turned_down_is_mended_by_a_later_one() {
        let (mut trail, mut member) = member();
        member.heard(lower(&mut trail, 600), &[], T);
        assert_eq!(member.against("no".into()), Some(ToControl::Against { version: 3, why: "no".into() }));
        assert_eq!(parts(&member, T), [300]);
        member.heard(lower(&mut trail, 750), &[], T);
        assert_eq!(member.acts_on(T), Some(ToControl::ActsOn { version: 4 }));
        assert_eq!(parts(&member, T), [250]);
    }

    #[test]
    fn a_line_that_does_not_follow_asks_for_everything_and_changes_nothing() {
        let (mut trail, mut member) = member();
        lower(&mut trail, 600);
        let skipped = lower(&mut trail, 500);
        assert!(matches!(member.heard(skipped, &[], T), Heard::Lost(_)));
        assert_eq!(parts(&member, T), [300]);
        let ToControl::Hello { last, .. } = member.hello() else { panic!("it opens with hello") };
        assert!(last.is_empty());
    }

    #[test]
    fn what_is_lent_is_not_used_from_before_the_answer_is_sent() {
        let (_, mut member) = member();
        let Heard::Say(ToControl::Report { volumes, .. }) =
            member.heard(ToMember::Ask { asked: 7 }, &[], T + 100)
        else {
            panic!("it answers")
        };
        assert_eq!(volumes, [("water".to_owned(), 225, 0)]);
        assert_eq!(parts(&member, T + 100), [75]);
        let wanted = [800];
        let Heard::Say(ToControl::Report { volumes, .. }) =
            member.heard(ToMember::Ask { asked: 9 }, &wanted, T + 200)
        else {
            panic!("it answers")
        };
        assert_eq!(volumes, [("water".to_owned(), 0, 500)]);
        let grant = ToMember::Granted { sent: T + 200, span: 1_500, volumes: vec![("water".into(), 400)] };
        member.heard(grant, &wanted, T + 300);
        assert_eq!(parts(&member, T + 300), [475]);
    }

    #[test]
    fn a_service_that_is_away_is_tried_ever_later_and_not_by_all_at_once() {
        let mut member = Member::new("h", Vec::new(), None, 0);
        let tries: Vec<Millis> = (0..30_000).filter(|now| member.connects(*now, 0)).collect();
        assert!((10..30).contains(&tries.len()), "{tries:?}");
        let mut other = Member::new("i", Vec::new(), None, 0);
        let others: Vec<Millis> = (0..30_000).filter(|now| other.connects(*now, 1_000)).collect();
        assert_ne!(tries.last(), others.last());
    }
}
