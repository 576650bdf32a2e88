//! Simulated nodes: how they answer, and their initial entries in the endpoint list.
use super::random::Random;
use mallowseam_scheduler::interface::{AttemptResult, Bio, NodeEndpoint, NodeId, NodeState, Tick};

pub const NODES: u32 = 7;
/// Index of a node that restarts so often that it is never warm. No other node holds its shard.
pub const ALWAYS_WARMING_UP: u32 = 6;

/// How a simulated node answers for some time.
#[derive(Clone, Copy)]
pub enum Mode {
    /// Answers so fast that attempts time out only if they are lost: a few attempts of the idempotent classes 0 and 1,
    /// and hardly any others.
    VeryFast,
    Fast,
    Medium,
    Slow,
    Overloaded,
    Faulty,
    Lossy,
}

/// How and when an attempt ends.
pub struct AttemptEnd {
    pub latency: Tick,
    pub result: AttemptResult,
}

impl Mode {
    pub fn draw(random: &mut Random) -> Self {
        match random.below(12) {
            0..3 => Mode::Fast,
            3..7 => Mode::Medium,
            7..9 => Mode::Slow,
            9 => Mode::Overloaded,
            10 => Mode::Faulty,
            _ => Mode::Lossy,
        }
    }

    /// Draws how and when an attempt at a node of this mode ends, with `load` other attempts in flight.
    pub fn draw_attempt_end(
        self,
        random: &mut Random,
        bio: &Bio,
        load: Tick,
        timeout: Tick,
    ) -> AttemptEnd {
        let (delay, result) = match self {
            Mode::VeryFast if random.below(400) < if bio.class < 2 { 24 } else { 1 } => {
                (timeout, AttemptResult::TimedOut)
            }
            Mode::VeryFast => (random.between(5, 35), AttemptResult::Completed),
            Mode::Fast => (
                random.between(30, 400) + 10 * load,
                AttemptResult::Completed,
            ),
            Mode::Medium => (
                random.between(400, 640) + 5 * load,
                AttemptResult::Completed,
            ),
            Mode::Slow => (
                random.between(500, 2_600) + 20 * load,
                AttemptResult::Completed,
            ),
            Mode::Overloaded if random.percent(40) => {
                (random.between(5, 30), AttemptResult::Rejected)
            }
            Mode::Overloaded => (random.between(200, 900), AttemptResult::Completed),
            Mode::Faulty => match random.below(7) {
                0 => (random.between(5, 40), AttemptResult::Rejected),
                1 => (random.between(20, 300), AttemptResult::ConnectionReset),
                2 => (random.between(20, 300), AttemptResult::Error),
                3 => (1, AttemptResult::NotSent),
                _ => (random.between(2, 20), AttemptResult::ConnectFailed),
            },
            Mode::Lossy if random.percent(30) => (timeout, AttemptResult::TimedOut),
            Mode::Lossy => (random.between(10, 300), AttemptResult::Completed),
        };
        match result {
            AttemptResult::Completed if random.percent(2) => AttemptEnd {
                latency: delay.min(timeout),
                result: AttemptResult::Error,
            },
            _ if delay >= timeout => AttemptEnd {
                latency: timeout,
                result: AttemptResult::TimedOut,
            },
            _ => AttemptEnd {
                latency: delay,
                result,
            },
        }
    }
}

/// How the modes of the nodes change during a run.
#[derive(Clone, Copy, PartialEq)]
pub enum Pattern {
    /// Each node changes its mode independently.
    Mixed,
    /// All nodes are fast, and occasionally lose an attempt whose client waits for a long time.
    RareLoss,
}

impl Pattern {
    pub fn of(seed: u64) -> Self {
        if seed % 4 == 3 {
            Pattern::RareLoss
        } else {
            Pattern::Mixed
        }
    }
}

pub struct SimulatedNode {
    pub endpoint: NodeEndpoint,
    pub mode: Mode,
}

/// Returns the initial entry of a node. Nodes 0 to 3 hold one shard each; node 4 holds the shard of node 0 as well, and
/// node 5 that of node 1. The nodes are in two zones.
pub fn initial_endpoint(node: u32) -> NodeEndpoint {
    let state = if node < 5 {
        NodeState::Active
    } else {
        NodeState::Removed
    };
    let shard = if node == ALWAYS_WARMING_UP {
        9
    } else {
        node % 4
    };
    NodeEndpoint {
        node: NodeId(node),
        zone: node % 2,
        shard,
        state,
        started_at: None,
    }
}
