//! Exhaustive search through the states of a state machine, within bounds: breadth first, with visited states known by
//! their hash.
use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;
use std::hash::{BuildHasher, Hash};

/// A state of a state machine that can be searched. Two states with the same hash have the same future.
pub trait SearchState: Clone + Hash {
    /// What may happen to a state.
    type Action: Clone + Debug;
    /// A property that does not hold.
    type Violation;

    /// All that may happen next.
    fn actions(&self) -> Vec<Self::Action>;

    /// Lets something happen.
    fn apply(&mut self, action: &Self::Action);

    /// Checks what must hold in every state (safety).
    ///
    /// # Errors
    /// A property that does not hold.
    fn check_safety(&self) -> Result<(), Self::Violation>;

    /// Checks what every state must lead to once nothing more happens to it from outside (liveness).
    ///
    /// # Errors
    /// A property that does not come to hold.
    fn check_liveness(&self) -> Result<(), Self::Violation>;
}

/// How far a search without a counterexample went.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Explored {
    /// States that were checked.
    pub states: u64,
    /// Actions that were applied.
    pub steps: u64,
    /// Actions from the initial state to the last one that was checked.
    pub depth: u32,
    /// Whether all reachable states were checked, rather than as many as were allowed.
    pub complete: bool,
}

/// A violated property, and the shortest sequence of actions that leads to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Counterexample<A, V> {
    /// What is violated.
    pub violation: V,
    /// Actions from the initial state on.
    pub actions: Vec<A>,
}

/// Seed of the hash of states: fixed, so that each search visits the same states in the same order.
const HASH_SEED: u64 = 7;

/// Hash of a state, of 128 bits: in a search of millions no two states are expected to share one.
fn hash(state: &impl Hash) -> (u64, u64) {
    let first = foldhash::fast::FixedState::with_seed(HASH_SEED).hash_one(state);
    (
        first,
        foldhash::fast::FixedState::with_seed(first).hash_one(state),
    )
}

/// How each state was reached: the index of the state before it, and the action. None: the initial state.
type Paths<A> = Vec<Option<(usize, A)>>;

fn path_to<A: Clone>(paths: &Paths<A>, mut index: usize) -> Vec<A> {
    let mut actions = Vec::new();
    while let Some((before, action)) = &paths[index] {
        actions.push(action.clone());
        index = *before;
    }
    actions.reverse();
    actions
}

/// Checks `max_states` states at most, each for safety, and one in `liveness_interval` for liveness.
///
/// # Errors
/// The first state in which a property is violated, with the shortest path to it.
pub fn search<S: SearchState>(
    initial: &S,
    max_states: u64,
    liveness_interval: u64,
) -> Result<Explored, Counterexample<S::Action, S::Violation>> {
    let mut explored = Explored::default();
    let mut visited = HashSet::from([hash(initial)]);
    let mut paths: Paths<S::Action> = vec![None];
    let mut queue = VecDeque::from([(initial.clone(), 0, 0)]);
    while let Some((state, index, depth)) = queue.pop_front() {
        explored.states += 1;
        explored.depth = depth;
        let is_followed = explored.states.is_multiple_of(liveness_interval.max(1));
        let liveness = if is_followed {
            state.check_liveness()
        } else {
            Ok(())
        };
        if let Err(violation) = state.check_safety().and(liveness) {
            return Err(Counterexample {
                violation,
                actions: path_to(&paths, index),
            });
        }
        for action in state.actions() {
            explored.steps += 1;
            let mut next = state.clone();
            next.apply(&action);
            if visited.len() as u64 >= max_states {
                // No further states are queued; the queued ones are still checked.
                break;
            }
            if visited.insert(hash(&next)) {
                paths.push(Some((index, action)));
                queue.push_back((next, paths.len() - 1, depth + 1));
            }
        }
    }
    explored.complete = (visited.len() as u64) < max_states;
    Ok(explored)
}
