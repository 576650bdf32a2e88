//! Entries by small index. Indices are assigned outside, and used again once their entry is removed.
use std::ops::{Index, IndexMut, Range};

pub(crate) struct Slab<T>(Vec<Option<T>>);

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab(Vec::new())
    }
}

impl<T> Slab<T> {
    /// The entry of an index, newly made if there is none.
    pub(crate) fn get_or_insert_with(&mut self, index: u32, make: impl FnOnce() -> T) -> &mut T {
        let index = index as usize;
        if self.0.len() <= index {
            self.0.resize_with(index + 1, || None);
        }
        self.0[index].get_or_insert_with(make)
    }

    pub(crate) fn get(&self, index: u32) -> Option<&T> {
        self.0.get(index as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.0.get_mut(index as usize)?.as_mut()
    }

    pub(crate) fn remove(&mut self, index: u32) {
        self.0[index as usize] = None;
    }

    /// All indices that were ever used, ascending; an entry may be gone. Nothing is borrowed, so that entries may be
    /// changed on the way.
    pub(crate) fn indices(&self) -> Range<u32> {
        0..self.0.len() as u32
    }

    /// Puts an entry in the place of an index, or frees it.
    pub(crate) fn set(&mut self, index: u32, entry: Option<T>) {
        let index = index as usize;
        if self.0.len() <= index {
            self.0.resize_with(index + 1, || None);
        }
        self.0[index] = entry;
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &T)> + Clone {
        self.0
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| Some((index as u32, entry.as_ref()?)))
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.0.iter_mut().flatten()
    }
}

impl<T> Index<u32> for Slab<T> {
    type Output = T;

    fn index(&self, index: u32) -> &T {
        self.0[index as usize].as_ref().expect("an index in use")
    }
}

impl<T> IndexMut<u32> for Slab<T> {
    fn index_mut(&mut self, index: u32) -> &mut T {
        self.0[index as usize].as_mut().expect("an index in use")
    }
}
