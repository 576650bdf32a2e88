//! The protocol of the node list service, free of I/O. Lines of text over a stream:
//!
//! A host says `watch HOST` (the whole list, then each change as it happens) or `all HOST` (the whole list
//! once), with its own name. The service says `list EPOCH VERSION whole|changes COUNT` and then COUNT times
//! `node NAME active|leaving|left BORN AGE`. EPOCH is drawn by the service at its start, VERSION counts up
//! within it. BORN tells one run of a node's process from another and is 0 for one long past; AGE is how long
//! that run has been up, in milliseconds, by the service's knowledge at sending. The clocks of host and
//! service are never compared.
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;

/// Longest line in bytes, and most nodes of a list.
pub const LINE_MOST: usize = 256;
pub const NODES_MOST: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Active,
    Leaving,
    Left,
}

impl Condition {
    pub fn word(self) -> &'static str {
        match self {
            Condition::Active => "active",
            Condition::Leaving => "leaving",
            Condition::Left => "left",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub name: String,
    pub condition: Condition,
    pub born: u64,
    /// Milliseconds that this run has been up.
    pub age: u64,
}

/// What a host hands on: the whole list or changes, newer than all before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    pub whole: bool,
    pub entries: Vec<Entry>,
}

/// Why a stream from the service cannot be trusted further: line number, what stood there, what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub line: u64,
    pub expected: &'static str,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "node list, line {}: expected {}", self.line, self.expected)
    }
}

/// What a line of the service leads to.
#[derive(Debug, PartialEq, Eq)]
pub enum Heard {
    Nothing,
    News(Update),
    /// Changes were missed: the whole list has to be asked for.
    Missed,
}

struct Listing {
    epoch: u64,
    version: u64,
    whole: bool,
    left: usize,
    entries: Vec<Entry>,
}

/// A host's side. Keeps what it was told last, so that old or repeated news is known as such.
#[derive(Default)]
pub struct Register {
    partial: Vec<u8>,
    lines: u64,
    listing: Option<Listing>,
    epoch: u64,
    version: u64,
    nodes: BTreeMap<String, Entry>,
}

