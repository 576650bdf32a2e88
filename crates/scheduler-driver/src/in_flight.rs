//! The block I/Os in flight.
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::slab::Slab;

/// A block I/O in flight: from its arrival until the scheduler releases it.
///
/// Its client gets one final answer. The scheduler has one attempt at a time in flight for it, and counts attempts
/// from 0.
#[derive(Debug)]
pub struct InFlight<T, A> {
    /// What the host knows of the block I/O.
    pub data: T,
    is_answered: bool,
    is_withdrawn: bool,
    attempts: u32,
    attempt: Option<A>,
}

impl<T, A> InFlight<T, A> {
    fn new(data: T) -> Self {
        InFlight {
            data,
            is_answered: false,
            is_withdrawn: false,
            attempts: 0,
            attempt: None,
        }
    }

    /// Whether the client has had its final answer, or waits for none any more.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Records that the client has its final answer, or waits for none any more; false: that was recorded before.
    pub fn mark_answered(&mut self) -> bool {
        !std::mem::replace(&mut self.is_answered, true)
    }

    /// Whether the host has withdrawn it from the scheduler although its client still waits.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }

    /// Records that the host takes it back from the scheduler although its client still waits: the scheduler gets no
    /// outcome that would make it retry.
    pub fn mark_withdrawn(&mut self) {
        self.is_withdrawn = true;
    }

    /// The scheduler has released a block I/O that was withdrawn: it may be handed to the scheduler anew.
    pub fn reset(&mut self) {
        self.is_withdrawn = false;
        self.attempts = 0;
        self.attempt = None;
    }

    /// Attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Counts an attempt that the scheduler has asked for, also if the host then cannot send it; the attempts so far.
    pub fn count_attempt(&mut self) -> u32 {
        self.attempts += 1;
        self.attempts
    }

    /// The attempt that was just counted is in flight.
    pub fn set_attempt(&mut self, attempt: A) {
        self.attempt = Some(attempt);
    }

    /// The attempt in flight.
    pub fn attempt(&self) -> Option<&A> {
        self.attempt.as_ref()
    }

    /// The attempt in flight, if it is the one with this number; the first is number 0.
    pub fn attempt_numbered(&self, number: u32) -> Option<&A> {
        self.attempt
            .as_ref()
            .filter(|_| number + 1 == self.attempts)
    }

    /// Takes the attempt in flight, which is over.
    pub fn take_attempt(&mut self) -> Option<A> {
        self.attempt.take()
    }
}

/// The block I/Os in flight by id. The id that was released last is the next to be assigned.
pub struct InFlightTable<T, A>(Slab<InFlight<T, A>>);

impl<T, A> Default for InFlightTable<T, A> {
    fn default() -> Self {
        InFlightTable(Slab::default())
    }
}

impl<T, A> InFlightTable<T, A> {
    /// The id that the next block I/O will get.
    pub fn next_id(&self) -> BioId {
        BioId(self.0.next_index())
    }

    /// Adds a block I/O that has arrived; its id.
    pub fn insert(&mut self, data: T) -> BioId {
        BioId(self.0.insert(InFlight::new(data)))
    }

    /// A block I/O, if it is in flight.
    pub fn get(&self, io: BioId) -> Option<&InFlight<T, A>> {
        self.0.get(io.0)
    }

    /// A block I/O, if it is in flight.
    pub fn get_mut(&mut self, io: BioId) -> Option<&mut InFlight<T, A>> {
        self.0.get_mut(io.0)
    }

    /// Removes a block I/O that the scheduler has released, or was never handed.
    pub fn release(&mut self, io: BioId) -> Option<InFlight<T, A>> {
        self.0.remove(io.0)
    }

    /// Number of block I/Os.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All block I/Os by id.
    pub fn iter(&self) -> impl Iterator<Item = (BioId, &InFlight<T, A>)> {
        self.0.iter().map(|(index, io)| (BioId(index), io))
    }

    /// The ids of all block I/Os in order, for loops that change the table as they go.
    pub fn ids(&self) -> Vec<BioId> {
        self.0.indices().into_iter().map(BioId).collect()
    }
}
