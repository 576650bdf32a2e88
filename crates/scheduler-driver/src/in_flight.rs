//! The block I/Os in flight.
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::slab::Slab;

/// A block I/O in flight, from its arrival until the scheduler releases it.
///
/// The client gets one final answer. The scheduler has at most one attempt of the block I/O in flight at a time, and
/// numbers attempts from 0.
#[derive(Debug)]
pub struct InFlight<T, A> {
    /// The host's data about the block I/O.
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

    /// Returns whether the client has had its final answer or no longer waits for one.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Records that the client has had its final answer or no longer waits for one. Returns false if that was already
    /// recorded.
    pub fn mark_answered(&mut self) -> bool {
        !std::mem::replace(&mut self.is_answered, true)
    }

    /// Returns whether the host has withdrawn the block I/O from the scheduler although its client still waits.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }

    /// Records that the host withdraws the block I/O from the scheduler although its client still waits. The scheduler
    /// then receives no outcome that would make it retry.
    pub fn mark_withdrawn(&mut self) {
        self.is_withdrawn = true;
    }

    /// Resets a withdrawn block I/O that the scheduler has released, so that it can be passed to the scheduler again.
    pub fn reset(&mut self) {
        self.is_withdrawn = false;
        self.attempts = 0;
        self.attempt = None;
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Counts an attempt that the scheduler has requested, even if the host then cannot send it. Returns the number of
    /// attempts so far.
    pub fn count_attempt(&mut self) -> u32 {
        self.attempts += 1;
        self.attempts
    }

    /// Records that the attempt that was just counted is in flight.
    pub fn set_attempt(&mut self, attempt: A) {
        self.attempt = Some(attempt);
    }

    /// Returns the attempt in flight.
    pub fn attempt(&self) -> Option<&A> {
        self.attempt.as_ref()
    }

    /// Returns the attempt in flight, if it has this number. Attempts are numbered from 0.
    pub fn attempt_numbered(&self, number: u32) -> Option<&A> {
        self.attempt
            .as_ref()
            .filter(|_| number + 1 == self.attempts)
    }

    /// Removes and returns the attempt in flight, which has finished.
    pub fn take_attempt(&mut self) -> Option<A> {
        self.attempt.take()
    }
}

/// The block I/Os in flight, by id. The id that was released last is assigned next.
pub struct InFlightTable<T, A>(Slab<InFlight<T, A>>);

impl<T, A> Default for InFlightTable<T, A> {
    fn default() -> Self {
        InFlightTable(Slab::default())
    }
}

impl<T, A> InFlightTable<T, A> {
    /// Returns the id that the next block I/O will get.
    pub fn next_id(&self) -> BioId {
        BioId(self.0.next_index())
    }

    /// Adds a block I/O that has arrived, and returns its id.
    pub fn insert(&mut self, data: T) -> BioId {
        BioId(self.0.insert(InFlight::new(data)))
    }

    /// Returns a block I/O, if it is in flight.
    pub fn get(&self, io: BioId) -> Option<&InFlight<T, A>> {
        self.0.get(io.0)
    }

    /// Returns a block I/O for modification, if it is in flight.
    pub fn get_mut(&mut self, io: BioId) -> Option<&mut InFlight<T, A>> {
        self.0.get_mut(io.0)
    }

    /// Removes a block I/O that the scheduler has released or that was never passed to it.
    pub fn release(&mut self, io: BioId) -> Option<InFlight<T, A>> {
        self.0.remove(io.0)
    }

    /// Returns the number of block I/Os in flight.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no block I/O is in flight.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all block I/Os in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (BioId, &InFlight<T, A>)> {
        self.0.iter().map(|(index, io)| (BioId(index), io))
    }

    /// Returns the ids of all block I/Os in order, for loops that modify the table.
    pub fn ids(&self) -> Vec<BioId> {
        self.0.indices().into_iter().map(BioId).collect()
    }
}
