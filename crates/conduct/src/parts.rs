//! How a client's command is cut into block I/Os, and how their ends make one answer.
//!
//! A command may cross extents, ordering keys and rules; each block I/O lies within one of each. The client
//! gets one answer: ended when all parts have, and otherwise at the first part that is given up, at once. It
//! is shed only where trying the whole again is harmless: no side-effecting part of it may have run.

/// A run of blocks and the node blocks that hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    pub first: u64,
    pub blocks: u64,
    pub shard: u32,
    pub node_first: u64,
}

/// Which blocks belong to an I/O group. `key`: blocks of one ordering key, 0 for none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    pub reads: bool,
    pub writes: bool,
    pub first: u64,
    pub last: u64,
    pub group: u16,
    pub key: u64,
}

/// A volume's layout: extents in order without gap, rules of which the first that fits counts.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    pub extents: Vec<Extent>,
    pub rules: Vec<Rule>,
}

/// One block I/O of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Blocks into the command, and how many.
    pub from: u32,
    pub blocks: u32,
    pub shard: u32,
    pub node_lba: u64,
    pub group: u16,
    /// Number of the ordering key within the volume.
    pub key: Option<u64>,
}

impl Layout {
    /// Cuts a command, in order of its blocks. False where a block lies outside the volume or no rule fits
    /// it; `out` then holds nothing of use.
    pub fn cut(&self, write: bool, lba: u64, blocks: u32, out: &mut Vec<Part>) -> bool {
        out.clear();
        let Some(end) = lba.checked_add(u64::from(blocks)) else { return false };
        let mut at = lba;
        while at < end {
            let nth = self.extents.partition_point(|e| e.first <= at);
            let Some(extent) = nth.checked_sub(1).map(|n| self.extents[n]) else { return false };
            let fits = |r: &&Rule| if write { r.writes } else { r.reads };
            let mut until = end.min(extent.first + extent.blocks);
            if until <= at {
                return false;
            }
            let mut found = None;
            for rule in self.rules.iter().filter(fits) {
                if rule.first <= at && at <= rule.last {
                    until = until.min(rule.last.saturating_add(1));
                    found = Some(rule);
                    break;
                }
                // An earlier rule that begins further on ends this part there.
                if rule.first > at {
                    until = until.min(rule.first);
                }
            }
            let Some(rule) = found else { return false };
            let key = at.checked_div(rule.key);
            if let Some(key) = key {
                until = until.min((key + 1).saturating_mul(rule.key));
            }
            out.push(Part {
                from: (at - lba) as u32,
                blocks: (until - at) as u32,
                shard: extent.shard,
                node_lba: extent.node_first + (at - extent.first),
                group: rule.group,
                key,
            });
            at = until;
        }
        !out.is_empty()
    }
}

/// How a part came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Ended,
    /// With the time to come back.
    Shed(i64),
    Failed,
}

/// A command's parts as they end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Whole {
    open: u32,
    /// Side-effecting parts that may have run.
    touched: u32,
    answered: bool,
}

impl Whole {
    pub fn of(parts: u32) -> Self {
        Whole { open: parts, ..Whole::default() }
    }

    /// A side-effecting part is sent, and so may run from now on.
    pub fn sent(&mut self) {
        self.touched += 1;
    }

    /// What was sent last of such a part is known not to have run.
    pub fn not_run(&mut self) {
        self.touched = self.touched.saturating_sub(1);
    }

    /// A part is over; the command's answer if this decides it.
    pub fn over(&mut self, end: End) -> Option<End> {
        self.open -= 1;
        if self.answered {
            return None;
        }
        let answer = match end {
            End::Ended if self.open > 0 => return None,
            End::Ended => End::Ended,
            End::Shed(come_back) if self.touched == 0 => End::Shed(come_back),
            _ => End::Failed,
        };
        self.answered = true;
        Some(answer)
    }

    /// Whether the client has its answer, or is not there to get it.
    pub fn answered(&self) -> bool {
        self.answered
    }

    /// The client has left.
    pub fn gone(&mut self) {
        self.answered = true;
    }