impl Register {
    /// A new connection to the service: half a list from the last one is forgotten, what is known stays.
    pub fn reconnected(&mut self) {
        self.partial.clear();
        self.lines = 0;
        self.listing = None;
        // A new connection opens with the whole list, which stands for itself.
        self.version = 0;
    }

    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }

    /// Takes bytes as they come; `tell` gets what they lead to.
    pub fn receive(&mut self, bytes: &[u8], mut tell: impl FnMut(Heard)) -> Result<(), Wrong> {
        for byte in bytes {
            if *byte == b'\n' {
                let line = std::mem::take(&mut self.partial);
                self.lines += 1;
                match self.line(&line)? {
                    Heard::Nothing => {}
                    heard => tell(heard),
                }
                self.partial = line;
                self.partial.clear();
            } else if self.partial.len() == LINE_MOST {
                return Err(Wrong { line: self.lines + 1, expected: "a line of up to 256 bytes" });
            } else {
                self.partial.push(*byte);
            }
        }
        Ok(())
    }

    fn line(&mut self, line: &[u8]) -> Result<Heard, Wrong> {
        let wrong = |expected| Wrong { line: self.lines, expected };
        let text = std::str::from_utf8(line).map_err(|_| wrong("text"))?;
        let words: Vec<&str> = text.trim_end_matches('\r').split(' ').collect();
        let number = |word: &str, what| word.parse::<u64>().map_err(|_| wrong(what));
        match (&mut self.listing, words.as_slice()) {
            (None, ["list", epoch, version, form, count]) => {
                let whole = match *form {
                    "whole" => true,
                    "changes" => false,
                    _ => return Err(wrong("whole or changes")),
                };
                let left = number(count, "a count")? as usize;
                if left > NODES_MOST {
                    return Err(wrong("at most 4096 nodes"));
                }
                let (epoch, version) = (number(epoch, "an epoch")?, number(version, "a version")?);
                self.listing = Some(Listing { epoch, version, whole, left, entries: Vec::new() });
            }
            (Some(listing), ["node", name, condition, born, age]) => {
                if name.is_empty() {
                    return Err(wrong("a name"));
                }
                let condition = match *condition {
                    "active" => Condition::Active,
                    "leaving" => Condition::Leaving,
                    "left" => Condition::Left,
                    _ => return Err(wrong("active, leaving or left")),
                };
                let (born, age) = (number(born, "a start")?, number(age, "an age")?);
                listing.entries.push(Entry { name: (*name).to_owned(), condition, born, age });
                listing.left = listing.left.saturating_sub(1);
            }
            (None, _) => return Err(wrong("list EPOCH VERSION whole|changes COUNT")),
            (Some(_), _) => return Err(wrong("node NAME active|leaving|left BORN AGE")),
        }
        match self.listing.take() {
            Some(listing) if listing.left == 0 => Ok(self.take(listing)),
            other => {
                self.listing = other;
                Ok(Heard::Nothing)
            }
        }
    }

    /// What is not newer than what was told before is dropped. A start that lies before the one known is old
    /// news of a run that is over, in a list of any version.
    fn take(&mut self, listing: Listing) -> Heard {
        let same = listing.epoch == self.epoch && self.version > 0;
        if same && listing.version <= self.version {
            return Heard::Nothing;
        }
        let follows = same && listing.version == self.version + 1;
        if !listing.whole && !follows {
            return Heard::Missed;
        }
        (self.epoch, self.version) = (listing.epoch, listing.version);
        let known = &self.nodes;
        let fresh = |e: &Entry| known.get(&e.name).is_none_or(|k| e.born >= k.born);
        let entries: Vec<Entry> = listing.entries.into_iter().filter(fresh).collect();
        for entry in &entries {
            self.nodes.insert(entry.name.clone(), entry.clone());
        }
        Heard::News(Update { whole: listing.whole, entries })
    }

    /// What is known, in a form that `restore` reads back.
    pub fn keep(&self) -> String {
        let mut out = format!("kept {}\n", self.nodes.len());
        self.nodes.values().for_each(|e| write_entry(&mut out, e));
        // A number cut short would read as another number: the last line says that all is there.
        out.push_str("end\n");
        out
    }

    /// Reads back what `keep` wrote. An age then is that of the time of keeping. Error: what was expected.
    pub fn restore(&mut self, text: &str) -> Result<Update, Wrong> {
        let mut lines = text.lines();
        let head = lines.next().and_then(|l| l.strip_prefix("kept "));
        let count: usize =
            head.and_then(|n| n.parse().ok()).ok_or(Wrong { line: 1, expected: "kept COUNT" })?;
        let mut fresh = Register { lines: 1, ..Register::default() };
        let mut rest: Vec<&str> = lines.collect();
        if rest.pop() != Some("end") || rest.len() != count || !text.ends_with('\n') {
            return Err(Wrong {
                line: rest.len() as u64 + 1,
                expected: "as many nodes as the head says, then end",
            });
        }
        fresh.listing = Some(Listing { epoch: 0, version: 1, whole: true, left: count, entries: Vec::new() });
        let mut update = Update { whole: true, entries: Vec::new() };
        for line in rest {
            fresh.lines += 1;
            if let Heard::News(news) = fresh.line(line.as_bytes())? {
                update = news;
            }
        }
        self.nodes = fresh.nodes;
        Ok(update)
    }
}

fn write_entry(out: &mut String, e: &Entry) {
    let word = e.condition.word();
    writeln!(out, "node {} {word} {} {}", e.name, e.born, e.age).expect("writing to memory");
}

