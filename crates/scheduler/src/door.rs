//! Names outside, small indices inside.
use std::collections::HashMap;
use std::hash::Hash;

pub struct Door<N> {
    names: Vec<Option<N>>,
    indices: HashMap<N, u32>,
    free: Vec<u32>,
}

impl<N> Default for Door<N> {
    fn default() -> Self {
        Door { names: Vec::new(), indices: HashMap::new(), free: Vec::new() }
    }
}

impl<N: Clone + Eq + Hash> Door<N> {
    pub fn find(&self, name: &N) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// The index of a name, new if it has none.
    pub fn enter(&mut self, name: &N) -> u32 {
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

    pub fn name(&self, index: u32) -> &N {
        self.names[index as usize].as_ref().expect("an index in use")
    }

    /// Names in use.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    pub fn release(&mut self, index: u32) {
        if let Some(name) = self.names[index as usize].take() {
            self.indices.remove(&name);
            self.free.push(index);
        }
    }
}
