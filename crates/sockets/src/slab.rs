//! A table whose entries have small indices, which are reused once they are free.

/// A table of values. The index that was freed last is the next to be assigned.
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
    /// Adds a value; its index.
    pub fn insert(&mut self, value: T) -> u32 {
        if let Some(index) = self.free.pop() {
            self.entries[index as usize] = Some(value);
            return index;
        }
        self.entries.push(Some(value));
        (self.entries.len() - 1) as u32
    }

    /// The index that the next value will get.
    #[must_use]
    pub fn next_index(&self) -> u32 {
        self.free
            .last()
            .copied()
            .unwrap_or(self.entries.len() as u32)
    }

    /// The value at an index, if there is one.
    #[must_use]
    pub fn get(&self, index: u32) -> Option<&T> {
        self.entries.get(index as usize)?.as_ref()
    }

    /// The value at an index, if there is one.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.entries.get_mut(index as usize)?.as_mut()
    }

    /// Removes the value at an index, if there is one, and frees the index.
    pub fn remove(&mut self, index: u32) -> Option<T> {
        let value = self.entries.get_mut(index as usize)?.take();
        if value.is_some() {
            self.free.push(index);
        }
        value
    }

    /// How many values there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Whether there is no value.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All indices ever used are below this: for loops that change the table as they go.
    #[must_use]
    pub fn index_bound(&self) -> u32 {
        self.entries.len() as u32
    }

    /// All values with their indices, by index.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, value)| Some((index as u32, value.as_ref()?)))
    }

    /// The indices of all values, in order.
    #[must_use]
    pub fn indices(&self) -> Vec<u32> {
        self.iter().map(|(index, _)| index).collect()
    }
}
