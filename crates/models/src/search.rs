//! Bounded exhaustive search through the states of a state machine, in breadth-first order. Visited states are identified
//! by their hashes.
use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;
use std::hash::{BuildHasher, Hash};

/// A state of a state machine that can be searched. States with equal hashes must have the same successors.
pub trait SearchState: Clone + Hash {
    /// An action that leads from one state to another.
    type Action: Clone + Debug;
    /// A violated property.
    type Violation;

    /// Returns all actions that are possible in this state.
    fn actions(&self) -> Vec<Self::Action>;

    /// Applies an action to the state.
    fn apply(&mut self, action: &Self::Action);

    /// Checks the properties that must hold in every state (safety).
    ///
    /// # Errors
    /// A safety property is violated.
    fn check_safety(&self) -> Result<(), Self::Violation>;

    /// Checks the properties that must eventually hold after this state without further external actions (liveness).
    ///
    /// # Errors
    /// A liveness property is violated.
    fn check_liveness(&self) -> Result<(), Self::Violation>;
}

/// Extent of a search that found no counterexample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Explored {
    /// Number of states that were checked.
    pub states: u64,
    /// Number of actions that were applied.
    pub steps: u64,
    /// Number of actions from the initial state to the last state that was checked.
    pub depth: u32,
    /// Whether all reachable states were checked before the limit of states was reached.
    pub complete: bool,
}

/// A violated property, with the shortest sequence of actions that leads to the violation.
#[derive(Clone, Debug, PartialEq)]
pub struct Counterexample<A, V> {
    /// Property that is violated.
    pub violation: V,
    /// Actions from the initial state to the violation.
    pub actions: Vec<A>,
}

/// Seed of state hashes; fixed, so that each search visits the same states in the same order.
const HASH_SEED: u64 = 7;

/// Returns the 128-bit hash of a state; collisions are not expected among millions of states.
fn hash(state: &impl Hash) -> (u64, u64) {
    let first = foldhash::fast::FixedState::with_seed(HASH_SEED).hash_one(state);
    (
        first,
        foldhash::fast::FixedState::with_seed(first).hash_one(state),
    )
}

/// For each state, the index of its predecessor and the action that led from there; `None` for the initial state.
type Predecessors<A> = Vec<Option<(usize, A)>>;

/// Returns the actions from the initial state to the state with an index.
fn path_to<A: Clone>(predecessors: &Predecessors<A>, mut index: usize) -> Vec<A> {
    let mut actions = Vec::new();
    while let Some((predecessor, action)) = &predecessors[index] {
        actions.push(action.clone());
        index = *predecessor;
    }
    actions.reverse();
    actions
}

/// Checks at most `max_states` states, all of them for safety and one in `liveness_interval` for liveness.
///
/// # Errors
/// A property is violated. The counterexample is the first one in breadth-first order.
pub fn search<S: SearchState>(
    initial: &S,
    max_states: u64,
    liveness_interval: u64,
) -> Result<Explored, Counterexample<S::Action, S::Violation>> {
    let mut explored = Explored::default();
    let mut visited = HashSet::from([hash(initial)]);
    let mut predecessors: Predecessors<S::Action> = vec![None];
    let mut queue = VecDeque::from([(initial.clone(), 0, 0)]);
    while let Some((state, index, depth)) = queue.pop_front() {
        explored.states += 1;
        explored.depth = depth;
        let checks_liveness = explored.states.is_multiple_of(liveness_interval.max(1));
        let liveness = if checks_liveness {
            state.check_liveness()
        } else {
            Ok(())
        };
        if let Err(violation) = state.check_safety().and(liveness) {
            return Err(Counterexample {
                violation,
                actions: path_to(&predecessors, index),
            });
        }
        for action in state.actions() {
            explored.steps += 1;
            let mut next = state.clone();
            next.apply(&action);
            if visited.len() as u64 >= max_states {
                // The limit is reached: no further states are queued, but the queued ones are still checked.
                break;
            }
            if visited.insert(hash(&next)) {
                predecessors.push(Some((index, action)));
                queue.push_back((next, predecessors.len() - 1, depth + 1));
            }
        }
    }
    explored.complete = (visited.len() as u64) < max_states;
    Ok(explored)
}
