//! How a host's descriptors and memory are parted, and which connections to nodes are kept and used again.
use crate::Millis;

/// Descriptors that are neither clients' nor nodes': standard streams, poll, listener, signals, two calls to
/// the list service, the configuration's file, and as many again for what the system's libraries open.
const RESERVE: u64 = 24;
/// Of the rest, clients' part in tenths. Half of theirs may be idle or silent, while each request in hand has at
/// most one submit out.
const CLIENTS: u64 = 6;
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

/// Whether an idle connection may carry the next submit; `idle_close`: when its node closes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    Use,
    /// It has only just been used.
    NotYet,
    TooOld,
}

pub fn fit(idle: Millis, idle_close: Millis) -> Fit {
    if idle_close > 0 && idle >= idle_close / IDLE_PART {
        Fit::TooOld
    } else if idle < RESTS {
        Fit::NotYet
    } else {
        Fit::Use
    }
}

/// Of a node's idle connections, the one that serves a submit: the latest used that has rested, so that those
/// not needed grow old. `idle` tells for how long each has stood, the latest used last.
pub fn choose(
    idle: impl DoubleEndedIterator<Item = Millis> + ExactSizeIterator,
    idle_close: Millis,
) -> Option<usize> {
    idle.enumerate().rev().find(|(_, idle)| fit(*idle, idle_close) == Fit::Use).map(|(at, _)| at)
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
        // The users' clients hold a third of the descriptors at most for requests; each may have a submit out.
        let p = part(256, 32);
        assert!(p.clients > 256 / 3 && p.nodes >= 256 / 3, "{p:?}");
    }

    #[test]
    fn the_latest_used_connection_that_has_rested_serves_the_next_submit() {
        let choose = |idle: &[Millis]| choose(idle.iter().copied(), 30_000);
        assert_eq!(choose(&[9_000, 300, 40]), Some(2));
        assert_eq!(choose(&[9_000, 300, RESTS - 1]), Some(1), "bytes unasked may still come on the last");
        assert_eq!(choose(&[15_000, 1]), None, "one that its node may close is not used");
        assert_eq!(choose(&[]), None);
    }

    #[test]
    fn a_connection_is_given_up_well_before_its_node_does() {
        assert_eq!(fit(14_999, 30_000), Fit::Use);
        assert_eq!(fit(15_000, 30_000), Fit::TooOld);
        assert_eq!(fit(1_000_000, 0), Fit::Use, "where the settings name no time");
    }
}
