//! Names outside, small indices inside.
use std::collections::HashMap;
use std::hash::Hash;

/// Assigns small indices to names. An index is assigned anew once it has been released.
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
    /// The index of a name that has one.
    #[must_use]
    pub fn find(&self, name: &N) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// The index of a name, newly assigned if it has none.
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

    /// The name of an index.
    ///
    /// # Panics
    ///
    /// If the index is not assigned.
    #[must_use]
    pub fn resolve(&self, index: u32) -> &N {
        self.names[index as usize]
            .as_ref()
            .expect("an index in use")
    }

    /// Number of names that have an index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether no name has an index.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Frees an index; nothing happens if it is not assigned.
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
