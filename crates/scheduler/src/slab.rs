//! Places by small index, used again once they are free.
use std::ops::{Index, IndexMut};

pub(crate) struct Slab<T>(Vec<Option<T>>);

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab(Vec::new())
    }
}

impl<T> Slab<T> {
    /// What stands at a place; made if nothing does.
    pub(crate) fn enter(&mut self, at: u32, make: impl FnOnce() -> T) -> &mut T {
        let at = at as usize;
        if self.0.len() <= at {
            self.0.resize_with(at + 1, || None);
        }
        self.0[at].get_or_insert_with(make)
    }

    pub(crate) fn get(&self, at: u32) -> Option<&T> {
        self.0.get(at as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, at: u32) -> Option<&mut T> {
        self.0.get_mut(at as usize)?.as_mut()
    }

    pub(crate) fn remove(&mut self, at: u32) {
        self.0[at as usize] = None;
    }

    /// The places up to the last that was ever used.
    pub(crate) fn places(&self) -> std::ops::Range<u32> {
        0..self.0.len() as u32
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &T)> + Clone {
        self.0.iter().enumerate().filter_map(|(at, t)| Some((at as u32, t.as_ref()?)))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.0.iter_mut().flatten()
    }
}

impl<T> Index<u32> for Slab<T> {
    type Output = T;

    fn index(&self, at: u32) -> &T {
        self.0[at as usize].as_ref().expect("a place in use")
    }
}

impl<T> IndexMut<u32> for Slab<T> {
    fn index_mut(&mut self, at: u32) -> &mut T {
        self.0[at as usize].as_mut().expect("a place in use")
    }
}
