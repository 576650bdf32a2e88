//! Simulated nodes: how they answer, and what the endpoint list says of them at first.
use super::random::Random;
use mallowseam_scheduler::interface::{AttemptResult, Bio, NodeEndpoint, NodeId, NodeState, Tick};

pub const NODES: u32 = 7;
/// This one starts anew so often that it is never warm, and no other has its shard.
pub const ALWAYS_WARMING_UP: u32 = 6;

/// How a simulated node answers for a while.
#[derive(Clone, Copy)]
pub enum Mode {
    /// So quick that nothing times out but what is lost: a few idempotent block I/Os, and hardly any others.
    Prompt,
    Quick,
    Middle,
    Slow,
    Full,
    Broken,
    Lossy,
}

/// How an attempt ends.
pub struct Ending {
    pub latency: Tick,
    pub result: AttemptResult,
}

impl Mode {
    pub fn draw(random: &mut Random) -> Self {
        match random.below(12) {
            0..3 => Mode::Quick,
            3..7 => Mode::Middle,
            7..9 => Mode::Slow,
            9 => Mode::Full,
            10 => Mode::Broken,
            _ => Mode::Lossy,
        }
    }

    /// When and how an attempt at a node of this mode ends, with so many others in flight.
    pub fn draw_ending(self, random: &mut Random, bio: &Bio, load: Tick, timeout: Tick) -> Ending {
        let (wait, result) = match self {
            Mode::Prompt if random.below(400) < if bio.class < 2 { 24 } else { 1 } => {
                (timeout, AttemptResult::TimedOut)
            }
            Mode::Prompt => (random.between(5, 35), AttemptResult::Completed),
            Mode::Quick => (
                random.between(30, 400) + 10 * load,
                AttemptResult::Completed,
            ),
            Mode::Middle => (
                random.between(400, 640) + 5 * load,
                AttemptResult::Completed,
            ),
            Mode::Slow => (
                random.between(500, 2_600) + 20 * load,
                AttemptResult::Completed,
            ),
            Mode::Full if random.percent(40) => (random.between(5, 30), AttemptResult::Rejected),
            Mode::Full => (random.between(200, 900), AttemptResult::Completed),
            Mode::Broken => match random.below(7) {
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
            AttemptResult::Completed if random.percent(2) => Ending {
                latency: wait.min(timeout),
                result: AttemptResult::Error,
            },
            _ if wait >= timeout => Ending {
                latency: timeout,
                result: AttemptResult::TimedOut,
            },
            _ => Ending {
                latency: wait,
                result,
            },
        }
    }
}

/// How the nodes' modes follow each other in a run.
#[derive(Clone, Copy, PartialEq)]
pub enum Pattern {
    /// Each node changes on its own.
    Mixed,
    /// All nodes are quick, and now and then one loses an attempt whose client waits for long.
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

/// Nodes 0 to 3 hold a shard each; 4 holds the shard of 0 as well, 5 that of 1. Two zones.
pub fn first_endpoint(node: u32) -> NodeEndpoint {
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
