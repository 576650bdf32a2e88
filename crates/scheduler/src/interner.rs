//! A mapping between names and small indices.
use std::collections::HashMap;
use std::hash::Hash;

/// Assigns small indices to names. An index is reused after its release.
pub struct Interner<N> {
    names: Vec<Option<N>>,
    indices: HashMap<N, u32>,
    free: Vec<u32>,
}

impl<N> Default for Interner<N> {
    fn default() -> Self {
        Interner {
            names: Vec::new(),
            indices: HashMap::new(),
            free: Vec::new(),
        }
    }
}

impl<N: Clone + Eq + Hash> Interner<N> {
    /// Returns the index of a name, if it has one.
    #[must_use]
    pub fn find(&self, name: &N) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// Returns the index of a name, which is newly assigned if the name has none.
    pub fn intern(&mut self, name: &N) -> u32 {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.names.len() as u32);
        if index as usize == self.names.len() {
            self.names.push(None);
        }
        self.names[index as usize] = Some(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// Returns the name of an index.
    ///
    /// # Panics
    ///
    /// If the index is not assigned.
    #[must_use]
    pub fn resolve(&self, index: u32) -> &N {
        self.names[index as usize].as_ref().expect("index in use")
    }

    /// Returns the number of names that have an index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Returns whether no name has an index.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Releases an index. Does nothing if the index has already been released.
    ///
    /// # Panics
    ///
    /// If the index was never assigned.
    pub fn release(&mut self, index: u32) {
        if let Some(name) = self.names[index as usize].take() {
            self.indices.remove(&name);
            self.free.push(index);
        }
    }
}