/// The service's side of a message.
pub fn write_list(out: &mut String, epoch: u64, version: u64, whole: bool, entries: &[Entry]) {
    let form = if whole { "whole" } else { "changes" };
    writeln!(out, "list {epoch} {version} {form} {}", entries.len()).expect("writing to memory");
    entries.iter().for_each(|e| write_entry(out, e));
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, condition: Condition, born: u64) -> Entry {
        Entry { name: name.into(), condition, born, age: 10 }
    }

    fn told(register: &mut Register, text: &str) -> Vec<Heard> {
        let mut heard = Vec::new();
        register.receive(text.as_bytes(), |h| heard.push(h)).expect("sound");
        heard
    }

    fn list(epoch: u64, version: u64, whole: bool, entries: &[Entry]) -> String {
        let mut out = String::new();
        write_list(&mut out, epoch, version, whole, entries);
        out
    }

    #[test]
    fn news_comes_once_however_it_is_cut_and_repeated() {
        let entries = [entry("a", Condition::Active, 5), entry("b", Condition::Leaving, 0)];
        let text = list(9, 3, true, &entries);
        let mut register = Register::default();
        let mut heard = Vec::new();
        for byte in text.repeat(2).bytes() {
            register.receive(&[byte], |h| heard.push(h)).expect("sound");
        }
        assert_eq!(heard, [Heard::News(Update { whole: true, entries: entries.to_vec() })]);
    }

    #[test]
    fn a_version_that_goes_backwards_is_dropped_and_a_gap_is_noticed() {
        let mut register = Register::default();
        told(&mut register, &list(9, 3, true, &[entry("a", Condition::Active, 5)]));
        let back = list(9, 2, false, &[entry("a", Condition::Left, 5)]);
        assert_eq!(told(&mut register, &back), []);
        let gap = list(9, 5, false, &[entry("a", Condition::Left, 5)]);
        assert_eq!(told(&mut register, &gap), [Heard::Missed]);
        let next = list(9, 4, false, &[entry("a", Condition::Left, 5)]);
        assert!(matches!(told(&mut register, &next)[..], [Heard::News(_)]));
    }

    #[test]
    fn an_entry_of_a_run_that_is_over_does_not_bring_it_back() {
        let mut register = Register::default();
        told(&mut register, &list(9, 1, true, &[entry("a", Condition::Active, 8)]));
        let old = list(9, 2, true, &[entry("a", Condition::Left, 7)]);
        let empty = Heard::News(Update { whole: true, entries: vec![] });
        assert_eq!(told(&mut register, &old), [empty]);
        assert!(register.keep().contains("node a active 8"));
    }

    #[test]
    fn a_service_that_started_again_is_heard_from_its_first_version() {
        let mut register = Register::default();
        told(&mut register, &list(9, 30, true, &[entry("a", Condition::Active, 8)]));
        let news = told(&mut register, &list(10, 1, true, &[entry("a", Condition::Leaving, 8)]));
        assert!(matches!(news[..], [Heard::News(_)]));
        let changes = list(11, 2, false, &[entry("a", Condition::Active, 8)]);
        assert_eq!(told(&mut register, &changes), [Heard::Missed]);
    }

    #[test]
    fn what_is_kept_reads_back_and_a_cut_copy_is_refused() {
        let mut register = Register::default();
        let entries = [entry("a", Condition::Active, 5), entry("b", Condition::Left, 0)];
        told(&mut register, &list(9, 3, true, &entries));
        let kept = register.keep();
        let mut back = Register::default();
        assert_eq!(back.restore(&kept).expect("sound").entries, entries);
        for end in 0..kept.len() - 1 {
            assert!(Register::default().restore(&kept[..end]).is_err(), "cut at {end}");
        }
    }

    #[test]
    fn malformed_lines_name_their_number_and_what_was_expected() {
        let long = "x".repeat(300);
        for (text, line) in [
            ("hello\n", 1),
            ("list 1 1 whole 1\nlist 1 2 whole 0\n", 2),
            ("list 1 1 whole 1\nnode a up 1 2\n", 2),
            ("list 1 1 whole 99999\n", 1),
            (long.as_str(), 1),
        ] {
            let error = Register::default().receive(text.as_bytes(), |_| {}).expect_err(text);
            assert_eq!(error.line, line, "{text}");
        }
    }
}
