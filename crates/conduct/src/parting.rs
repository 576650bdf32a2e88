//! How a host's descriptors and memory are parted, and which connections to nodes are kept and used again.
use crate::Millis;

/// Descriptors that are neither clients' nor nodes': standard streams, poll, listener, signals, two calls to
/// the list service, the configuration's file, and as many again for what the system's libraries open.
const RESERVE: u64 = 24;
/// Of the rest, clients' part in tenths. More than half of theirs may be idle or silent, while each request in
/// hand has at most one submit out, and most are held.
const CLIENTS: u64 = 7;
/// Parts of the memory that nodes' answers and clients' bytes may take, each one in so many.
const ANSWERS_PART: u64 = 4;
const CLIENTS_PART: u64 = 4;
const MIB: u64 = 1 << 20;
/// A connection that has just been used rests for this: bytes that do not belong to its last answer show
/// themselves within a turn of the node's loop.
const RESTS: Millis = 2;
/// Part of a node's own idle time after which a connection is given up: well before the node does, so that no
/// submit rides on a dying one.
const IDLE_PART: u64 = 2;
/// Kept for so long where no time is told.
const KEPT_UNTOLD: Millis = 15_000;
/// Kept at least so long, whatever dies: under load one is used again by then, and a new one costs its node work.
const KEPT_LEAST: Millis = 25;
/// A node that has forgotten a connection answers the first bytes on it with a reset, a round trip later.
const DIED_WITHIN: Millis = 5;
/// A crowd counts once in so long: it takes that for what others give up to show.
const CROWDED_AGAIN: Millis = 1_000;
/// Without a death or a crowd for so long, connections are kept twice as long as before.
const REGROWS: Millis = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parting {
    /// Connections of clients, and to nodes, at most.
    pub clients: usize,
    pub nodes: usize,
    /// Bytes of requests and answers that wait for clients, and of answers that come from nodes, all together.
    pub client_bytes: usize,
    pub node_bytes: usize,
}

/// Parts what the configuration gives.
pub fn part(sockets: u64, memory_mb: u64) -> Parting {
    let free = sockets.saturating_sub(RESERVE).max(2);
    let clients = (free * CLIENTS / 10).max(1);
    Parting {
        clients: clients as usize,
        nodes: (free - clients).max(1) as usize,
        client_bytes: (memory_mb * MIB / CLIENTS_PART) as usize,
        node_bytes: (memory_mb * MIB / ANSWERS_PART) as usize,
    }
}

/// For how long idle connections are kept. It starts from what the settings say of nodes, and learns from those
/// that died unseen: nodes, or what stands before them, may forget a connection sooner and say so only to the next
/// request on it, which may then have run.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    keep: Millis,
    most: Millis,
    /// Since when it stands.
    since: Millis,
    /// When a crowd was last met.
    crowded: Millis,
}

impl Keep {
    /// `idle_close`: when a node closes an idle connection at the latest; 0: not told.
    pub fn new(idle_close: Millis, now: Millis) -> Self {
        let most = if idle_close > 0 { idle_close / IDLE_PART } else { KEPT_UNTOLD };
        Keep { keep: most, most, since: now, crowded: 0 }
    }

    /// A connection that had stood idle for so long broke before a byte of its answer, so long after its submit.
    pub fn broke(&mut self, idle: Millis, after: Millis, now: Millis) {
        // Later, or on a fresh one, it was the request that was reset, not the connection that had died.
        if after <= DIED_WITHIN && idle >= KEPT_LEAST {
            self.keep = (self.keep.min(idle) / 2).max(KEPT_LEAST);
            self.since = now;
        }
    }

    /// A node turned away the first submit of a new connection: it may have no place for one more, and what all hosts
    /// keep idle is what fills it. Each host that meets a crowd keeps its own for half as long, so that together they
    /// come to what fits; a node whose queue is full looks the same, and costs some new connections.
    pub fn crowded(&mut self, now: Millis) {
        if now >= self.crowded + CROWDED_AGAIN {
            self.keep = (self.keep / 2).max(KEPT_LEAST);
            (self.since, self.crowded) = (now, now);
        }
    }

    /// How long they are kept as of now: twice as long after each while without a death.
    pub fn now(&mut self, now: Millis) -> Millis {
        while self.keep < self.most && now >= self.since + REGROWS {
            self.keep = (self.keep * 2).min(self.most);
            self.since += REGROWS;
        }
        self.keep
    }
}

/// Whether an idle connection may carry the next submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    Use,
    /// It has only just been used.
    NotYet,
    TooOld,
}

