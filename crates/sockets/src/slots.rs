//! Places by small index, used again once they are free.

pub struct Slots<T> {
    places: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { places: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slots<T> {
    pub fn put(&mut self, value: T) -> u32 {
        match self.free.pop() {
            Some(at) => {
                self.places[at as usize] = Some(value);
                at
            }
            None => {
                self.places.push(Some(value));
                (self.places.len() - 1) as u32
            }
        }
    }

    /// The place that the next value will get.
    pub fn next(&self) -> u32 {
        self.free.last().copied().unwrap_or(self.places.len() as u32)
    }

    pub fn get(&self, at: u32) -> Option<&T> {
        self.places.get(at as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, at: u32) -> Option<&mut T> {
        self.places.get_mut(at as usize)?.as_mut()
    }

    pub fn take(&mut self, at: u32) -> Option<T> {
        let value = self.places.get_mut(at as usize)?.take();
        if value.is_some() {
            self.free.push(at);
        }
        value
    }

    /// Places in use.
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The places up to the last that was ever used.
    pub fn places(&self) -> u32 {
        self.places.len() as u32
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.places.iter().enumerate().filter_map(|(at, v)| Some((at as u32, v.as_ref()?)))
    }

    pub fn indices(&self) -> Vec<u32> {
        self.iter().map(|(at, _)| at).collect()
    }
}
