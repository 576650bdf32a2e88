//! Splitting of commands into sub-requests.
use mallowseam_connection_policy::request_splitting::{
    ClassRule, Extent, OutsideLayout, SubRequest, VolumeLayout,
};
use proptest::prelude::*;
use std::num::NonZeroU64;

fn rule(first_block: u64, last_block: u64, class: u16, blocks_per_key: u64) -> ClassRule {
    ClassRule {
        matches_reads: true,
        matches_writes: true,
        first_block,
        last_block,
        class,
        blocks_per_key: NonZeroU64::new(blocks_per_key),
    }
}

fn layout() -> VolumeLayout {
    let extent = |first_block, blocks, shard, first_node_block| Extent {
        first_block,
        blocks,
        shard,
        first_node_block,
    };
    VolumeLayout {
        extents: vec![extent(0, 10, 0, 100), extent(10, 20, 1, 0)],
        rules: vec![rule(12, 15, 1, 4), rule(0, u64::MAX, 0, 0)],
    }
}

fn split(lba: u64, blocks: u32) -> Vec<SubRequest> {
    let mut sub_requests = Vec::new();
    layout()
        .split(true, lba, blocks, &mut sub_requests)
        .expect("the command is inside the volume");
    sub_requests
}

fn unclassified(offset: u32, blocks: u32, shard: u32, node_lba: u64) -> SubRequest {
    SubRequest {
        offset,
        blocks,
        shard,
        node_lba,
        class: 0,
        ordering_key: None,
    }
}

#[test]
fn command_is_split_where_extent_rule_or_ordering_key_changes() {
    assert_eq!(split(2, 3), [unclassified(0, 3, 0, 102)]);
    let keyed = SubRequest {
        offset: 4,
        blocks: 4,
        shard: 1,
        node_lba: 2,
        class: 1,
        ordering_key: Some(3),
    };
    let expected = [
        unclassified(0, 2, 0, 108),
        unclassified(2, 2, 1, 0),
        keyed,
        unclassified(8, 2, 1, 6),
    ];
    assert_eq!(split(8, 10), expected);
}

#[test]
fn command_outside_the_volume_is_rejected_as_a_whole() {
    for (lba, blocks) in [(29, 2), (30, 1), (u64::MAX, 2), (0, 0)] {
        let outcome = layout().split(true, lba, blocks, &mut Vec::new());
        assert_eq!(outcome, Err(OutsideLayout), "{lba} {blocks}");
    }
}

/// Returns a layout of extents with the given lengths and rules of (first block, length, blocks per key), followed by
/// one rule for all other blocks.
fn random_layout(lengths: &[u64], rules: &[(u64, u64, u64)]) -> VolumeLayout {
    let mut layout = VolumeLayout::default();
    let mut first_block = 0;
    for (shard, blocks) in lengths.iter().enumerate() {
        let first_node_block = 1000 * shard as u64;
        layout.extents.push(Extent {
            first_block,
            blocks: *blocks,
            shard: shard as u32,
            first_node_block,
        });
        first_block += blocks;
    }
    layout.rules.extend(
        rules
            .iter()
            .map(|(first, length, key)| rule(*first, first + length, 1, *key)),
    );
    layout.rules.push(rule(0, u64::MAX, 0, 0));
    layout
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Sub-requests cover a command without gap or overlap, and none crosses an extent, a rule or an ordering key.
    #[test]
    fn sub_requests_cover_a_command_exactly(
        lengths in prop::collection::vec(1u64..20, 1..8),
        rules in prop::collection::vec((0u64..80, 0u64..40, 0u64..9), 0..4),
        lba in 0u64..100,
        blocks in 1u32..60,
    ) {
        let layout = random_layout(&lengths, &rules);
        let mut sub_requests = Vec::new();
        let is_inside = lba + u64::from(blocks) <= lengths.iter().sum::<u64>();
        prop_assert_eq!(layout.split(false, lba, blocks, &mut sub_requests).is_ok(), is_inside);
        if is_inside {
            let mut next_offset = 0;
            for sub_request in &sub_requests {
                prop_assert_eq!(sub_request.offset, next_offset);
                next_offset += sub_request.blocks;
                let first = lba + u64::from(sub_request.offset);
                let last = lba + u64::from(sub_request.offset + sub_request.blocks) - 1;
                let extent = layout.extents[sub_request.shard as usize];
                prop_assert!(extent.first_block <= first && last < extent.first_block + extent.blocks);
                let node_lba = extent.first_node_block + first - extent.first_block;
                prop_assert_eq!(sub_request.node_lba, node_lba);
                for block in first..=last {
                    let applies = |rule: &&ClassRule| rule.first_block <= block && block <= rule.last_block;
                    let rule = layout.rules.iter().find(applies).expect("the last rule applies to all blocks");
                    let expected = (rule.class, rule.blocks_per_key.map(|blocks| block / blocks));
                    prop_assert_eq!((sub_request.class, sub_request.ordering_key), expected);
                }
            }
            prop_assert_eq!(next_offset, blocks);
        }
    }
}
