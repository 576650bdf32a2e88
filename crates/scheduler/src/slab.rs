//! Entries by small typed index. Indices are assigned outside, and used again once their entry is removed.
use crate::interface::{BioId, KeyId, NodeId, VolumeId};
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// A small number that names an entry of a [`Slab`].
pub(crate) trait SlabIndex: Copy {
    /// The index with this number.
    fn from_number(number: u32) -> Self;
    /// The number of this index.
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

/// A table of entries by index. It is as long as the highest index in use.
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
    /// The entry of an index, newly made if there is none.
    pub(crate) fn get_or_insert_with(&mut self, index: I, make: impl FnOnce() -> T) -> &mut T {
        self.slot(index).get_or_insert_with(make)
    }

    /// The entry of an index, if there is one.
    pub(crate) fn get(&self, index: I) -> Option<&T> {
        self.entries.get(index.number() as usize)?.as_ref()
    }

    /// The entry of an index, if there is one.
    pub(crate) fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.entries.get_mut(index.number() as usize)?.as_mut()
    }

    /// Removes the entry of an index, if there is one.
    pub(crate) fn remove(&mut self, index: I) {
        if let Some(slot) = self.entries.get_mut(index.number() as usize) {
            *slot = None;
        }
    }

    /// Stores an entry under an index, in place of an earlier one; none removes it.
    pub(crate) fn set(&mut self, index: I, entry: Option<T>) {
        *self.slot(index) = entry;
    }

    /// All indices that were ever used, ascending; an entry may have been removed. The slab is not borrowed, so that
    /// entries may be changed on the way.
    pub(crate) fn indices(&self) -> impl Iterator<Item = I> + use<I, T> {
        (0..self.entries.len() as u32).map(I::from_number)
    }

    /// The entries with their indices, ascending.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (I, &T)> + Clone {
        let slots = self.entries.iter().enumerate();
        slots.filter_map(|(number, entry)| Some((I::from_number(number as u32), entry.as_ref()?)))
    }

    /// The entries, in the order of their indices.
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
        self.get(index).expect("an index in use")
    }
}

impl<I: SlabIndex, T> IndexMut<I> for Slab<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        self.get_mut(index).expect("an index in use")
    }
}
