//! A table of entries by typed index. The caller assigns the indices, and may reuse an index once its entry is removed.
use crate::interface::{BioId, KeyId, NodeId, VolumeId};
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// An index of an entry in a [`Slab`].
pub(crate) trait SlabIndex: Copy {
    /// Returns the index with this number.
    fn from_number(number: u32) -> Self;
    /// Returns the number of this index.
    fn number(self) -> u32;
}

macro_rules! impl_slab_index {
    ($($index:ident),+) => {$(
        impl SlabIndex for $index {
            fn from_number(number: u32) -> Self {
                $index(number)
            }

            fn number(self) -> u32 {
                self.0
            }
        }
    )+};
}

impl_slab_index!(BioId, KeyId, NodeId, VolumeId);

/// A table of entries by index. Its length is determined by the highest index ever used.
pub(crate) struct Slab<I, T> {
    entries: Vec<Option<T>>,
    index: PhantomData<I>,
}

impl<I, T> Default for Slab<I, T> {
    fn default() -> Self {
        Slab {
            entries: Vec::new(),
            index: PhantomData,
        }
    }
}

impl<I: SlabIndex, T> Slab<I, T> {
    /// Returns the entry at an index, which is created if there is none.
    pub(crate) fn get_or_insert_with(&mut self, index: I, make: impl FnOnce() -> T) -> &mut T {
        self.slot(index).get_or_insert_with(make)
    }

    /// Returns the entry at an index, if there is one.
    pub(crate) fn get(&self, index: I) -> Option<&T> {
        self.entries.get(index.number() as usize)?.as_ref()
    }

    /// Returns the entry at an index for modification, if there is one.
    pub(crate) fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.entries.get_mut(index.number() as usize)?.as_mut()
    }

    /// Removes the entry at an index, if there is one.
    pub(crate) fn remove(&mut self, index: I) {
        if let Some(slot) = self.entries.get_mut(index.number() as usize) {
            *slot = None;
        }
    }

    /// Stores an entry at an index, replacing an earlier one; `None` removes the entry.
    pub(crate) fn set(&mut self, index: I, entry: Option<T>) {
        *self.slot(index) = entry;
    }

    /// Returns every index up to the highest one ever used, in ascending order, including those without an entry. The
    /// iterator does not borrow the slab, so that entries can be modified during the iteration.
    pub(crate) fn indices(&self) -> impl Iterator<Item = I> + use<I, T> {
        (0..self.entries.len() as u32).map(I::from_number)
    }

    /// Returns the entries with their indices, in ascending order of index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (I, &T)> + Clone {
        let slots = self.entries.iter().enumerate();
        slots.filter_map(|(number, entry)| Some((I::from_number(number as u32), entry.as_ref()?)))
    }

    /// Returns the entries for modification, in ascending order of index.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.entries.iter_mut().flatten()
    }

    fn slot(&mut self, index: I) -> &mut Option<T> {
        let position = index.number() as usize;
        if self.entries.len() <= position {
            self.entries.resize_with(position + 1, || None);
        }
        &mut self.entries[position]
    }
}

impl<I: SlabIndex, T> Index<I> for Slab<I, T> {
    type Output = T;

    fn index(&self, index: I) -> &T {
        self.get(index).expect("index in use")
    }
}

impl<I: SlabIndex, T> IndexMut<I> for Slab<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        self.get_mut(index).expect("index in use")
    }
}
