//! Every order of what may happen to a state machine, within bounds: breadth first, states known by their hash.
use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;
use std::hash::{BuildHasher, Hash};

/// What is searched through. Two that are equal by their hash go on alike.
pub trait Searched: Clone + Hash {
    type Move: Clone + Debug;

    /// All that may happen next.
    fn moves(&self) -> Vec<Self::Move>;
    fn step(&mut self, next: &Self::Move);
    /// What must hold in every state.
    ///
    /// # Errors
    /// What does not, in words.
    fn holds(&self) -> Result<(), String>;
    /// What must come of every state once nothing more happens to it from outside.
    ///
    /// # Errors
    /// What did not come of it, in words.
    fn ends(&self) -> Result<(), String>;
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reached {
    pub states: u64,
    pub steps: u64,
    /// Moves from the first state to the last one looked at.
    pub depth: u32,
    /// Whether all states were reached, not just as many as were allowed.
    pub whole: bool,
}

/// What is wrong, and the moves that led there.
#[derive(Clone, Debug, PartialEq)]
pub struct Found<M> {
    pub wrong: String,
    pub moves: Vec<M>,
}

/// Looks at so many states at most, each in its turn. `ends_every`: of the states, one in so many is also followed to
/// its end.
///
/// # Errors
/// The first state in which something does not hold, with the shortest way there.
pub fn search<S: Searched>(first: &S, most: u64, ends_every: u64) -> Result<Reached, Found<S::Move>> {
    // A fixed seed: the same states in the same order each time.
    let hasher = foldhash::fast::FixedState::with_seed(7);
    let hash = |s: &S| {
        let one = hasher.hash_one(s);
        // Of two states in four thousand million million, one pair in a search of millions: two hashes of 64 bits.
        (one, foldhash::fast::FixedState::with_seed(one).hash_one(s))
    };
    let mut reached = Reached::default();
    let mut seen = HashSet::from([hash(first)]);
    // Where each state came from: its place before, and the move.
    let mut ways: Vec<(usize, Option<S::Move>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(first.clone(), 0, 0u32)]);
    let way = |ways: &[(usize, Option<S::Move>)], mut at: usize| {
        let mut moves = Vec::new();
        while let Some(next) = &ways[at].1 {
            moves.push(next.clone());
            at = ways[at].0;
        }
        moves.reverse();
        moves
    };
    while let Some((state, at, depth)) = queue.pop_front() {
        (reached.states, reached.depth) = (reached.states + 1, depth);
        let ends = if reached.states.is_multiple_of(ends_every.max(1)) { state.ends() } else { Ok(()) };
        if let Err(wrong) = state.holds().and(ends) {
            return Err(Found { wrong, moves: way(&ways, at) });
        }
        for next in state.moves() {
            reached.steps += 1;
            let mut then = state.clone();
            then.step(&next);
            if seen.len() as u64 >= most {
                // No more are taken up; those at hand are looked at still.
                break;
            }
            if seen.insert(hash(&then)) {
                ways.push((at, Some(next)));
                queue.push_back((then, ways.len() - 1, depth + 1));
            }
        }
    }
    reached.whole = (seen.len() as u64) < most;
    Ok(reached)
}