pub fn fit(idle: Millis, keep: Millis) -> Fit {
    if idle >= keep {
        Fit::TooOld
    } else if idle < RESTS {
        Fit::NotYet
    } else {
        Fit::Use
    }
}

/// Whether a connection is kept behind an answer. Guards against a crowd: a node holds only so many connections and
/// turns away what comes on the others, whose hosts, trying again on them, would hold them open for good and never
/// be served. Given up, the next try finds whatever place has become free. Costs a new connection where a node's queue
/// was full, which is when hosts come more slowly anyway.
pub fn kept_behind(turned_away: bool) -> bool {
    !turned_away
}

/// Of a node's idle connections, the one that serves a submit: the latest used that has rested, so that those
/// not needed grow old. `idle` tells for how long each has stood, the latest used last.
pub fn choose(
    idle: impl DoubleEndedIterator<Item = Millis> + ExactSizeIterator,
    keep: Millis,
) -> Option<usize> {
    idle.enumerate().rev().find(|(_, idle)| fit(*idle, keep) == Fit::Use).map(|(at, _)| at)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn descriptors_and_memory_are_never_parted_past_what_there_is() {
        for sockets in [64, 256, 384, 1_024, 4_096] {
            for memory in [16, 32, 48, 192, 2_048] {
                let p = part(sockets, memory);
                assert!(p.clients + p.nodes <= (sockets - RESERVE) as usize, "{sockets} {p:?}");
                assert!((p.client_bytes + p.node_bytes) as u64 <= memory * MIB / 2, "{memory} {p:?}");
                assert!(p.nodes >= 1 && p.clients >= 1);
            }
        }
        // The users' clients hold a third of the descriptors at most for requests.
        let p = part(256, 32);
        assert!(p.clients > 256 / 2 && p.nodes >= 256 / 4, "{p:?}");
    }

    #[test]
    fn the_latest_used_connection_that_has_rested_serves_the_next_submit() {
        let choose = |idle: &[Millis]| choose(idle.iter().copied(), 30_000);
        assert_eq!(choose(&[9_000, 300, 40]), Some(2));
        assert_eq!(choose(&[9_000, 300, RESTS - 1]), Some(1), "bytes unasked may still come on the last");
        assert_eq!(choose(&[30_000, 1]), None, "one that its node may close is not used");
        assert_eq!(choose(&[]), None);
    }

    #[test]
    fn a_connection_is_given_up_well_before_its_node_does() {
        assert_eq!(Keep::new(30_000, 0).now(99), 15_000);
        assert_eq!(fit(14_999, 15_000), Fit::Use);
        assert_eq!(fit(15_000, 15_000), Fit::TooOld);
        assert_eq!(Keep::new(0, 0).now(99), KEPT_UNTOLD, "where the settings name no time");
    }

    #[test]
    fn where_idle_connections_die_unseen_they_are_kept_for_less_and_for_longer_again_once_none_does() {
        let mut keep = Keep::new(30_000, 0);
        keep.broke(400, 1, 1_000);
        assert_eq!(keep.now(1_000), 200);
        keep.broke(120, 0, 2_000);
        assert_eq!(keep.now(2_000), 60);
        for n in 0..5 {
            keep.broke(40, 0, 3_000 + n);
        }
        assert_eq!(keep.now(3_100), KEPT_LEAST);
        assert_eq!(keep.now(3_004 + REGROWS), 2 * KEPT_LEAST);
        assert_eq!(keep.now(900_000), 15_000);
    }

    #[test]
    fn a_host_that_meets_a_crowd_keeps_idle_connections_for_less_second_by_second() {
        let mut keep = Keep::new(30_000, 0);
        for at in [5_000, 5_010, 5_999, 6_000, 7_100] {
            keep.crowded(at);
        }
        assert_eq!(keep.now(7_200), 15_000 / 8);
        assert_eq!(keep.now(7_100 + REGROWS), 15_000 / 4, "and longer again once it meets none");
        (8_000..30_000).step_by(1_000).for_each(|at| keep.crowded(at));
        assert_eq!(keep.now(30_000), KEPT_LEAST);
        assert!(kept_behind(false) && !kept_behind(true));
    }

    #[test]
    fn a_reset_of_a_request_under_way_or_on_a_fresh_connection_is_no_death_of_an_idle_one() {
        let mut keep = Keep::new(30_000, 0);
        keep.broke(400, DIED_WITHIN + 1, 10);
        keep.broke(KEPT_LEAST - 1, 0, 10);
        assert_eq!(keep.now(20), 15_000);
    }
}
