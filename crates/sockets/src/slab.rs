//! Table whose entries have small indices, which are reused once they are free.

/// Table of values. The index that was freed last is assigned next.
pub struct Slab<T> {
    entries: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Adds a value and returns its index.
    pub fn insert(&mut self, value: T) -> u32 {
        if let Some(index) = self.free.pop() {
            self.entries[index as usize] = Some(value);
            return index;
        }
        self.entries.push(Some(value));
        (self.entries.len() - 1) as u32
    }

    /// Returns the index that the next added value will get.
    #[must_use]
    pub fn next_index(&self) -> u32 {
        self.free
            .last()
            .copied()
            .unwrap_or(self.entries.len() as u32)
    }

    /// Returns the value at an index, if there is one.
    #[must_use]
    pub fn get(&self, index: u32) -> Option<&T> {
        self.entries.get(index as usize)?.as_ref()
    }

    /// Returns the value at an index for changes, if there is one.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.entries.get_mut(index as usize)?.as_mut()
    }

    /// Removes and returns the value at an index, if there is one, and frees the index.
    pub fn remove(&mut self, index: u32) -> Option<T> {
        let value = self.entries.get_mut(index as usize)?.take();
        if value.is_some() {
            self.free.push(index);
        }
        value
    }

    /// Returns the number of values.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Returns whether the table has no values.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the exclusive upper bound of all indices that were ever used, for loops that change the table.
    #[must_use]
    pub fn index_bound(&self) -> u32 {
        self.entries.len() as u32
    }

    /// Returns all values with their indices, in ascending order of the index.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, value)| Some((index as u32, value.as_ref()?)))
    }

    /// Returns the indices of all values in ascending order.
    #[must_use]
    pub fn indices(&self) -> Vec<u32> {
        self.iter().map(|(index, _)| index).collect()
    }
}