    /// Whether every part is over: the command's place is free.
    pub fn done(&self) -> bool {
        self.open == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn rule(first: u64, last: u64, group: u16, key: u64) -> Rule {
        Rule { reads: true, writes: true, first, last, group, key }
    }

    fn layout() -> Layout {
        let extent = |first, blocks, shard, node_first| Extent { first, blocks, shard, node_first };
        Layout {
            extents: vec![extent(0, 10, 0, 100), extent(10, 20, 1, 0)],
            rules: vec![rule(12, 15, 1, 4), rule(0, u64::MAX, 0, 0)],
        }
    }

    fn cut(lba: u64, blocks: u32) -> Vec<(u32, u32, u32, u64, u16, Option<u64>)> {
        let mut out = Vec::new();
        assert!(layout().cut(true, lba, blocks, &mut out));
        out.iter().map(|p| (p.from, p.blocks, p.shard, p.node_lba, p.group, p.key)).collect()
    }

    #[test]
    fn a_command_is_cut_where_the_extent_the_rule_or_the_key_changes() {
        assert_eq!(cut(2, 3), [(0, 3, 0, 102, 0, None)]);
        assert_eq!(
            cut(8, 10),
            [(0, 2, 0, 108, 0, None), (2, 2, 1, 0, 0, None), (4, 4, 1, 2, 1, Some(3)), (8, 2, 1, 6, 0, None)]
        );
    }

    #[test]
    fn what_lies_outside_is_refused_whole() {
        for (lba, blocks) in [(29, 2), (30, 1), (u64::MAX, 2), (0, 0)] {
            assert!(!layout().cut(true, lba, blocks, &mut Vec::new()), "{lba} {blocks}");
        }
    }

    #[test]
    fn a_command_ends_when_its_last_part_has() {
        let mut whole = Whole::of(2);
        assert_eq!(whole.over(End::Ended), None);
        assert_eq!(whole.over(End::Ended), Some(End::Ended));
        assert!(whole.done());
    }

    #[test]
    fn the_first_part_given_up_answers_for_all_and_the_rest_only_end() {
        let mut whole = Whole::of(3);
        assert_eq!(whole.over(End::Shed(7)), Some(End::Shed(7)));
        assert_eq!(whole.over(End::Failed), None);
        assert!(!whole.done());
        assert_eq!(whole.over(End::Ended), None);
        assert!(whole.done());
    }

    #[test]
    fn a_command_is_not_shed_once_a_side_effecting_part_may_have_run() {
        let mut whole = Whole::of(2);
        whole.sent();
        assert_eq!(whole.over(End::Shed(0)), Some(End::Failed));
        let mut whole = Whole::of(2);
        whole.sent();
        whole.not_run();
        assert_eq!(whole.over(End::Shed(0)), Some(End::Shed(0)));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Parts cover a command without gap or overlap, and none crosses an extent or a key.
        #[test]
        fn parts_cover_a_command_exactly(
            lens in prop::collection::vec(1u64..20, 1..8),
            rules in prop::collection::vec((0u64..80, 0u64..40, 0u64..9), 0..4),
            lba in 0u64..100,
            blocks in 1u32..60,
        ) {
            let mut layout = Layout::default();
            let mut first = 0;
            for (i, len) in lens.iter().enumerate() {
                layout.extents.push(Extent { first, blocks: *len, shard: i as u32, node_first: 1000 * i as u64 });
                first += len;
            }
            layout.rules.extend(rules.iter().map(|(f, l, k)| rule(*f, f + l, 1, *k)));
            layout.rules.push(rule(0, u64::MAX, 0, 0));
            let mut parts = Vec::new();
            let inside = lba + u64::from(blocks) <= first;
            prop_assert_eq!(layout.cut(false, lba, blocks, &mut parts), inside);
            if inside {
                let mut next = 0;
                for p in &parts {
                    prop_assert_eq!(p.from, next);
                    next += p.blocks;
                    let (from, to) = (lba + u64::from(p.from), lba + u64::from(p.from + p.blocks) - 1);
                    let e = layout.extents[p.shard as usize];
                    prop_assert!(e.first <= from && to < e.first + e.blocks);
                    prop_assert_eq!(p.node_lba, e.node_first + from - e.first);
                    for block in from..=to {
                        let r = layout.rules.iter().find(|r| r.first <= block && block <= r.last).expect("one");
                        prop_assert_eq!((p.group, p.key), (r.group, block.checked_div(r.key)));
                    }
                }
                prop_assert_eq!(next, blocks);
            }
        }
    }
}
